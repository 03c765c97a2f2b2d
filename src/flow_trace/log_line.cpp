#include "flow_trace/log_line.h"

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

bool isTimestamp(std::string_view word)
{
    constexpr std::string_view kPattern = "dddd-dd-ddTdd:dd:dd.dddZ";
    return word.size() == kTimeBytes && std::equal(word.begin(), word.end(), kPattern.begin(), [](char c, char pattern) {
               return pattern == 'd' ? std::isdigit(static_cast<unsigned char>(c)) != 0 : c == pattern;
           });
}

// Splits a line at spaces. Quoted text is part of a single word, without its quotes and escapes.
std::vector<std::string> splitWords(std::string_view line)
{
    std::vector<std::string> words;
    std::string word;
    bool quoted = false;
    bool started = false;
    for (std::size_t index = 0; index < line.size(); ++index) {
        const char c = line[index];
        if (quoted && c == '\\' && index + 1 < line.size()) {
            word += line[++index];
        } else if (c == '"') {
            quoted = !quoted;
            started = true;
        } else if (c == ' ' && !quoted) {
            if (started) {
                words.push_back(std::exchange(word, {}));
            }
            started = false;
        } else {
            word += c;
            started = true;
        }
    }
    if (started) {
        words.push_back(word);
    }
    return words;
}

} // namespace

std::optional<LogLine> parseLogLine(std::string_view line, std::string_view file)
{
    constexpr std::size_t kWordsBeforeFields = 4; // level, event number, event name, summary
    const auto words = splitWords(line);
    const auto time = std::find_if(words.begin(), words.end(), [](const std::string &word) { return isTimestamp(word); });
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
