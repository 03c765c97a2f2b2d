#pragma once

#include "entry/entry_pages.h"
#include "pages/page_server.h"

#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// Path of the page that explains where a new flow would go.
inline constexpr std::string_view kPlacementPath = "/placement";

/// The page "/placement?to=IP:PORT": where a new flow to the address would go now, and why, as a JSON object; plain text with another
/// status if that can't be told.
PageResponse placementPage(const FlowSteering &steering, const EntryStatus &status, std::string_view target, Time now);

/// The page's JSON as text for an operator: the decision, a line for each zone and a table of the candidates. nullopt if it is none.
std::optional<std::string> placementText(std::string_view page);

} // namespace medlarway
