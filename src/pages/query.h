#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// A request target taken apart: "/explain?service=a&path=%2Fx".
struct RequestTarget {
    std::string path;
    std::map<std::string, std::string> query; ///< decoded; the last of several equal keys counts
};

/// Takes a request target apart; nullopt where an escape in it is malformed.
std::optional<RequestTarget> parseTarget(std::string_view target);

/// Writes a value so that it can stand in a query.
std::string encodeQueryValue(std::string_view value);

} // namespace medlarway
