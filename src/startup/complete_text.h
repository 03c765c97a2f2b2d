#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace medlarway
{

/// A text without an end marker counts as complete once it has not changed for this long.
inline constexpr Duration kSettleTime = std::chrono::seconds{1};

enum class TextState : std::uint8_t {
    Missing, ///< the file can't be read or is blank
    Unsettled, ///< it may still be written
    Complete,
};

/// Tells when the text of a YAML file that may be rewritten in place is complete: at once if its last line is the marker of a document's
/// end ("..."), else after kSettleTime without a change.
class CompleteText
{
public:
    /// Takes what was read just now; nullopt if the file can't be read.
    TextState offer(std::optional<std::string> text, Time now);

    /// What was offered last.
    const std::optional<std::string> &text() const
    {
        return text_;
    }

private:
    std::optional<std::string> text_;
    Time unchangedSince_;
};

} // namespace medlarway
