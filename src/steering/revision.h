#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace medlarway
{

/// A position in the history of the platform's data. A platform that returns to an older copy loses its latest changes and gives out their
/// numbers again; that begins a new era, and every position in it follows those of earlier eras.
struct Revision {
    std::uint64_t era = 0;
    std::uint64_t number = 0; ///< 0: nothing is known

    friend std::strong_ordering operator<=>(const Revision &, const Revision &) = default;
};

/// Whether any data is known up to this position.
inline bool isKnown(const Revision &revision)
{
    return revision.number != 0;
}

/// Formats a revision as "ERA.NUMBER".
std::string revisionToString(const Revision &revision);

} // namespace medlarway
