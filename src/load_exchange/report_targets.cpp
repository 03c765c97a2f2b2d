#include "load_exchange/report_targets.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// A single datagram may be lost; one that ignores three reports has stopped, is cut off, or is of a release that does not know them.
constexpr std::uint32_t kMissesToAvoid = 3;

// It is tried again after a second, doubled with each further miss up to 64 s. Each try at a host of an earlier release costs it a line in
// its log.
constexpr Duration kMinRetry = std::chrono::seconds{1};
constexpr std::uint32_t kMaxRetryDoublings = 6;

// A target that was not used for this long is forgotten. Longer than the longest time between two tries.
constexpr Duration kTargetExpiry = std::chrono::seconds{130};

} // namespace

TargetChoice ReportTargets::choose(const std::vector<HostId> &hosts, std::size_t count, Time now) const
{
    TargetChoice choice;
    for (const auto host : hosts) {
        const auto target = targets_.find(host);
        if (target == targets_.end() || target->second.misses < kMissesToAvoid) {
            choice.replying.push_back(host);
        } else if (now >= target->second.retryAt && !target->second.sent) {
            choice.retried.push_back(host);
        }
        if (choice.replying.size() == count) {
            break;
        }
    }
    return choice;
}

void ReportTargets::recordMiss(Target &target, Time now)
{
    ++target.misses;
    if (target.misses >= kMissesToAvoid) {
        target.retryAt = now + kMinRetry * (1U << std::min(target.misses - kMissesToAvoid, kMaxRetryDoublings));
    }
}

// A report that replaces an unanswered one counts that as missed.
void ReportTargets::recordSent(HostId to, SentReport report)
{
    auto &target = targets_[to];
    target.usedAt = report.sentAt;
    if (target.sent) {
        recordMiss(target, report.sentAt);
    }
    target.sent = std::move(report);
}

const SentReport *ReportTargets::findSent(HostId from, std::uint16_t number) const
{
    const auto target = targets_.find(from);
    const bool awaited = target != targets_.end() && target->second.sent && target->second.sent->number == number;
    return awaited ? &*target->second.sent : nullptr;
}

void ReportTargets::recordReply(HostId from)
{
    auto &target = targets_[from];
    target.misses = 0;
    target.sent.reset();
}

void ReportTargets::expire(Time now)
{
    for (auto &[host, target] : targets_) {
        if (target.sent && now >= target.sent->sentAt + kDemandReplyTimeout) {
            target.sent.reset();
            recordMiss(target, now);
        }
    }
    std::erase_if(targets_, [now](const auto &entry) { return now - entry.second.usedAt >= kTargetExpiry; });
}

bool ReportTargets::awaitsReply(Time since) const
{
    return std::any_of(targets_.begin(), targets_.end(), [since](const auto &entry) {
        const auto &target = entry.second;
        return target.sent && target.sent->sentAt >= since && target.misses < kMissesToAvoid;
    });
}

void ReportTargets::clearSent()
{
    for (auto &[host, target] : targets_) {
        target.sent.reset();
    }
}

Time ReportTargets::nextExpiry() const
{
    auto next = Time::max();
    for (const auto &[host, target] : targets_) {
        next = target.sent ? std::min(next, target.sent->sentAt + kDemandReplyTimeout) : next;
    }
    return next;
}

} // namespace medlarway
