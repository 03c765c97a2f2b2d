#include "peering/peer_framing.h"

#include <boost/endian/conversion.hpp>
#include <cstring>

namespace medlarway
{

Greeting greetingOf(PeerRole role)
{
    return {0, 'S', 'P', 0, 0, static_cast<char>(role), 0, 0};
}

MessageLength encodeLength(std::uint64_t length)
{
    MessageLength bytes{};
    boost::endian::native_to_big_inplace(length);
    std::memcpy(bytes.data(), &length, bytes.size());
    return bytes;
}

std::uint64_t decodeLength(const MessageLength &bytes)
{
    std::uint64_t length = 0;
    std::memcpy(&length, bytes.data(), bytes.size());
    return boost::endian::big_to_native(length);
}

} // namespace medlarway
