#include "startup/complete_text.h"

#include <string_view>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::string_view kBlanks = " \t\r\n";
constexpr std::string_view kDocumentEnd = "...";

std::string_view lastLineOf(std::string_view text)
{
    text = text.substr(0, text.find_last_not_of(kBlanks) + 1);
    return text.substr(text.find_last_of('\n') + 1); // npos + 1 is 0
}

// A comment may follow the marker.
bool isDocumentEnd(std::string_view line)
{
    return line.starts_with(kDocumentEnd) && line.substr(kDocumentEnd.size()).find_first_not_of(kBlanks) != 0;
}

} // namespace

TextState CompleteText::offer(std::optional<std::string> text, Time now)
{
    if (text != text_) {
        text_ = std::move(text);
        unchangedSince_ = now;
    }
    const auto lastLine = text_ ? lastLineOf(*text_) : std::string_view{};
    if (lastLine.empty()) {
        return TextState::Missing;
    }
    return isDocumentEnd(lastLine) || now - unchangedSince_ >= kSettleTime ? TextState::Complete : TextState::Unsettled;
}

} // namespace medlarway
