#include "balance/peer_counts.h"

#include "balance/slots.h"

#include <algorithm>
#include <chrono>

namespace medlarway
{

// Counts of hosts that left the view are dropped with it.
void PeerCounts::setView(UpstreamTable &table, const View &view, HostId self)
{
    peers_.clear();
    for (const Member &member : view.members) {
        if (member.id != self) {
            peers_.push_back(member.id);
        }
    }
    for (UpstreamState &state : table.all()) {
        std::erase_if(state.peers,
                      [this](const PeerRunning &entry) { return std::find(peers_.begin(), peers_.end(), entry.peer) == peers_.end(); });
    }
}

void PeerCounts::publish(UpstreamTable &table, Time now, Outbox<SlotMessage> &outbox)
{
    constexpr Duration kPublishPeriod = std::chrono::milliseconds{10};
    if (now < publishAgain_) {
        return;
    }
    publishAgain_ = now + kPublishPeriod;
    for (UpstreamState &state : table.all()) {
        if (state.toldRunning == state.running) {
            continue;
        }
        state.toldRunning = state.running;
        const SlotMessage message{static_cast<std::uint8_t>(SlotMessageKind::Count), state.upstream.address, 0, 0, state.running};
        for (const HostId peer : peers_) {
            outbox.push_back({peer, message});
        }
    }
}

void PeerCounts::receive(UpstreamTable &table, HostId from, const SlotMessage &message)
{
    UpstreamState *state = table.find(message.upstream);
    if (state == nullptr) {
        return;
    }
    const auto running = static_cast<std::uint32_t>(std::min<std::uint64_t>(message.amount, state->slots.size()));
    const auto known
        = std::find_if(state->peers.begin(), state->peers.end(), [from](const PeerRunning &entry) { return entry.peer == from; });
    if (known != state->peers.end()) {
        known->running = running;
    } else {
        state->peers.push_back({from, running});
    }
}

} // namespace medlarway
