#include "proxy/answer_store.h"

namespace medlarway
{

namespace
{

// What an entry costs besides its bytes; bounds the number of keys.
constexpr std::size_t kEntryBytes = 256;

std::size_t bytesOf(const KeptAnswer &answer)
{
    return answer.fields.size() + answer.body.size();
}

} // namespace

AnswerStore::AnswerStore(std::size_t bytes)
    : limit_(bytes)
{
}

// A full memory refuses: forgetting a key within its window could let it run twice.
GuardVerdict AnswerStore::admit(const GuardKey &key, Duration window, Time now)
{
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.ends > now) {
        return found->second.answer ? GuardVerdict::Repeat : GuardVerdict::MayHaveRun;
    }
    if (found == entries_.end() && bytes_ + kEntryBytes > limit_) {
        return GuardVerdict::Refused;
    }
    release(key);
    entries_.emplace(key, Entry{now + window, nullptr});
    bytes_ += kEntryBytes;
    return GuardVerdict::Run;
}

void AnswerStore::release(const GuardKey &key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return;
    }
    bytes_ -= kEntryBytes + (found->second.answer ? bytesOf(*found->second.answer) : 0);
    entries_.erase(found);
}

bool AnswerStore::keep(const GuardKey &key, KeptAnswer answer, Duration window, Time now)
{
    const auto found = entries_.find(key);
    const auto added = bytesOf(answer) + (found == entries_.end() ? kEntryBytes : 0);
    if (answer.body.size() > kKeptAnswerBytes || bytes_ + added > limit_ || (found != entries_.end() && found->second.answer)) {
        return false;
    }
    auto &entry = entries_[key];
    entry.ends = now + window;
    entry.answer = std::make_shared<const KeptAnswer>(std::move(answer));
    bytes_ += added;
    return true;
}

std::shared_ptr<const KeptAnswer> AnswerStore::find(const GuardKey &key, Time now) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && found->second.ends > now ? found->second.answer : nullptr;
}

void AnswerStore::sweep(Time now)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto current = entry++;
        if (current->second.ends <= now) {
            const auto key = current->first;
            release(key);
        }
    }
}

} // namespace medlarway
