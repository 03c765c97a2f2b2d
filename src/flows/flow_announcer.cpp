#include "flows/flow_announcer.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

FlowAnnouncer::FlowAnnouncer(HostId self, std::size_t announcesPerSecond, Duration repeatAfter)
    : self_(self)
    , announcesPerSecond_(announcesPerSecond)
    , repeatAfter_(repeatAfter)
{
}

void FlowAnnouncer::restart()
{
    // A walk that is under way was begun with other owners and says nothing about these.
    settled_ = false;
    foundAny_ = true;
    slot_ = static_cast<std::size_t>(-1);
    walkStarted_ = Time{};
}

void FlowAnnouncer::noteStart(HostId owner)
{
    ++starts_[owner];
}

std::uint8_t FlowAnnouncer::startOf(HostId owner) const
{
    const auto found = starts_.find(owner);
    return found == starts_.end() ? 0 : found->second;
}

bool FlowAnnouncer::isKnownTo(HostId owner, const FlowEntry &entry) const
{
    const bool isOwn = owner == self_ || owner == HostId{};
    const bool wasTold = owner == entry.told && entry.toldStart == startOf(owner);
    const bool holdsIt = owner == entry.holder && entry.holderStart == startOf(owner);
    return isOwn || wasTold || holdsIt;
}

// Decides whether there is something to do now, and how much.
bool FlowAnnouncer::beginStep(Time now, std::size_t slotCount)
{
    if (settled_) {
        return false;
    }
    // Step 1. The end of a walk that found something: after a pause in which the owners answer, walk again.
    if (slot_ >= slotCount) {
        if (walkStarted_ != Time{} && now < walkStarted_ + repeatAfter_) {
            return false;
        }
        slot_ = 0;
        foundAny_ = false;
        walkStarted_ = now;
        sent_.clear();
    }
    // Step 2. The flows announced follow the time that passed, so that the bytes a second are bounded.
    const auto passed = std::clamp<Duration>(now - lastStep_, std::chrono::milliseconds{1}, std::chrono::milliseconds{100});
    lastStep_ = now;
    const auto milliseconds = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::milliseconds>(passed).count());
    announcesLeft_ = std::max<std::size_t>(announcesPerSecond_ * milliseconds / 1000, 1);
    slotsLeft_ = kAnnounceSlotsPerStep;
    return true;
}

void FlowAnnouncer::add(HostId owner, const FlowEntry &entry, Outbox<FlowMessage> &outbox)
{
    foundAny_ = true;
    --announcesLeft_;
    const auto holder = entry.place == FlowPlace::Held ? self_ : entry.holder;
    auto &flows = open_[{owner, holder}];
    flows.push_back({entry.key.caller, entry.key.service, entry.upstream});
    if (flows.size() >= kFlowsPerMessage) {
        send(owner, holder, flows, outbox);
    }
}

void FlowAnnouncer::send(HostId owner, HostId holder, std::vector<FlowBinding> &flows, Outbox<FlowMessage> &outbox)
{
    Batch batch{owner, holder, startOf(owner), {}};
    for (const auto &flow : flows) {
        batch.keys.push_back({flow.caller, flow.service});
    }
    FlowMessage message;
    message.kind = FlowMessageKind::Announce;
    message.number = ++lastNumber_;
    message.holder = holder;
    message.flows = std::exchange(flows, {});
    outbox.push_back({owner, std::move(message)});
    sent_[lastNumber_] = std::move(batch);
}

void FlowAnnouncer::flush(Outbox<FlowMessage> &outbox)
{
    for (auto &[hosts, flows] : open_) {
        if (!flows.empty()) {
            send(hosts.first, hosts.second, flows, outbox);
        }
    }
    open_.clear();
}

// Notes that the owner knows these flows, unless another holder has come up
// since they were announced.
void FlowAnnouncer::taken(HostId owner, std::uint64_t number, FlowTable &table)
{
    const auto found = sent_.find(number);
    if (found == sent_.end() || found->second.owner != owner) {
        return;
    }
    const auto batch = std::move(found->second);
    sent_.erase(found);
    for (const auto &key : batch.keys) {
        auto *entry = table.find(key);
        if (entry == nullptr) {
            continue;
        }
        const auto holder = entry->place == FlowPlace::Held ? self_ : entry->holder;
        if (holder == batch.holder) {
            entry->told = owner;
            entry->toldStart = batch.ownerStart;
        }
    }
}

} // namespace medlarway
