// Any text may stand in a settings file: it is read or refused with its faults, never more.
#include "settings/settings_file.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto parsed = medlarway::parseSettings({reinterpret_cast<const char *>(data), size});
    // Either a value or at least one fault, never both.
    if (parsed.value.has_value() != parsed.faults.empty()) {
        std::abort();
    }
    return 0;
}
