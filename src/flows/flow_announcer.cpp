#include "flows/flow_announcer.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

FlowAnnouncer::FlowAnnouncer(HostId self, std::size_t announcesPerSecond, Duration repeatInterval)
    : self_(self)
    , announcesPerSecond_(announcesPerSecond)
    , repeatInterval_(repeatInterval)
{
}

void FlowAnnouncer::restart()
{
    // Abort the current walk: it was started with the previous owners.
    complete_ = false;
    foundUnannounced_ = true;
    nextSlot_ = static_cast<std::size_t>(-1);
    walkStarted_ = Time{};
}

void FlowAnnouncer::countStart(HostId owner)
{
    ++startCounts_[owner];
}

std::uint8_t FlowAnnouncer::startCount(HostId owner) const
{
    const auto found = startCounts_.find(owner);
    return found == startCounts_.end() ? 0 : found->second;
}

bool FlowAnnouncer::isAnnouncedTo(HostId owner, const FlowEntry &entry) const
{
    const bool isOwn = owner == self_ || owner == HostId{};
    const bool wasAnnounced = owner == entry.announcedTo && entry.announcedToStart == startCount(owner);
    const bool isHolder = owner == entry.holder && entry.holderStart == startCount(owner);
    return isOwn || wasAnnounced || isHolder;
}

// Returns true if a step is due now, and sets its limits.
bool FlowAnnouncer::startStep(Time now, std::size_t slotCount)
{
    if (complete_) {
        return false;
    }
    // Step 1. The last walk found unannounced flows: leave the owners time to acknowledge, then start the next walk.
    if (nextSlot_ >= slotCount) {
        if (walkStarted_ != Time{} && now < walkStarted_ + repeatInterval_) {
            return false;
        }
        nextSlot_ = 0;
        foundUnannounced_ = false;
        walkStarted_ = now;
        unacknowledged_.clear();
    }
    // Step 2. Scale the number of announcements with the elapsed time, so that the rate in bytes/s is bounded.
    const auto elapsed = std::clamp<Duration>(now - lastStep_, std::chrono::milliseconds{1}, std::chrono::milliseconds{100});
    lastStep_ = now;
    const auto milliseconds = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
    announcesLeft_ = std::max<std::size_t>(announcesPerSecond_ * milliseconds / 1000, 1);
    slotsLeft_ = kMaxSlotsPerStep;
    return true;
}

void FlowAnnouncer::add(HostId owner, const FlowEntry &entry, Outbox<FlowMessage> &outbox)
{
    foundUnannounced_ = true;
    --announcesLeft_;
    const auto holder = entry.location == FlowLocation::Local ? self_ : entry.holder;
    auto &flows = pending_[{owner, holder}];
    flows.push_back({entry.key.caller, entry.key.service, entry.upstream});
    if (flows.size() >= kMaxFlowsPerMessage) {
        send(owner, holder, flows, outbox);
    }
}

void FlowAnnouncer::send(HostId owner, HostId holder, std::vector<FlowBinding> &flows, Outbox<FlowMessage> &outbox)
{
    Batch batch{owner, holder, startCount(owner), {}};
    for (const auto &flow : flows) {
        batch.keys.push_back({flow.caller, flow.service});
    }
    FlowMessage message;
    message.kind = FlowMessageKind::Announce;
    message.batchId = ++lastBatchId_;
    message.holder = holder;
    message.flows = std::exchange(flows, {});
    outbox.push_back({owner, std::move(message)});
    unacknowledged_[lastBatchId_] = std::move(batch);
}

void FlowAnnouncer::flush(Outbox<FlowMessage> &outbox)
{
    for (auto &[hosts, flows] : pending_) {
        if (!flows.empty()) {
            send(hosts.first, hosts.second, flows, outbox);
        }
    }
    pending_.clear();
}

// Marks the flows of the batch as announced, except those whose holder has changed since.
void FlowAnnouncer::onAnnounceAck(HostId owner, std::uint64_t batchId, FlowTable &table)
{
    const auto found = unacknowledged_.find(batchId);
    if (found == unacknowledged_.end() || found->second.owner != owner) {
        return;
    }
    const auto batch = std::move(found->second);
    unacknowledged_.erase(found);
    for (const auto &key : batch.keys) {
        auto *entry = table.find(key);
        if (entry == nullptr) {
            continue;
        }
        const auto holder = entry->location == FlowLocation::Local ? self_ : entry->holder;
        if (holder == batch.holder) {
            entry->announcedTo = owner;
            entry->announcedToStart = batch.ownerStart;
        }
    }
}

} // namespace medlarway
