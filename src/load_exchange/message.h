#pragma once

#include "base/host.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace medlarway
{

/// Demand of one host. Demands are in hundredths of a concurrent request, in the order of the message's services; 0: not told.
struct HostDemand {
    HostId host; ///< 0: the sender
    std::uint16_t ageMs = 0; ///< since it was measured
    std::vector<std::uint32_t> hundredths;

    friend bool operator==(const HostDemand &, const HostDemand &) = default;
};

/// Sums of an availability zone, in the order of the message's services.
struct ZoneSums {
    std::string zone;
    std::uint16_t ageMs = 0; ///< since the oldest part was measured, summed over all hosts that passed it on
    std::vector<std::uint32_t> hundredths; ///< demand, as in HostDemand
    std::vector<std::uint32_t> hosts; ///< number of hosts in each sum

    friend bool operator==(const ZoneSums &, const ZoneSums &) = default;
};

/// Tells what callers ask. Within a zone it has hosts; to a seed it has the sums of the sender's zone.
struct DemandReport {
    std::uint16_t number = 0; ///< increases with each report of the sender to any host; the reply repeats it
    std::uint16_t intervalMs = 0; ///< shortest interval that the sender's own reporters leave it
    std::vector<std::string> services;
    std::vector<HostDemand> hosts;
    std::vector<ZoneSums> zones;

    friend bool operator==(const DemandReport &, const DemandReport &) = default;
};

/// The response to a DemandReport, with the sums of all zones for the services of the report.
struct DemandReply {
    std::uint16_t number = 0;
    std::uint16_t heldMs = 0; ///< time from the receipt of the report to this reply
    std::uint16_t nextMs = 0; ///< when the receiver shall report again, if it still has to
    std::vector<ZoneSums> zones;

    friend bool operator==(const DemandReply &, const DemandReply &) = default;
};

using DemandMessage = std::variant<DemandReport, DemandReply>;

/// Size of the encoded message in bytes, without an envelope.
std::size_t encodedBytes(const DemandReport &report);
std::size_t encodedBytes(const DemandReply &reply);

/// Largest encoded message; with its envelope it fits into a datagram.
inline constexpr std::size_t kMaxDemandBytes = 1400;

/// What an envelope adds to a message in bytes.
inline constexpr std::size_t kDemandEnvelopeBytes = 42;

/// Limits of what a message may contain; one with more is refused.
inline constexpr std::size_t kMaxReportedServices = 16;
inline constexpr std::size_t kMaxReportedHosts = 64;
inline constexpr std::size_t kMaxDemandZones = 16;
inline constexpr std::size_t kMaxNameBytes = 255;

} // namespace medlarway
