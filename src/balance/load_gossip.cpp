#include "balance/load_gossip.h"

#include "balance/slot_leases.h"

#include <algorithm>
#include <chrono>

namespace medlarway
{

void LoadGossip::setView(UpstreamTable &table, const View &view, HostId self)
{
    peers_.clear();
    for (const Member &member : view.members) {
        if (member.id != self) {
            peers_.push_back(member.id);
        }
    }
    for (UpstreamState &state : table.all()) {
        std::erase_if(state.peerLoads,
                      [this](const PeerLoad &entry) { return std::find(peers_.begin(), peers_.end(), entry.peer) == peers_.end(); });
    }
}

void LoadGossip::publish(UpstreamTable &table, Time now, Outbox<SlotMessage> &outbox)
{
    constexpr Duration kPublishInterval = std::chrono::milliseconds{10};
    if (now < nextPublishAt_) {
        return;
    }
    nextPublishAt_ = now + kPublishInterval;
    for (UpstreamState &state : table.all()) {
        if (state.publishedRunning == state.running) {
            continue;
        }
        state.publishedRunning = state.running;
        const SlotMessage message{static_cast<std::uint8_t>(SlotMessageKind::LoadReport), state.upstream.address, 0, 0, state.running};
        for (const HostId peer : peers_) {
            outbox.push_back({peer, message});
        }
    }
}

void LoadGossip::receive(UpstreamTable &table, HostId from, const SlotMessage &message)
{
    UpstreamState *state = table.find(message.upstream);
    if (state == nullptr) {
        return;
    }
    const auto running = static_cast<std::uint32_t>(std::min<std::uint64_t>(message.amount, state->slots.size()));
    const auto existing
        = std::find_if(state->peerLoads.begin(), state->peerLoads.end(), [from](const PeerLoad &entry) { return entry.peer == from; });
    if (existing != state->peerLoads.end()) {
        existing->running = running;
    } else {
        state->peerLoads.push_back({from, running});
    }
}

} // namespace medlarway
