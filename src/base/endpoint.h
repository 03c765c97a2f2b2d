#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// An IPv4 address and port, both in host byte order. Immutable by use; compare with ==.
struct Endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default; // NOLINT(modernize-use-nullptr): the check takes <=> for a 0
};

/// Reads "a.b.c.d:port"; nullopt where the text is anything else. Never throws.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Reads "a.b.c.d" into host byte order; nullopt where the text is anything else. Never throws.
std::optional<std::uint32_t> parseAddress(std::string_view text);

/// Writes "a.b.c.d:port".
std::string endpointToString(const Endpoint &endpoint);

/// Writes "a.b.c.d" for an address in host byte order.
std::string addressToString(std::uint32_t address);

} // namespace medlarway

template<>
struct std::hash<medlarway::Endpoint> {
    std::size_t operator()(const medlarway::Endpoint &endpoint) const noexcept
    {
        return std::hash<std::uint64_t>{}((std::uint64_t{endpoint.address} << 16U) | endpoint.port);
    }
};
