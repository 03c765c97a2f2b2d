#pragma once

#include "steering/snapshot.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// What many upstreams have in common. Texts are positions in PackedDelta::texts.
struct UpstreamShape {
    std::uint32_t idPrefix = 0; ///< what precedes the number in the id; the whole id if idDigits is 0
    std::uint8_t idDigits = 0; ///< hexadecimal digits of the number in the id
    std::uint32_t service = 0;
    std::uint32_t zone = 0;
    std::uint16_t port = 0;
    std::uint32_t slots = 0;
    bool draining = false;
    Duration warmUpLeft{};
    std::uint64_t era = 0; ///< of the entry's revision

    friend auto operator<=>(const UpstreamShape &, const UpstreamShape &) = default;
};

/// A delta whose upstreams take a quarter of the bytes: what they share is listed once, and numbers are differences from those of the
/// upstream before. The columns have one element for each upstream.
struct PackedDelta {
    SteeringDelta rest; ///< without upstreams
    std::vector<std::string> texts;
    std::vector<UpstreamShape> shapes;
    std::vector<std::uint32_t> shapeOf;
    std::vector<std::int64_t> numbers;
    std::vector<std::int64_t> addresses;
    std::vector<std::int64_t> starts;
    std::vector<std::int64_t> revisions;

    friend bool operator==(const PackedDelta &, const PackedDelta &) = default;
};

/// Nullopt if the delta exceeds the limits below; it has to be sent as it is then.
std::optional<PackedDelta> packDelta(const SteeringDelta &delta);

/// The inverse. Throws Error(PeerMalformed).
SteeringDelta unpackDelta(const PackedDelta &packed);

/// Limits of a packed delta, as a few bytes could stand for many otherwise.
inline constexpr std::size_t kMaxPackedUpstreams = 1U << 16U;
inline constexpr std::size_t kMaxPackedTextBytes = 512;

} // namespace medlarway
