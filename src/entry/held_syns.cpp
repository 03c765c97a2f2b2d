#include "entry/held_syns.h"

#include "base/contained.h"
#include "entry/flow_log.h"

#include <utility>

namespace medlarway
{

HeldSyns::HeldSyns(boost::asio::io_context &context, FlowSteering &steering, const Endpoint &packets, Callbacks callbacks)
    : steering_(steering)
    , packets_(packets)
    , callbacks_(std::move(callbacks))
    , timer_(context)
{
}

void HeldSyns::keep(const FlowId &flow, std::span<const std::uint8_t> datagram, Time now)
{
    copies_.keep(flow, datagram, now);
    startTimer();
}

// Runs only while SYNs are held.
void HeldSyns::startTimer()
{
    if (timerRuns_ || steering_.heldCount() == 0) {
        return;
    }
    timerRuns_ = true;
    timer_.expires_after(toSteady(kHoldTimer));
    timer_.async_wait([this](const boost::system::error_code &error) {
        timerRuns_ = false;
        if (error) {
            return;
        }
        contain("held flows", [this] {
            callbacks_.beforeUse();
            std::vector<OutgoingPacket> outgoing;
            const auto now = monotonicNow();
            release(outgoing, now);
            copies_.expire(now);
            callbacks_.send(outgoing);
        });
        startTimer();
    });
}

void HeldSyns::release(std::vector<OutgoingPacket> &outgoing, Time now)
{
    append(steering_.releaseHeld(now), outgoing, now);
}

void HeldSyns::end(Time now)
{
    std::vector<OutgoingPacket> outgoing;
    append(steering_.endHolding(now), outgoing, now);
    callbacks_.send(outgoing);
}

void HeldSyns::drop(Time now)
{
    copies_.clear(); // also of flows whose decisions the steering discards
    for (const auto &flow : steering_.notifyPause(now)) {
        logFlow(Event::FlowUnanswered, steering_, {flow, "paused", kNoUpstream, confirmedAt_}, now);
    }
}

void HeldSyns::append(const std::vector<HeldDecision> &decisions, std::vector<OutgoingPacket> &outgoing, Time now)
{
    released_.clear();
    resets_.clear();
    for (const auto &held : decisions) {
        auto syn = copies_.take(held.flow);
        const auto packet = decodePacket(syn);
        const auto &decision = held.decision;
        logFlow(eventOf(decision), steering_, {held.flow, reasonName(decision.reason), decision.upstream, confirmedAt_, held.waited}, now);
        if (!packet) {
            continue; // the limit of copies was reached; the client will send its SYN again
        }
        if (decision.action == SteeringAction::Forward) {
            const auto &upstream = steering_.directory().at(decision.upstream);
            writeToken(syn, steering_.tokenFor(*packet, decision.upstream));
            released_.push_back(std::move(syn));
            outgoing.push_back({upstream.entry.address, recipientPrefix(upstream.entry), kRecipientBytes, released_.back()});
        } else if (decision.action == SteeringAction::Reset) {
            resets_.push_back(resetForPacket(*packet));
            outgoing.push_back({Endpoint{packet->flow.client.address, packets_.port}, {}, 0, resets_.back()});
        }
    }
}

} // namespace medlarway
