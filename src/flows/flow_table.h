#pragma once

#include "base/endpoint.h"
#include "base/host.h"
#include "flows/flow_key.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace medlarway
{

/// Which host holds a flow.
enum class FlowLocation : std::uint8_t {
    None, ///< the table slot is empty
    Local, ///< this host, which forwards its packets to the upstream
    Remote, ///< another host
};

/// The table entry of a flow.
struct FlowEntry {
    FlowKey key;
    Endpoint upstream; ///< port 0 if not known
    HostId holder; ///< the other host if location is Remote, else 0
    HostId announcedTo; ///< owner that has acknowledged the announcement of the flow; 0 if none
    std::uint32_t lastUsed = 0; ///< in units chosen by the user of the table
    FlowLocation location = FlowLocation::None;
    std::uint8_t holderStart = 0; ///< FlowAnnouncer::startCount of the holder when it was set
    std::uint8_t announcedToStart = 0; ///< FlowAnnouncer::startCount of announcedTo when the flow was announced
    bool queryPending = false; ///< if Remote: the holder was queried and has not responded yet
};

/// A hash table of flows with open addressing, in one array of fixed size. Not thread-safe.
class FlowTable
{
public:
    /// Allocates the array for at most limit flows.
    explicit FlowTable(std::size_t limit);

    /// The entry of the flow; nullptr if there is none. Valid until the next insert or erase.
    FlowEntry *find(const FlowKey &key);

    /// The entry of the flow, inserted with the location if there is none; nullptr if the table is full.
    FlowEntry *findOrInsert(const FlowKey &key, FlowLocation location);

    /// Changes the location of the entry.
    void move(FlowEntry &entry, FlowLocation location);

    /// Erases the entry. A following entry may move into its slot.
    void erase(FlowEntry &entry);

    std::size_t slotCount() const
    {
        return slots_.size();
    }

    /// The entry in the slot; nullptr if the slot is empty.
    FlowEntry *at(std::size_t slot);

    std::size_t localCount() const
    {
        return localCount_;
    }

    std::size_t remoteCount() const
    {
        return remoteCount_;
    }

    bool isFull() const
    {
        return localCount_ + remoteCount_ >= limit_;
    }

    /// Size of the array in bytes.
    std::size_t bytes() const
    {
        return slots_.capacity() * sizeof(FlowEntry);
    }

private:
    std::size_t homeSlot(const FlowKey &key) const;
    std::size_t nextSlot(std::size_t slot) const;
    std::size_t distanceFromHome(std::size_t slot) const;
    std::size_t &counterOf(FlowLocation location);

    std::vector<FlowEntry> slots_;
    std::size_t limit_;
    std::size_t localCount_ = 0;
    std::size_t remoteCount_ = 0;
};

} // namespace medlarway
