#include "settings/settings_text.h"

#include "base/errors.h"
#include "yaml/text_file.h"

#include <cstdint>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::uint64_t kMaxFileBytes = 1ULL << 20U;

} // namespace

std::optional<std::string> readSettingsText(const std::string &path)
{
    return readTextFile(path, kMaxFileBytes);
}

std::string loadSettingsText(const std::string &path)
{
    auto text = readSettingsText(path);
    if (!text) {
        throw Error(ErrorKind::BadSettings, path + ": can't be read or is longer than 1 MiB");
    }
    return std::move(*text);
}

} // namespace medlarway
