// Parses arbitrary text as a settings file. It must be accepted or rejected with errors.
#include "settings/settings_file.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto parsed = medlarway::parseSettings({reinterpret_cast<const char *>(data), size});
    // Either a value or at least one error, never both.
    if (parsed.value.has_value() != parsed.faults.empty()) {
        std::abort();
    }
    return 0;
}
