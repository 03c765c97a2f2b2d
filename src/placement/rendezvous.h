#pragma once

#include "base/host.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace medlarway
{

/// The weight of a candidate for a key; the highest wins. The same on every host.
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate);

/// True where the member may be given keys: alive or suspect, not leaving.
bool mayOwn(const Member &member);

/// The host that owns a key in a view; nullopt where no member may own one.
std::optional<HostId> ownerOf(std::uint64_t key, const View &view);

/// The members that may own the key, best first, at most count of them.
std::vector<HostId> rankHosts(std::uint64_t key, std::span<const Member> members, std::size_t count);

/// Plain hosts for the key, best first, at most count of them.
std::vector<HostId> rankHosts(std::uint64_t key, std::span<const HostId> hosts, std::size_t count);

/// The positions of plain candidates (hashes of endpoints, names) for the key, best first, at most count of them.
std::vector<std::size_t> rankCandidates(std::uint64_t key, std::span<const std::uint64_t> candidates, std::size_t count);

} // namespace medlarway
