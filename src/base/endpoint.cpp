#include "base/endpoint.h"

#include <charconv>
#include <fmt/format.h>

namespace medlarway
{

namespace
{

constexpr int kAddressParts = 4;
constexpr unsigned kMaxOctet = 255;
constexpr unsigned kMaxPort = 65535;

// Takes a decimal number without sign or leading zeros off the front of text.
std::optional<unsigned> takeNumber(std::string_view &text, unsigned highest)
{
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const auto length = static_cast<std::size_t>(end - text.data());
    if (error != std::errc{} || value > highest || (length > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    text.remove_prefix(length);
    return value;
}

bool takeCharacter(std::string_view &text, char expected)
{
    if (text.empty() || text.front() != expected) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

std::optional<std::uint32_t> takeAddress(std::string_view &text)
{
    std::uint32_t address = 0;
    for (int part = 0; part < kAddressParts; ++part) {
        if (part > 0 && !takeCharacter(text, '.')) {
            return std::nullopt;
        }
        const auto octet = takeNumber(text, kMaxOctet);
        if (!octet) {
            return std::nullopt;
        }
        address = (address << 8U) | *octet;
    }
    return address;
}

} // namespace

std::optional<std::uint32_t> parseAddress(std::string_view text)
{
    const auto address = takeAddress(text);
    return text.empty() ? address : std::nullopt;
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto address = takeAddress(text);
    if (!address || !takeCharacter(text, ':')) {
        return std::nullopt;
    }
    const auto port = takeNumber(text, kMaxPort);
    if (!port || !text.empty()) {
        return std::nullopt;
    }
    return Endpoint{*address, static_cast<std::uint16_t>(*port)};
}

std::string addressToString(std::uint32_t address)
{
    return fmt::format("{}.{}.{}.{}", address >> 24U, (address >> 16U) & kMaxOctet, (address >> 8U) & kMaxOctet, address & kMaxOctet);
}

std::string endpointToString(const Endpoint &endpoint)
{
    return fmt::format("{}:{}", addressToString(endpoint.address), endpoint.port);
}

} // namespace medlarway
