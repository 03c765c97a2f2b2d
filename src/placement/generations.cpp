#include "placement/generations.h"

#include "placement/rendezvous.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// The hosts that may own keys in a view. A change between states that doesn't
// change ownership (alive, suspect) starts no new generation.
std::vector<HostId> ownersIn(const View &view)
{
    std::vector<HostId> owners;
    for (const auto &member : view.members) {
        if (mayOwn(member)) {
            owners.push_back(member.id);
        }
    }
    return owners;
}

} // namespace

void Generations::add(const View &view, Time now)
{
    if (!current_.members.empty() && ownersIn(view) != ownersIn(current_)) {
        earlier_.push_back({current_, now});
    }
    if (earlier_.size() > kMaxEarlier) {
        earlier_.erase(earlier_.begin());
    }
    for (const auto &member : current_.members) {
        removed_.insert(member.id);
    }
    for (const auto &member : view.members) {
        removed_.erase(member.id);
    }
    current_ = view;
}

void Generations::removeReplacedBefore(Time moment)
{
    std::erase_if(earlier_, [moment](const Earlier &earlier) { return earlier.replacedAt < moment; });
}

std::optional<HostId> Generations::owner(std::uint64_t key) const
{
    return ownerOf(key, current_);
}

std::vector<HostId> Generations::earlierOwners(std::uint64_t key) const
{
    std::vector<HostId> owners;
    for (auto earlier = earlier_.rbegin(); earlier != earlier_.rend(); ++earlier) {
        const auto owner = ownerOf(key, earlier->view);
        if (owner && std::find(owners.begin(), owners.end(), *owner) == owners.end()) {
            owners.push_back(*owner);
        }
    }
    return owners;
}

bool Generations::isMember(HostId host) const
{
    return std::any_of(current_.members.begin(), current_.members.end(), [host](const Member &member) { return member.id == host; });
}

bool Generations::wasRemoved(HostId host) const
{
    return removed_.contains(host);
}

} // namespace medlarway
