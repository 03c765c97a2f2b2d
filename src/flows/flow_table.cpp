#include "flows/flow_table.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// Limits the load factor to 0.8: probe sequences stay short, and in a full table each entry takes 25 % more
// memory than its own size.
std::size_t slotsForLimit(std::size_t limit)
{
    return std::max<std::size_t>(limit + limit / 4 + 1, 8);
}

} // namespace

FlowTable::FlowTable(std::size_t limit)
    : slots_(slotsForLimit(limit))
    , limit_(limit)
{
}

// Maps the upper half of the hash to a slot by multiplication: no division, and the number of slots need not
// be a power of two.
std::size_t FlowTable::homeSlot(const FlowKey &key) const
{
    return static_cast<std::size_t>(((flowHash(key) >> 32U) * slots_.size()) >> 32U);
}

std::size_t FlowTable::nextSlot(std::size_t slot) const
{
    return slot + 1 == slots_.size() ? 0 : slot + 1;
}

// Number of slots between the home slot of an entry and the slot it is in.
std::size_t FlowTable::distanceFromHome(std::size_t slot) const
{
    const auto home = homeSlot(slots_[slot].key);
    return slot >= home ? slot - home : slot + slots_.size() - home;
}

std::size_t &FlowTable::counterOf(FlowLocation location)
{
    return location == FlowLocation::Local ? localCount_ : remoteCount_;
}

FlowEntry *FlowTable::find(const FlowKey &key)
{
    for (auto slot = homeSlot(key); slots_[slot].location != FlowLocation::None; slot = nextSlot(slot)) {
        if (slots_[slot].key == key) {
            return &slots_[slot];
        }
    }
    return nullptr;
}

FlowEntry *FlowTable::findOrInsert(const FlowKey &key, FlowLocation location)
{
    auto slot = homeSlot(key);
    for (; slots_[slot].location != FlowLocation::None; slot = nextSlot(slot)) {
        if (slots_[slot].key == key) {
            return &slots_[slot];
        }
    }
    if (isFull()) {
        return nullptr;
    }
    slots_[slot] = FlowEntry{};
    slots_[slot].key = key;
    slots_[slot].location = location;
    ++counterOf(location);
    return &slots_[slot];
}

void FlowTable::move(FlowEntry &entry, FlowLocation location)
{
    --counterOf(entry.location);
    ++counterOf(location);
    entry.location = location;
}

// Closes the gap by moving later entries of the same probe sequence back, so that no tombstones accumulate.
void FlowTable::erase(FlowEntry &entry)
{
    --counterOf(entry.location);
    auto gap = static_cast<std::size_t>(&entry - slots_.data());
    for (auto slot = nextSlot(gap); slots_[slot].location != FlowLocation::None; slot = nextSlot(slot)) {
        const auto distanceFromGap = slot >= gap ? slot - gap : slot + slots_.size() - gap;
        if (distanceFromHome(slot) >= distanceFromGap) {
            slots_[gap] = slots_[slot];
            gap = slot;
        }
    }
    slots_[gap].location = FlowLocation::None;
}

FlowEntry *FlowTable::at(std::size_t slot)
{
    return slots_[slot].location == FlowLocation::None ? nullptr : &slots_[slot];
}

} // namespace medlarway
