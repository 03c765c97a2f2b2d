#include "replication/held_requests.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// A host that starts to read because it is asked answers once the platform has responded. Below the time after which the asking host takes
// the request as lost.
constexpr Duration kFirstReadWait = std::chrono::milliseconds{150};

// Whether the platform confirmed the data since the request came, or there is more data than the follower has.
bool hasNews(const HeldRequest &held, const SourceState &state)
{
    const bool more = state.known.version > held.request.version || state.known.asOf > held.request.after;
    return state.platformFails || state.confirmedAt > held.receivedAt || (more && !held.needsConfirmation);
}

} // namespace

void HeldRequests::add(HostId from, const FeedRequest &request, const SourceState &state, Duration maxAge, Time now)
{
    HeldRequest held{from, request, now, now + std::clamp(request.hold, Duration{}, maxAge), false};
    if (request.follow && now - state.confirmedAt > maxAge) {
        held.needsConfirmation = true;
        held.dueAt = std::max(held.dueAt, now + kFirstReadWait);
    }
    if (held_.size() >= kMaxHeldRequests) {
        held.dueAt = now;
    }
    held_[from] = held;
}

std::vector<HeldRequest> HeldRequests::takeAnswerable(const SourceState &state, Time now)
{
    std::vector<HeldRequest> answerable;
    std::erase_if(held_, [&](const auto &entry) {
        const bool answer = now >= entry.second.dueAt || hasNews(entry.second, state);
        if (answer) {
            answerable.push_back(entry.second);
        }
        return answer;
    });
    return answerable;
}

std::optional<Time> HeldRequests::nextDue() const
{
    std::optional<Time> next;
    for (const auto &[host, held] : held_) {
        next = next ? std::min(*next, held.dueAt) : held.dueAt;
    }
    return next;
}

} // namespace medlarway
