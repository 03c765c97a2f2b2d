// Any text may stand in a catalogue: it is read or refused with its faults, and what is read is sound.
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
