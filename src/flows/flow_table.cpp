#include "flows/flow_table.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// Four slots in five are in use at most: probe sequences stay short, and at a
// full table an entry costs a quarter more than its own size.
std::size_t slotsFor(std::size_t limit)
{
    return std::max<std::size_t>(limit + limit / 4 + 1, 8);
}

} // namespace

FlowTable::FlowTable(std::size_t limit)
    : slots_(slotsFor(limit))
    , limit_(limit)
{
}

// Maps the hash to a slot by its high half, which needs no division and no
// power of two as the number of slots.
std::size_t FlowTable::homeOf(const FlowKey &key) const
{
    return static_cast<std::size_t>(((flowHash(key) >> 32U) * slots_.size()) >> 32U);
}

std::size_t FlowTable::next(std::size_t slot) const
{
    return slot + 1 == slots_.size() ? 0 : slot + 1;
}

// How far the entry in a slot is from its home.
std::size_t FlowTable::distance(std::size_t slot) const
{
    const auto home = homeOf(slots_[slot].key);
    return slot >= home ? slot - home : slot + slots_.size() - home;
}

std::size_t &FlowTable::counterOf(FlowPlace place)
{
    return place == FlowPlace::Held ? held_ : elsewhere_;
}

FlowEntry *FlowTable::find(const FlowKey &key)
{
    for (auto slot = homeOf(key); slots_[slot].place != FlowPlace::None; slot = next(slot)) {
        if (slots_[slot].key == key) {
            return &slots_[slot];
        }
    }
    return nullptr;
}

FlowEntry *FlowTable::findOrInsert(const FlowKey &key, FlowPlace place)
{
    auto slot = homeOf(key);
    for (; slots_[slot].place != FlowPlace::None; slot = next(slot)) {
        if (slots_[slot].key == key) {
            return &slots_[slot];
        }
    }
    if (isFull()) {
        return nullptr;
    }
    slots_[slot] = FlowEntry{};
    slots_[slot].key = key;
    slots_[slot].place = place;
    ++counterOf(place);
    return &slots_[slot];
}

void FlowTable::move(FlowEntry &entry, FlowPlace place)
{
    --counterOf(entry.place);
    ++counterOf(place);
    entry.place = place;
}

// Closes the gap by moving later entries of the same run back, so that no
// markers for erased slots pile up.
void FlowTable::erase(FlowEntry &entry)
{
    --counterOf(entry.place);
    auto gap = static_cast<std::size_t>(&entry - slots_.data());
    for (auto slot = next(gap); slots_[slot].place != FlowPlace::None; slot = next(slot)) {
        const auto gapDistance = slot >= gap ? slot - gap : slot + slots_.size() - gap;
        if (distance(slot) >= gapDistance) {
            slots_[gap] = slots_[slot];
            gap = slot;
        }
    }
    slots_[gap].place = FlowPlace::None;
}

FlowEntry *FlowTable::at(std::size_t slot)
{
    return slots_[slot].place == FlowPlace::None ? nullptr : &slots_[slot];
}

} // namespace medlarway
