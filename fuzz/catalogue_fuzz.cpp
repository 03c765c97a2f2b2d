// Parses arbitrary text as a catalogue. It must be accepted or rejected with errors, and an accepted catalogue must be valid.
#include "catalogue/catalogue_check.h"
#include "catalogue/catalogue_text.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto parsed = medlarway::parseCatalogue({reinterpret_cast<const char *>(data), size});
    if (parsed.value.has_value() != parsed.faults.empty()) {
        std::abort();
    }
    if (parsed.value && !medlarway::checkCatalogue({{{"shard", 1, *parsed.value}}}).empty()) {
        std::abort();
    }
    return 0;
}
