#pragma once

#include "base/endpoint.h"
#include "base/host.h"
#include "flows/flow_key.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace medlarway
{

/// Where a flow is.
enum class FlowPlace : std::uint8_t {
    None, ///< the slot is empty
    Held, ///< this host sends it to the upstream
    Elsewhere, ///< another host does
};

/// What a host knows of a flow.
struct FlowEntry {
    FlowKey key;
    Endpoint upstream; ///< port 0 where it is not known
    HostId holder; ///< of a flow elsewhere; else 0
    HostId told; ///< the owner that was told of the flow; 0 for none
    std::uint32_t lastUsed = 0; ///< in units that the user of the table chooses
    FlowPlace place = FlowPlace::None;
    std::uint8_t holderStart = 0; ///< which start of the holder has the flow, as the announcer counts them
    std::uint8_t toldStart = 0; ///< which start of the owner was told
    bool checking = false; ///< Elsewhere: the holder was asked whether it still holds the flow
};

/// Flows by key, in one array with open addressing. Never grows; a full table refuses. Not thread-safe.
class FlowTable
{
public:
    /// Room for limit flows.
    explicit FlowTable(std::size_t limit);

    /// The flow's entry; nullptr where it has none. Valid until the next insert or erase.
    FlowEntry *find(const FlowKey &key);

    /// The flow's entry, made where it has none; nullptr where the table is full.
    FlowEntry *findOrInsert(const FlowKey &key, FlowPlace place);

    /// Changes where the flow is.
    void move(FlowEntry &entry, FlowPlace place);

    /// Removes an entry. The entries behind it may move into its slot.
    void erase(FlowEntry &entry);

    std::size_t slotCount() const
    {
        return slots_.size();
    }

    /// The entry in a slot; nullptr where it is empty.
    FlowEntry *at(std::size_t slot);

    std::size_t heldCount() const
    {
        return held_;
    }

    std::size_t elsewhereCount() const
    {
        return elsewhere_;
    }

    bool isFull() const
    {
        return held_ + elsewhere_ >= limit_;
    }

    /// Bytes of the array.
    std::size_t bytes() const
    {
        return slots_.capacity() * sizeof(FlowEntry);
    }

private:
    std::size_t homeOf(const FlowKey &key) const;
    std::size_t next(std::size_t slot) const;
    std::size_t distance(std::size_t slot) const;
    std::size_t &counterOf(FlowPlace place);

    std::vector<FlowEntry> slots_;
    std::size_t limit_;
    std::size_t held_ = 0;
    std::size_t elsewhere_ = 0;
};

} // namespace medlarway
