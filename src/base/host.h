#pragma once

#include "base/endpoint.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace medlarway
{

/// Identifies a host by the address and port that its peers reach it at. A host that is
/// replaced at the same address keeps its id and is told apart by its incarnation.
struct HostId {
    std::uint64_t value = 0;

    friend auto operator<=>(const HostId &, const HostId &) = default; // NOLINT(modernize-use-nullptr): the check takes <=> for a 0
};

/// The id of the host whose peers' port is at the endpoint.
constexpr HostId hostIdOf(const Endpoint &endpoint)
{
    return HostId{(std::uint64_t{endpoint.address} << 16U) | endpoint.port};
}

/// The endpoint that peers reach the host at.
constexpr Endpoint endpointOf(HostId host)
{
    return Endpoint{static_cast<std::uint32_t>(host.value >> 16U), static_cast<std::uint16_t>(host.value)};
}

/// A group of hosts and upstreams that fail and are cut off together.
struct AvailabilityZone {
    std::string name;

    friend auto operator<=>(const AvailabilityZone &, const AvailabilityZone &) = default; // NOLINT(modernize-use-nullptr): as above
};

/// What a view says of a member.
enum class HostState : std::uint8_t {
    Alive, ///< answers probes
    Suspect, ///< missed probes, may still refute
    Leaving, ///< finishes what it has, takes nothing new
};

/// One host of a view.
struct Member {
    HostId id;
    AvailabilityZone zone;
    HostState state = HostState::Alive;
    std::uint64_t incarnation = 0;

    friend bool operator==(const Member &, const Member &) = default;
};

/// The hosts that one host believes to be members, itself included, in the order of their ids.
/// Views of two hosts may differ; the number counts this host's own changes only.
struct View {
    std::uint64_t number = 0;
    std::vector<Member> members;

    friend bool operator==(const View &, const View &) = default;
};

} // namespace medlarway

template<>
struct std::hash<medlarway::HostId> {
    std::size_t operator()(const medlarway::HostId &host) const noexcept
    {
        return std::hash<std::uint64_t>{}(host.value);
    }
};
