#include "steering/directory.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

// Derived from the id alone, so that a host that has just started gives the same token without a word from its peers.
FlowToken tokenOf(std::string_view id)
{
    const auto token = static_cast<FlowToken>(hashBytes(id));
    return token == 0 ? 1 : token;
}

void UpstreamDirectory::nameServices(std::vector<std::string> services)
{
    services_ = std::move(services);
}

bool UpstreamDirectory::isNamed(const std::string &service) const
{
    return services_.empty() || std::find(services_.begin(), services_.end(), service) != services_.end();
}

bool UpstreamDirectory::apply(const UpstreamEntry &entry, Time now)
{
    auto index = findId(entry.id);
    const bool added = index == kNoUpstream;
    if (added) {
        index = add(entry);
    }
    auto &known = upstreams_[index];
    if (entry.revision < known.entry.revision) {
        return false;
    }
    // Step 1. Another start under the same id holds no flow of the one before.
    if (entry.born != known.entry.born) {
        known.life = LifeSigns{};
        known.running = 0;
    }
    // Step 2. An entry that comes back was never gone.
    const bool relisted = !added && known.presence != Presence::Listed;
    const bool moved = known.entry.service != entry.service;
    if (relisted) {
        known.presence = Presence::Listed;
        known.changedAt = now;
    }
    known.entry = entry;
    known.warmUntil = now + entry.warmUpLeft;
    takeAddress(index, now);
    if (added || relisted || moved) {
        rebuildServices();
    }
    return true;
}

bool UpstreamDirectory::remove(std::string_view id, std::uint64_t revision, Time now)
{
    const auto index = findId(id);
    if (index == kNoUpstream || upstreams_[index].presence != Presence::Listed || revision < upstreams_[index].entry.revision) {
        return false;
    }
    upstreams_[index].entry.revision = revision;
    leaveList(index, Presence::Gone, now);
    return true;
}

std::size_t UpstreamDirectory::removeAllBut(std::span<const std::string> ids, std::uint64_t revision, Time now)
{
    std::size_t removed = 0;
    for (UpstreamIndex index = 0; index < upstreams_.size(); ++index) {
        const auto &known = upstreams_[index];
        if (known.entry.id.empty() || known.presence != Presence::Listed || known.entry.revision > revision) {
            continue;
        }
        if (std::find(ids.begin(), ids.end(), known.entry.id) == ids.end()) {
            leaveList(index, Presence::Gone, now);
            ++removed;
        }
    }
    return removed;
}

void UpstreamDirectory::expire(Time now)
{
    for (UpstreamIndex index = 0; index < upstreams_.size(); ++index) {
        auto &known = upstreams_[index];
        if (known.entry.id.empty() || known.presence == Presence::Listed || known.flows > 0 || now - known.changedAt < kTombstoneLife) {
            continue;
        }
        byId_.erase(known.entry.id);
        const auto holder = byAddress_.find(known.entry.address);
        if (holder != byAddress_.end() && holder->second == index) {
            byAddress_.erase(holder);
        }
        auto &sharers = byToken_[known.token];
        std::erase(sharers, index);
        if (sharers.empty()) {
            byToken_.erase(known.token);
        }
        known = KnownUpstream{};
        free_.push_back(index);
    }
}

void UpstreamDirectory::clearExpected()
{
    for (auto &known : upstreams_) {
        known.expected = 0;
    }
}

UpstreamIndex UpstreamDirectory::findToken(FlowToken token) const
{
    const auto found = byToken_.find(token);
    if (found == byToken_.end()) {
        return kNoUpstream;
    }
    const auto listed = std::find_if(found->second.begin(), found->second.end(),
                                     [this](UpstreamIndex index) { return upstreams_[index].presence == Presence::Listed; });
    return listed == found->second.end() ? found->second.front() : *listed;
}

UpstreamIndex UpstreamDirectory::findId(std::string_view id) const
{
    const auto found = byId_.find(std::string(id));
    return found == byId_.end() ? kNoUpstream : found->second;
}

std::span<const UpstreamIndex> UpstreamDirectory::ofService(const std::string &service) const
{
    const auto found = byService_.find(service);
    return found == byService_.end() ? std::span<const UpstreamIndex>{} : std::span<const UpstreamIndex>(found->second);
}

UpstreamIndex UpstreamDirectory::add(const UpstreamEntry &entry)
{
    UpstreamIndex index = 0;
    if (free_.empty()) {
        index = static_cast<UpstreamIndex>(upstreams_.size());
        upstreams_.emplace_back();
    } else {
        index = free_.back();
        free_.pop_back();
    }
    auto &known = upstreams_[index];
    known.entry = entry;
    known.token = tokenOf(entry.id);
    byId_[entry.id] = index;
    byToken_[known.token].push_back(index);
    return index;
}

void UpstreamDirectory::leaveList(UpstreamIndex index, Presence presence, Time now)
{
    upstreams_[index].presence = presence;
    upstreams_[index].changedAt = now;
    rebuildServices();
}

// One process listens at an address: the one that was born later has it, and the other has ended.
void UpstreamDirectory::takeAddress(UpstreamIndex index, Time now)
{
    if (!isNamed(upstreams_[index].entry.service)) {
        return;
    }
    const auto [holder, isNew] = byAddress_.try_emplace(upstreams_[index].entry.address, index);
    const auto other = holder->second;
    if (isNew || other == index) {
        return;
    }
    if (upstreams_[other].entry.address != upstreams_[index].entry.address) {
        holder->second = index; // the other one has started again elsewhere
        return;
    }
    const auto earlier = upstreams_[other].entry.born > upstreams_[index].entry.born ? index : other;
    holder->second = earlier == index ? other : index;
    leaveList(earlier, Presence::Replaced, now);
}

void UpstreamDirectory::rebuildServices()
{
    byService_.clear();
    listed_ = 0;
    for (UpstreamIndex index = 0; index < upstreams_.size(); ++index) {
        const auto &known = upstreams_[index];
        if (!known.entry.id.empty() && known.presence == Presence::Listed) {
            byService_[known.entry.service].push_back(index);
            ++listed_;
        }
    }
}

} // namespace medlarway
