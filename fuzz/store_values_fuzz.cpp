// Decodes arbitrary bytes as values and responses of the platform's store. They must be accepted or rejected, and accepted
// values must be valid.
#include "platform/store_values.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace medlarway;
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
    const auto number = upstreamNumber(text);
    if (number && *number == 0) {
        std::abort();
    }
    return 0;
}
