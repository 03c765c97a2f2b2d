#pragma once

#include "base/time.h"
#include "steering/syn_arrivals.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <vector>

namespace medlarway
{

/// How long a packet may be kept: until its client sends it again, after which the later copy counts.
Duration earlyPacketLifetime(const FlowPacket &packet);

/// Keeps the packets that arrive while the host does not have the platform's data, and hands them over once it has. Without this, each of
/// them would wait for its retransmission. To be used only on the thread that runs the context.
class EarlyPackets
{
public:
    /// What the datagram of a kept packet does not tell.
    struct Arrival {
        Duration waited{}; ///< how long it has been kept
        bool allSynsHere = false; ///< see FlowPacket::allSynsHere
    };

    struct Callbacks {
        std::function<void()> beforeUse; ///< called before time is used for decisions, to notice a pause of the process
        std::function<bool()> usable; ///< whether packets can be decided on now
        /// Decides on packets, in order of arrival.
        std::function<void(std::span<std::span<std::uint8_t>> datagrams, std::span<const Arrival> arrivals)> process;
        std::function<void(const FlowPacket &packet, Duration waited)> expired; ///< tells of a packet that was dropped
    };

    /// Limit of the packets kept: about a megabyte if all are of full size.
    static constexpr std::size_t kMaxPackets = 1024;

    EarlyPackets(boost::asio::io_context &context, Callbacks callbacks);

    /// Keeps a packet; a SYN takes the place of an earlier copy. A packet beyond kMaxPackets is dropped and counts as expired.
    void keep(const FlowPacket &packet, std::span<const std::uint8_t> datagram, Time now);

    /// Hands the packets over if they can be decided on now, and drops those that have expired.
    void update(Time now);

    /// Drops all packets after a pause of the process: the clients have sent them again.
    void drop(Time now);

    std::size_t size() const
    {
        return packets_.size();
    }

private:
    struct Kept {
        FlowPacket packet;
        std::vector<std::uint8_t> datagram;
        Time since;
        Time expiresAt;
    };

    void startTimer();
    void processAll(Time now);

    Callbacks callbacks_;
    boost::asio::steady_timer timer_;
    bool timerRuns_ = false;
    std::deque<Kept> packets_; ///< in order of arrival
    boost::unordered_flat_map<FlowId, SynArrivals, FlowIdHash> syns_; ///< the copies of SYNs that were kept, also of those dropped since
};

} // namespace medlarway
