#pragma once

#include "base/host.h"
#include "base/outbox.h"
#include "base/time.h"
#include "flows/flow_message.h"
#include "flows/flow_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace medlarway
{

/// Tells the owners of flows where their flows are, after a change of owners, in bounded steps: walks the
/// table until every flow that another host owns was announced to it and taken in.
class FlowAnnouncer
{
public:
    FlowAnnouncer(HostId self, std::size_t announcesPerSecond, Duration repeatAfter);

    /// The owners changed, or a flow of another owner was bound: walk the table again.
    void restart();

    /// A host became an owner of flows or was started again: it knows nothing of what it was told before.
    void noteStart(HostId owner);

    /// How often the host was seen to start; wraps round.
    std::uint8_t startOf(HostId owner) const;

    /// True where every flow is known to its owner.
    bool isSettled() const
    {
        return settled_;
    }

    /// Walks on. OwnerOf is called for each flow in the steps: the owner, or host 0 for none.
    template<class OwnerOf>
    void walk(FlowTable &table, Time now, const OwnerOf &ownerOfFlow, Outbox<FlowMessage> &outbox);

    /// The owner took an Announce in.
    void taken(HostId owner, std::uint64_t number, FlowTable &table);

private:
    struct Batch {
        HostId owner;
        HostId holder;
        std::uint8_t ownerStart = 0;
        std::vector<FlowKey> keys;
    };

    bool isKnownTo(HostId owner, const FlowEntry &entry) const;
    void add(HostId owner, const FlowEntry &entry, Outbox<FlowMessage> &outbox);
    void send(HostId owner, HostId holder, std::vector<FlowBinding> &flows, Outbox<FlowMessage> &outbox);
    void flush(Outbox<FlowMessage> &outbox);
    bool beginStep(Time now, std::size_t slotCount);

    HostId self_;
    std::unordered_map<HostId, std::uint8_t> starts_; ///< how often each owner was seen to start
    std::size_t announcesPerSecond_;
    Duration repeatAfter_;
    bool settled_ = true;
    bool foundAny_ = false; ///< a flow was still to be announced in this walk
    std::size_t slot_ = 0; ///< where the walk is
    Time walkStarted_;
    Time lastStep_;
    std::size_t slotsLeft_ = 0; ///< of this step
    std::size_t announcesLeft_ = 0; ///< of this step
    std::uint64_t lastNumber_ = 0;
    std::map<std::pair<HostId, HostId>, std::vector<FlowBinding>> open_; ///< by owner and holder
    std::map<std::uint64_t, Batch> sent_; ///< by number, until taken or a later walk sends again
};

/// Slots that one step of the walk visits at most.
inline constexpr std::size_t kAnnounceSlotsPerStep = 20'000;

template<class OwnerOf>
void FlowAnnouncer::walk(FlowTable &table, Time now, const OwnerOf &ownerOfFlow, Outbox<FlowMessage> &outbox)
{
    if (!beginStep(now, table.slotCount())) {
        return;
    }
    for (; slotsLeft_ > 0 && announcesLeft_ > 0 && slot_ < table.slotCount(); ++slot_, --slotsLeft_) {
        auto *entry = table.at(slot_);
        if (entry == nullptr) {
            continue;
        }
        const HostId owner = ownerOfFlow(*entry);
        if (!isKnownTo(owner, *entry)) {
            add(owner, *entry, outbox);
        }
    }
    flush(outbox);
    if (slot_ >= table.slotCount() && !foundAny_) {
        settled_ = true;
        sent_.clear();
    }
}

} // namespace medlarway
