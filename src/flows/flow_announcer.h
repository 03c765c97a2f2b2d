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

/// Announces flows and their holders to the owners after the owners changed. Walks the flow table in bounded
/// steps until every flow that another host owns has been acknowledged by its owner.
class FlowAnnouncer
{
public:
    FlowAnnouncer(HostId self, std::size_t announcesPerSecond, Duration repeatInterval);

    /// Starts a new walk. Call when the owners changed or when a flow that another host owns was bound or changed its holder.
    void restart();

    /// Counts a start of an owner: it has newly joined or was restarted, so earlier announcements to it are void.
    void countStart(HostId owner);

    /// How many starts of the host have been counted; wraps around.
    std::uint8_t startCount(HostId owner) const;

    /// True if every flow has been acknowledged by its owner.
    bool isComplete() const
    {
        return complete_;
    }

    /// Runs the next step. Calls ownerOfFlow for each visited entry; it returns the owner, or host 0 if there is none.
    template<class OwnerOf>
    void walk(FlowTable &table, Time now, const OwnerOf &ownerOfFlow, Outbox<FlowMessage> &outbox);

    /// Handles the acknowledgement of an Announce.
    void onAnnounceAck(HostId owner, std::uint64_t batchId, FlowTable &table);

private:
    struct Batch {
        HostId owner;
        HostId holder;
        std::uint8_t ownerStart = 0;
        std::vector<FlowKey> keys;
    };

    bool isAnnouncedTo(HostId owner, const FlowEntry &entry) const;
    void add(HostId owner, const FlowEntry &entry, Outbox<FlowMessage> &outbox);
    void send(HostId owner, HostId holder, std::vector<FlowBinding> &flows, Outbox<FlowMessage> &outbox);
    void flush(Outbox<FlowMessage> &outbox);
    bool startStep(Time now, std::size_t slotCount);

    HostId self_;
    std::unordered_map<HostId, std::uint8_t> startCounts_; ///< by owner
    std::size_t announcesPerSecond_;
    Duration repeatInterval_;
    bool complete_ = true;
    bool foundUnannounced_ = false; ///< the current walk has found a flow that its owner has not acknowledged
    std::size_t nextSlot_ = 0; ///< the next table slot of the walk
    Time walkStarted_;
    Time lastStep_;
    std::size_t slotsLeft_ = 0; ///< slots that the current step may still visit
    std::size_t announcesLeft_ = 0; ///< flows that the current step may still announce
    std::uint64_t lastBatchId_ = 0;
    std::map<std::pair<HostId, HostId>, std::vector<FlowBinding>> pending_; ///< flows not sent yet, by owner and holder
    std::map<std::uint64_t, Batch> unacknowledged_; ///< by batch id; cleared when the next walk starts, which sends them again
};

/// Maximum number of table slots that one step of the walk visits.
inline constexpr std::size_t kMaxSlotsPerStep = 20'000;

template<class OwnerOf>
void FlowAnnouncer::walk(FlowTable &table, Time now, const OwnerOf &ownerOfFlow, Outbox<FlowMessage> &outbox)
{
    if (!startStep(now, table.slotCount())) {
        return;
    }
    for (; slotsLeft_ > 0 && announcesLeft_ > 0 && nextSlot_ < table.slotCount(); ++nextSlot_, --slotsLeft_) {
        auto *entry = table.at(nextSlot_);
        if (entry == nullptr) {
            continue;
        }
        const HostId owner = ownerOfFlow(*entry);
        if (!isAnnouncedTo(owner, *entry)) {
            add(owner, *entry, outbox);
        }
    }
    flush(outbox);
    if (nextSlot_ >= table.slotCount() && !foundUnannounced_) {
        complete_ = true;
        unacknowledged_.clear();
    }
}

} // namespace medlarway
