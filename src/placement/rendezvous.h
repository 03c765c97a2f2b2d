#pragma once

#include "base/host.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace medlarway
{

/// The weight of a candidate for a key; the highest wins. Every host computes the same value.
std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate);

/// True if the member may own keys: it is alive or suspect, not leaving.
bool mayOwn(const Member &member);

/// The owner of a key in a view; nullopt if no member may own keys.
std::optional<HostId> ownerOf(std::uint64_t key, const View &view);

/// The members that may own keys, by descending weight for this key, at most count of them.
std::vector<HostId> rankHosts(std::uint64_t key, std::span<const Member> members, std::size_t count);

/// The hosts by descending weight for the key, at most count of them.
std::vector<HostId> rankHosts(std::uint64_t key, std::span<const HostId> hosts, std::size_t count);

/// The positions of the candidates (hashes of endpoints or names) by descending weight for the key, at most count of them.
std::vector<std::size_t> rankCandidates(std::uint64_t key, std::span<const std::uint64_t> candidates, std::size_t count);

} // namespace medlarway
