#pragma once

#include "base/host.h"
#include "base/time.h"
#include "load_exchange/message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// A report whose reply is awaited.
struct SentReport {
    std::uint16_t number = 0;
    Time sentAt;
    std::vector<std::string> services;
};

/// Hosts to report to.
struct TargetChoice {
    std::vector<HostId> replying; ///< they reply, or were not tried yet
    std::vector<HostId> retried; ///< they did not reply; a report shows whether they do now

    friend bool operator==(const TargetChoice &, const TargetChoice &) = default;
};

/// The hosts that this one reports to, and which of them reply. Does no I/O; not thread-safe.
class ReportTargets
{
public:
    /// The first hosts of the list that reply, at most count, and those before them that are to be tried again.
    TargetChoice choose(const std::vector<HostId> &hosts, std::size_t count, Time now) const;

    void recordSent(HostId to, SentReport report);

    /// The report that a reply belongs to; nullptr if there is none.
    const SentReport *findSent(HostId from, std::uint16_t number) const;

    /// Records a valid reply to the report that findSent() returns.
    void recordReply(HostId from);

    /// Counts the reports that got no reply in time.
    void expire(Time now);

    /// Whether a report sent since a time waits for a reply from a host that usually replies.
    bool awaitsReply(Time since) const;

    void clearSent();

    /// When expire() has something to do; Time::max() if nothing is awaited.
    Time nextExpiry() const;

private:
    struct Target {
        std::uint32_t misses = 0; ///< reports in a row without a reply
        Time retryAt;
        Time usedAt;
        std::optional<SentReport> sent;
    };

    static void recordMiss(Target &target, Time now);

    std::map<HostId, Target> targets_;
};

/// How long a reply may take; the hosts on the way hold reports for up to 150 ms.
inline constexpr Duration kDemandReplyTimeout = std::chrono::milliseconds{250};

} // namespace medlarway
