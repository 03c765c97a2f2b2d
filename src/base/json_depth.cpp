#include "base/json_depth.h"

namespace medlarway
{

namespace
{

using nlohmann::json;

// Builds no values and stops at the first level that is too deep.
class DepthCheck : public nlohmann::json_sax<json>
{
public:
    explicit DepthCheck(int maxDepth)
        : maxDepth_(maxDepth)
    {
    }

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
        return ++depth_ <= maxDepth_;
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
        return ++depth_ <= maxDepth_;
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
    int maxDepth_;
    int depth_ = 0;
};

} // namespace

bool isNestedUpTo(int maxDepth, std::string_view text, json::input_format_t format)
{
    DepthCheck check(maxDepth);
    return json::sax_parse(text.begin(), text.end(), &check, format);
}

} // namespace medlarway
