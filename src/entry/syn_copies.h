#pragma once

#include "base/time.h"
#include "steering/flow_packet.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace medlarway
{

/// Maximum number of SYNs kept: some hundred kilobytes.
inline constexpr std::size_t kMaxSynsKept = 4096;

/// How long a SYN is kept. Longer than the 1.4 s after which a client gives up opening a flow.
inline constexpr Duration kSynKeepTime = std::chrono::seconds{2};

/// Copies of the datagrams of SYNs that may have to be sent again or later. Not thread-safe.
class SynCopies
{
public:
    /// Keeps the latest copy of a flow's SYN, unless kMaxSynsKept that have not expired are kept already.
    void keep(const FlowId &flow, std::span<const std::uint8_t> datagram, Time now);

    /// The flow's SYN; nullptr if it was not kept. Valid until the next call.
    std::vector<std::uint8_t> *find(const FlowId &flow);

    /// Removes and returns the flow's SYN; empty if it was not kept.
    std::vector<std::uint8_t> take(const FlowId &flow);

    /// Drops all SYNs.
    void clear()
    {
        copies_.clear();
    }

    /// Drops SYNs older than kSynKeepTime.
    void expire(Time now);

private:
    struct Copy {
        std::vector<std::uint8_t> datagram;
        Time keptAt;
    };

    boost::unordered_flat_map<FlowId, Copy, FlowIdHash> copies_;
};

} // namespace medlarway
