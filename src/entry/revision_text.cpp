#include "entry/revision_text.h"

#include "yaml/scalars.h"

namespace medlarway
{

std::optional<Revision> parseRevision(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto era = parseNumber(text.substr(0, dot));
    const auto number = parseNumber(text.substr(dot + 1));
    return era && number ? std::optional(Revision{*era, *number}) : std::nullopt;
}

} // namespace medlarway
