#include "proxy/response_store.h"

namespace medlarway
{

namespace
{

// Overhead counted per entry, which also limits the number of keys.
constexpr std::size_t kEntryBytes = 256;

std::size_t sizeOf(const StoredResponse &response)
{
    return response.fields.size() + response.body.size();
}

} // namespace

ResponseStore::ResponseStore(std::size_t bytes)
    : maxBytes_(bytes)
{
}

// A full store refuses new keys, since evicting a key within its window could let it run twice.
GuardVerdict ResponseStore::admit(const GuardKey &key, Duration window, Time now)
{
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.expiry > now) {
        return found->second.response ? GuardVerdict::Repeat : GuardVerdict::MayHaveRun;
    }
    if (found == entries_.end() && usedBytes_ + kEntryBytes > maxBytes_) {
        return GuardVerdict::Refused;
    }
    release(key);
    entries_.emplace(key, Entry{now + window, nullptr});
    usedBytes_ += kEntryBytes;
    return GuardVerdict::Run;
}

void ResponseStore::release(const GuardKey &key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return;
    }
    usedBytes_ -= kEntryBytes + (found->second.response ? sizeOf(*found->second.response) : 0);
    entries_.erase(found);
}

bool ResponseStore::store(const GuardKey &key, StoredResponse response, Duration window, Time now)
{
    const auto found = entries_.find(key);
    const auto addedBytes = sizeOf(response) + (found == entries_.end() ? kEntryBytes : 0);
    if (response.body.size() > kMaxStoredBodyBytes || usedBytes_ + addedBytes > maxBytes_
        || (found != entries_.end() && found->second.response)) {
        return false;
    }
    auto &entry = entries_[key];
    entry.expiry = now + window;
    entry.response = std::make_shared<const StoredResponse>(std::move(response));
    usedBytes_ += addedBytes;
    return true;
}

std::shared_ptr<const StoredResponse> ResponseStore::find(const GuardKey &key, Time now) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && found->second.expiry > now ? found->second.response : nullptr;
}

void ResponseStore::sweep(Time now)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto current = entry++;
        if (current->second.expiry <= now) {
            const auto key = current->first;
            release(key);
        }
    }
}

} // namespace medlarway
