#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// A parsed request target such as "/explain?service=a&path=%2Fx".
struct RequestTarget {
    std::string path;
    std::map<std::string, std::string> query; ///< percent-decoded; of several equal keys the last one wins
};

/// Parses a request target. Returns nullopt if it contains a malformed percent escape.
std::optional<RequestTarget> parseTarget(std::string_view target);

/// Percent-encodes a value for use in a query.
std::string encodeQueryValue(std::string_view value);

} // namespace medlarway
