#include "peering/codec.h"

namespace medlarway
{

namespace
{

using nlohmann::json;

// Parses CBOR without building values and stops at kMaxMessageDepth. The library's from_cbor recurses once for
// each level, so an unbounded depth would exhaust the stack.
class DepthCheck : public nlohmann::json_sax<json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool /*value*/) override
    {
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool string(string_t & /*value*/) override
    {
        return true;
    }
    bool binary(binary_t & /*value*/) override
    {
        return true;
    }
    bool start_object(std::size_t /*elements*/) override // NOLINT(readability-identifier-naming)
    {
        return ++depth_ <= kMaxMessageDepth;
    }
    bool key(string_t & /*value*/) override
    {
        return true;
    }
    bool end_object() override // NOLINT(readability-identifier-naming)
    {
        --depth_;
        return true;
    }
    bool start_array(std::size_t /*elements*/) override // NOLINT(readability-identifier-naming)
    {
        return ++depth_ <= kMaxMessageDepth;
    }
    bool end_array() override // NOLINT(readability-identifier-naming)
    {
        --depth_;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const json::exception & /*error*/) override // NOLINT(readability-identifier-naming)
    {
        return false;
    }

private:
    int depth_ = 0;
};

} // namespace

void codec::throwMalformed(const char *detail)
{
    throw Error(ErrorKind::PeerMalformed, detail);
}

json parseBoundedCbor(std::string_view bytes, std::size_t maxBytes)
{
    if (bytes.size() > maxBytes) {
        throw Error(ErrorKind::PeerOversized, "the message exceeds the size limit");
    }
    DepthCheck check;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &check, json::input_format_t::cbor)) {
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
