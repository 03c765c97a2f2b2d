#include "peering/codec.h"

#include "base/json_depth.h"

namespace medlarway
{

using nlohmann::json;

void codec::throwMalformed(const char *detail)
{
    throw Error(ErrorKind::PeerMalformed, detail);
}

json parseBoundedCbor(std::string_view bytes, std::size_t maxBytes)
{
    if (bytes.size() > maxBytes) {
        throw Error(ErrorKind::PeerOversized, "the message exceeds the size limit");
    }
    if (!isNestedUpTo(kMaxMessageDepth, bytes, json::input_format_t::cbor)) {
        codec::throwMalformed("the message is not valid CBOR or is nested too deeply");
    }
    try {
        return json::from_cbor(bytes.begin(), bytes.end());
    } catch (const json::exception &error) {
        throw Error(ErrorKind::PeerMalformed, error.what());
    }
}

std::string writeCbor(const json &value)
{
    std::string bytes;
    json::to_cbor(value, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

} // namespace medlarway
