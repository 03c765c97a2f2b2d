#include "story/log_line.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>
#include <vector>

namespace medlarway
{

namespace
{

constexpr std::size_t kTimeBytes = 24; // 2026-01-27T11:51:07.809Z

bool isTime(std::string_view word)
{
    constexpr std::string_view kPattern = "dddd-dd-ddTdd:dd:dd.dddZ";
    return word.size() == kTimeBytes && std::equal(word.begin(), word.end(), kPattern.begin(), [](char c, char wanted) {
               return wanted == 'd' ? std::isdigit(static_cast<unsigned char>(c)) != 0 : c == wanted;
           });
}

// The words of a line; what stands in quotes, with its escapes taken off, is part of one.
std::vector<std::string> wordsOf(std::string_view line)
{
    std::vector<std::string> words;
    std::string word;
    bool quoted = false;
    bool begun = false;
    for (std::size_t at = 0; at < line.size(); ++at) {
        const char c = line[at];
        if (quoted && c == '\\' && at + 1 < line.size()) {
            word += line[++at];
        } else if (c == '"') {
            quoted = !quoted;
            begun = true;
        } else if (c == ' ' && !quoted) {
            if (begun) {
                words.push_back(std::exchange(word, {}));
            }
            begun = false;
        } else {
            word += c;
            begun = true;
        }
    }
    if (begun) {
        words.push_back(word);
    }
    return words;
}

} // namespace

std::optional<LogLine> parseLogLine(std::string_view line, std::string_view file)
{
    constexpr std::size_t kWordsBeforeFields = 4; // level, number, name, summary
    const auto words = wordsOf(line);
    const auto time = std::find_if(words.begin(), words.end(), [](const std::string &word) { return isTime(word); });
    if (words.end() - time <= static_cast<std::ptrdiff_t>(kWordsBeforeFields)) {
        return std::nullopt;
    }
    LogLine result;
    result.time = *time;
    result.host = time == words.begin() ? std::string(file) : *(time - 1);
    const auto &number = *(time + 2);
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), result.event);
    if (error != std::errc{} || end != number.data() + number.size()) {
        return std::nullopt;
    }
    result.name = *(time + 3);
    for (auto word = time + 1 + kWordsBeforeFields; word != words.end(); ++word) {
        const auto equals = word->find('=');
        if (equals != std::string::npos) {
            result.fields.emplace(word->substr(0, equals), word->substr(equals + 1));
        }
    }
    result.text = line.substr(line.find(result.time) + kTimeBytes + 1);
    return result;
}

} // namespace medlarway
