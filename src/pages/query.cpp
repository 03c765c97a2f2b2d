#include "pages/query.h"

#include <charconv>
#include <fmt/format.h>

namespace medlarway
{

namespace
{

constexpr int kHexBase = 16;

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string result;
    while (!text.empty()) {
        if (text.front() != '%') {
            result += text.front() == '+' ? ' ' : text.front();
            text.remove_prefix(1);
            continue;
        }
        const auto digits = text.substr(1, 2);
        unsigned char value = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, kHexBase);
        if (error != std::errc{} || digits.size() != 2 || end != digits.data() + 2) {
            return std::nullopt;
        }
        result += static_cast<char>(value);
        text.remove_prefix(3);
    }
    return result;
}

} // namespace

std::optional<RequestTarget> parseTarget(std::string_view target)
{
    const auto queryStart = target.find('?');
    RequestTarget result{std::string(target.substr(0, queryStart)), {}};
    auto query = queryStart == std::string_view::npos ? std::string_view{} : target.substr(queryStart + 1);
    while (!query.empty()) {
        const auto pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
        const auto equals = pair.find('=');
        const auto key = percentDecode(pair.substr(0, equals));
        const auto value
            = equals == std::string_view::npos ? std::optional<std::string>(std::string{}) : percentDecode(pair.substr(equals + 1));
        if (!key || !value) {
            return std::nullopt;
        }
        result.query.insert_or_assign(*key, *value);
    }
    return result;
}

std::string encodeQueryValue(std::string_view value)
{
    constexpr std::string_view kUnescaped = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/:";
    std::string result;
    for (const char c : value) {
        if (kUnescaped.find(c) != std::string_view::npos) {
            result += c;
        } else {
            result += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return result;
}

} // namespace medlarway
