#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace medlarway
{

/// Whether a text is valid in its format, JSON or CBOR, and its objects and arrays are nested at most maxDepth deep. To be checked before
/// a text of an untrusted source is parsed into values: the library recurses once for each level when it parses CBOR and when it copies
/// a value. Takes little memory and time whatever the depth.
bool isNestedUpTo(int maxDepth, std::string_view text, nlohmann::json::input_format_t format);

} // namespace medlarway
