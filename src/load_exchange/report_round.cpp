#include "load_exchange/report_round.h"

#include "load/fleet_demand.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// A number that is lower by at most this is that of a late report. One that is lower by more is that of a host that has restarted, whose
// numbers begin anew.
constexpr std::uint16_t kLateNumbers = 64;

bool isLate(std::uint16_t number, std::uint16_t last)
{
    return static_cast<std::uint16_t>(last - number) < kLateNumbers;
}

} // namespace

bool ReportRound::add(HostId from, const DemandReport &report, Time now)
{
    const auto known = reporters_.find(from);
    if (known == reporters_.end() ? reporters_.size() >= kMaxReporters
                                  : isLate(report.number, known->second.number) || now - known->second.heardAt < kMinReportGap) {
        return false;
    }
    auto &reporter = reporters_[from];
    reporter.number = report.number;
    reporter.heardAt = now;
    reporter.interval = std::min<Duration>(std::chrono::milliseconds{report.intervalMs}, kMaxReporterInterval);
    reporter.waiting = WaitingReport{from, report.number, now, report.services, std::nullopt};
    if (!report.zones.empty()) {
        reporter.waiting->zone = report.zones.front().zone;
    }
    return true;
}

void ReportRound::open(Duration wait, Time now)
{
    phase_ = Phase::Collecting;
    closesAt_ = now + wait;
}

bool ReportRound::answersAtOnce(Time now) const
{
    return phase_ == Phase::Idle && now + 2 * kCollectTime < nextAt_;
}

bool ReportRound::isComplete(Time now) const
{
    if (now >= closesAt_) {
        return true;
    }
    std::size_t expected = 0;
    for (const auto &[host, reporter] : reporters_) {
        if (reporter.expected && !reporter.waiting) {
            return false;
        }
        expected += reporter.expected ? 1 : 0;
    }
    return expected > 0;
}

void ReportRound::close(Time answerAt, Time now)
{
    phase_ = Phase::Waiting;
    closedAt_ = now;
    answerAt_ = answerAt;
    for (auto &[host, reporter] : reporters_) {
        reporter.expected = reporter.waiting.has_value();
    }
}

std::vector<WaitingReport> ReportRound::takeWaiting()
{
    std::vector<WaitingReport> reports;
    for (auto &[host, reporter] : reporters_) {
        if (reporter.waiting) {
            reports.push_back(*std::exchange(reporter.waiting, std::nullopt));
            reporter.expected = true;
        }
    }
    return reports;
}

void ReportRound::finish(Time nextAt)
{
    phase_ = Phase::Idle;
    nextAt_ = nextAt;
}

void ReportRound::endBytes()
{
    bytesBefore_ = std::exchange(lastBytes_, std::exchange(bytes_, 0));
}

void ReportRound::expire(Time now)
{
    std::erase_if(reporters_, [now](const auto &entry) { return now - entry.second.heardAt >= kDemandLifetime; });
}

void ReportRound::clear()
{
    *this = ReportRound{};
}

std::size_t ReportRound::lastBytes(Time now) const
{
    return now - closedAt_ < kDemandLifetime ? lastBytes_ : 0;
}

Duration ReportRound::intervalOfReporters() const
{
    Duration longest{};
    for (const auto &[host, reporter] : reporters_) {
        longest = std::max(longest, reporter.interval);
    }
    return longest;
}

bool ReportRound::hasWaiting() const
{
    return std::any_of(reporters_.begin(), reporters_.end(), [](const auto &entry) { return entry.second.waiting.has_value(); });
}

} // namespace medlarway
