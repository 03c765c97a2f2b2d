#include "proxy/http_rules.h"

#include <algorithm>
#include <charconv>

namespace medlarway
{

namespace
{

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kMaxLengthDigits = 18; // any number of this many digits fits into 64 bits
constexpr std::size_t kMaxDeadlineDigits = 12;
constexpr Duration kMaxRetryAfter = std::chrono::minutes{1};
constexpr Duration kRetryAfterOfDate = std::chrono::seconds{1};

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isAlpha(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool allDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isDigit);
}

// A field value may contain any character except control characters other than tab.
bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t') || byte == 0x7f;
    });
}

bool isTarget(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

bool isVersion(std::string_view text)
{
    return text == "HTTP/1.1" || text == "HTTP/1.0";
}

// The fields of a head that affect framing and validity.
struct FieldSummary {
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
    bool chunked = false;
};

// Parses a line "name: value". Rejects a space before the colon and line folding, on which parsers differ.
bool readField(std::string_view line, FieldSummary &summary)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)) || !isFieldValue(line)) {
        return false;
    }
    const auto name = line.substr(0, colon);
    const auto value = trimmed(line.substr(colon + 1));
    if (equalsIgnoringCase(name, "Content-Length")) {
        ++summary.lengths;
        return allDigits(value) && value.size() <= kMaxLengthDigits;
    }
    if (equalsIgnoringCase(name, "Transfer-Encoding")) {
        ++summary.encodings;
        summary.chunked = equalsIgnoringCase(value, "chunked");
        return summary.chunked;
    }
    if (equalsIgnoringCase(name, "Host")) {
        ++summary.hosts;
    }
    return true;
}

// Parses all fields. Returns false if one is malformed or if the length of the body is ambiguous.
bool readFields(std::string_view lines, FieldSummary &summary)
{
    while (!lines.starts_with(kLineEnd)) {
        const auto end = lines.find(kLineEnd);
        if (end == std::string_view::npos || !readField(lines.substr(0, end), summary)) {
            return false;
        }
        lines.remove_prefix(end + kLineEnd.size());
    }
    return lines.size() == kLineEnd.size() && summary.lengths + summary.encodings <= 1;
}

std::string_view takeFirstLine(std::string_view &head)
{
    const auto end = std::min(head.find(kLineEnd), head.size() - kLineEnd.size());
    const auto line = head.substr(0, end);
    head.remove_prefix(end + kLineEnd.size());
    return line;
}

} // namespace

bool isToken(std::string_view text)
{
    constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [kMarks](char c) {
        return isAlpha(c) || isDigit(c) || kMarks.find(c) != std::string_view::npos;
    });
}

bool equalsIgnoringCase(std::string_view first, std::string_view second)
{
    return std::equal(first.begin(), first.end(), second.begin(), second.end(), [](char a, char b) { return toLower(a) == toLower(b); });
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// A bare CR or LF is rejected as soon as it is found, since such a head might never be completed and
// would only time out.
HeadScan scanHead(std::string_view bytes, std::size_t searched)
{
    // The last scanned byte is checked again, since it may be a CR whose LF had not arrived yet.
    std::size_t position = bytes.find_first_of(kLineEnd, searched == 0 ? 0 : searched - 1);
    for (; position != std::string_view::npos; position = bytes.find_first_of(kLineEnd, position + 1)) {
        if (bytes[position] == '\r') {
            if (position + 1 < bytes.size() && bytes[position + 1] != '\n') {
                return HeadScan{HeadScan::State::Malformed, 0};
            }
            continue;
        }
        const auto read = bytes.substr(0, position + 1);
        if (!read.ends_with(kLineEnd)) {
            return HeadScan{HeadScan::State::Malformed, 0};
        }
        if (read.ends_with(kHeadEnd)) {
            return HeadScan{HeadScan::State::Complete, position + 1};
        }
    }
    return HeadScan{};
}

std::optional<ErrorKind> checkRequestHead(std::string_view head)
{
    // Step 1. The head is complete and has no other line endings.
    if (scanHead(head) != HeadScan{HeadScan::State::Complete, head.size()}) {
        return ErrorKind::MalformedRequest;
    }

    // Step 2. The request line has three parts separated by single spaces. CONNECT opens a tunnel, which can't be forwarded.
    const auto line = takeFirstLine(head);
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last || !isToken(line.substr(0, first))
        || !isTarget(line.substr(first + 1, last - first - 1)) || !isVersion(line.substr(last + 1)) || line.starts_with("CONNECT ")) {
        return ErrorKind::MalformedRequest;
    }

    // Step 3. At most one field may determine the body's length. HTTP/1.0 has no chunks; HTTP/1.1 requires exactly one Host.
    const bool http10 = line.ends_with("1.0");
    FieldSummary summary;
    if (!readFields(head, summary) || (http10 && summary.encodings > 0) || summary.hosts > 1 || (!http10 && summary.hosts != 1)) {
        return ErrorKind::MalformedRequest;
    }
    return std::nullopt;
}

std::optional<ErrorKind> checkResponseHead(std::string_view head)
{
    if (scanHead(head) != HeadScan{HeadScan::State::Complete, head.size()}) {
        return ErrorKind::UpstreamBadAnswer;
    }
    constexpr std::size_t kVersionSize = 8;
    constexpr std::size_t kStatusEnd = 12;
    const auto line = takeFirstLine(head);
    if (line.size() < kStatusEnd || !isVersion(line.substr(0, kVersionSize)) || line[kVersionSize] != ' '
        || !allDigits(line.substr(kVersionSize + 1, 3)) || line[kVersionSize + 1] == '0' || !isFieldValue(line)
        || (line.size() > kStatusEnd && line[kStatusEnd] != ' ')) {
        return ErrorKind::UpstreamBadAnswer;
    }
    FieldSummary summary;
    if (!readFields(head, summary)) {
        return ErrorKind::UpstreamBadAnswer;
    }
    return std::nullopt;
}

std::optional<Duration> parseDeadline(std::string_view value)
{
    if (!allDigits(value) || value.size() > kMaxDeadlineDigits) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    std::from_chars(value.data(), value.data() + value.size(), milliseconds);
    return std::chrono::milliseconds{milliseconds};
}

Duration parseRetryAfter(std::string_view value)
{
    if (!allDigits(value)) {
        return kRetryAfterOfDate;
    }
    constexpr std::size_t kMaxDigits = 6;
    if (value.size() > kMaxDigits) {
        return kMaxRetryAfter;
    }
    std::int64_t seconds = 0;
    std::from_chars(value.data(), value.data() + value.size(), seconds);
    return std::min<Duration>(std::chrono::seconds{seconds}, kMaxRetryAfter);
}

} // namespace medlarway
