#include "guard/kept_keys.h"

namespace medlarway
{

const KeyHolder *KeptKeys::find(const GuardKey &key, Time now) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() || found->second.until <= now ? nullptr : &found->second;
}

void KeptKeys::keep(const GuardKey &key, const KeyHolder &holder)
{
    auto &kept = keys_[key];
    if (kept.asker == holder.asker && kept.ask == holder.ask && kept.until >= holder.until) {
        return;
    }
    kept = holder;
    expiries_.emplace(holder.until, key);
}

void KeptKeys::release(const GuardKey &key, HostId asker, std::uint64_t ask)
{
    const auto found = keys_.find(key);
    if (found != keys_.end() && !found->second.recalled && found->second.asker == asker && found->second.ask == ask) {
        keys_.erase(found);
    }
}

void KeptKeys::expire(Time now, std::size_t count)
{
    for (; count > 0 && !expiries_.empty() && expiries_.begin()->first <= now; --count) {
        const auto found = keys_.find(expiries_.begin()->second);
        if (found != keys_.end() && found->second.until <= now) {
            keys_.erase(found);
        }
        expiries_.erase(expiries_.begin());
    }
}

} // namespace medlarway
