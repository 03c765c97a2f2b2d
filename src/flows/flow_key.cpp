#include "flows/flow_key.h"

#include "base/hash.h"

namespace medlarway
{

namespace
{

std::uint64_t packEndpoint(const Endpoint &endpoint)
{
    return (std::uint64_t{endpoint.address} << 16U) | endpoint.port;
}

} // namespace

std::uint64_t flowHash(const FlowKey &key)
{
    return combineHash(packEndpoint(key.caller), packEndpoint(key.service));
}

} // namespace medlarway
