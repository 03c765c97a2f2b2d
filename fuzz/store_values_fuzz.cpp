// Decodes arbitrary bytes as values and responses of the platform's store. They must be accepted or rejected, and accepted
// values must be valid. Also decodes them inside of many levels of arrays or objects, more than an input has bytes.
#include "platform/store_values.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace
{

// A field of an object whose value has the text at its deepest level. The first byte selects the number of levels and their kind.
std::string nested(std::string_view text)
{
    constexpr std::size_t kLevelsPerUnit = 4096;
    const auto selector = text.empty() ? 0U : static_cast<unsigned char>(text.front());
    const bool arrays = (selector & 1U) != 0;
    std::string result = R"({"more":)";
    for (std::size_t level = 0; level < (selector >> 1U) * kLevelsPerUnit; ++level) {
        result += arrays ? "[" : R"({"a":)";
    }
    result += text;
    result.append((selector >> 1U) * kLevelsPerUnit, arrays ? ']' : '}');
    return result + "}";
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace medlarway;
    constexpr std::size_t kMaxNestedInput = 16;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    decodeStoreResponse(text);
    if (const auto config = decodeConfig(text)) {
        for (const auto &route : config->routes) {
            if (route.address == Endpoint{} || route.deadline < Duration{}) {
                std::abort();
            }
        }
    }
    if (const auto entry = decodeUpstream("i-7f3a91c2", text, {1, 5})) {
        if (entry->number == 0 || entry->address.port == 0 || entry->service.empty() || entry->warmUpLeft < Duration{}) {
            std::abort();
        }
    }
    if (decodeEvacuation("b", text, {1, 5}).active && text.find('{') == std::string_view::npos) {
        std::abort();
    }
    if (size <= kMaxNestedInput) {
        const auto deep = nested(text);
        decodeEvacuation("b", deep, {1, 5});
        decodeUpstream("i-7f3a91c2", deep, {1, 5});
        if (size > 1 && data[1] == 'c') {
            decodeConfig(deep); // takes long: only for some inputs
        }
    }
    const auto number = upstreamNumber(text);
    if (number && *number == 0) {
        std::abort();
    }
    return 0;
}
