#pragma once

#include "entry/packet_socket.h"
#include "entry/syn_copies.h"
#include "platform/packet_layout.h"
#include "steering/flow_steering.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <span>
#include <vector>

namespace medlarway
{

/// Keeps the datagrams of held SYNs, and forwards or resets them as the steering decides. To be used only on the thread that runs the
/// context.
class HeldSyns
{
public:
    struct Callbacks {
        std::function<void(std::vector<OutgoingPacket> &)> send; ///< sends packets at once
        std::function<void()> beforeUse; ///< called before time is used for decisions, to notice a pause of the process
    };

    /// packets: address of this host; clients receive on the same port number.
    HeldSyns(boost::asio::io_context &context, FlowSteering &steering, const Endpoint &packets, Callbacks callbacks);

    /// Sets when the platform last confirmed this host's data, for the log.
    void setConfirmedAt(Time time)
    {
        confirmedAt_ = time;
    }

    /// Keeps a SYN that the steering holds, in place of an earlier copy.
    void keep(const FlowId &flow, std::span<const std::uint8_t> datagram, Time now);

    /// Appends the packets of the flows that are decided on by now. They are valid until the next call of release() or end().
    void release(std::vector<OutgoingPacket> &outgoing, Time now);

    /// Forwards or resets all held SYNs, before the host exits.
    void end(Time now);

    /// Drops all held SYNs after a pause of the process.
    void drop(Time now);

private:
    void startTimer();
    void append(const std::vector<HeldDecision> &decisions, std::vector<OutgoingPacket> &outgoing, Time now);

    FlowSteering &steering_;
    Endpoint packets_;
    Callbacks callbacks_;
    boost::asio::steady_timer timer_;
    Time confirmedAt_;
    bool timerRuns_ = false;
    SynCopies copies_;
    std::deque<std::vector<std::uint8_t>> released_; ///< SYNs to send
    std::deque<PacketHeader> resets_; ///< resets to send
};

} // namespace medlarway
