#include "base/errors.h"
#include "ctl/arguments.h"
#include "ctl/command.h"
#include "settings/entry_settings.h"
#include "settings/settings_file.h"
#include "settings/settings_text.h"

#include <fmt/format.h>

namespace medlarway
{

int runCheckSettings(const std::vector<std::string> &arguments)
{
    const auto parsed = parseArguments(arguments, 1);
    if (!parsed) {
        return kExitUsage;
    }
    try {
        const auto &file = parsed->positional[0];
        const auto text = loadSettingsText(file);
        if (hasEntrySettings(text)) {
            entrySettingsFrom(text, file);
        } else {
            settingsFrom(text, file);
        }
    } catch (const Error &error) {
        fmt::print(stderr, "{}\n", error.what());
        return kExitFailed;
    }
    fmt::print("{}: no errors\n", parsed->positional[0]);
    return kExitOk;
}

} // namespace medlarway
