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

/// A report that waits for its reply.
struct WaitingReport {
    HostId from;
    std::uint16_t number = 0;
    Time receivedAt;
    std::vector<std::string> services; ///< of the report; the reply has their sums in this order
    std::optional<std::string> zone; ///< whose sums it told, which the reply leaves out
};

/// The hosts that report to this one, and the rounds in which they do. All are told to report at the same moment, so that a round collects
/// their reports within a few milliseconds and its replies have sums of that age; with reports at independent moments the data would
/// be an interval older at each step. Does no I/O; not thread-safe.
class ReportRound
{
public:
    enum class Phase : std::uint8_t {
        Idle,
        Collecting,
        Waiting, ///< for replies of the hosts that this one reported to
    };

    /// Records a report. False if it is a late or repeated one and must not be used.
    bool add(HostId from, const DemandReport &report, Time now);

    /// Opens the round; it closes after the wait, or once all that reported in the last round have.
    void open(Duration wait, Time now);

    /// Whether a report that arrived between two rounds must be answered now, as the next round is not near.
    bool answersAtOnce(Time now) const;

    bool isComplete(Time now) const;

    /// Ends the collection; the replies are due at the time.
    void close(Time answerAt, Time now);

    /// Takes the reports to be answered.
    std::vector<WaitingReport> takeWaiting();

    /// Ends the round and schedules the next one.
    void finish(Time nextAt);

    void expire(Time now);
    void clear();

    /// Adds the bytes of a message that the round caused.
    void charge(std::size_t bytes)
    {
        bytes_ += bytes;
    }

    /// Ends the count of the bytes of this round.
    void endBytes();

    /// Bytes of the last round; 0 once there was none for kDemandLifetime.
    std::size_t lastBytes(Time now) const;

    /// Mean bytes of the last two rounds.
    std::size_t usualBytes() const
    {
        return (lastBytes_ + bytesBefore_) / 2;
    }

    /// The longest interval that the reporters need for their own reporters.
    Duration intervalOfReporters() const;

    bool hasWaiting() const;

    bool contains(HostId host) const
    {
        return reporters_.contains(host);
    }

    bool empty() const
    {
        return reporters_.empty();
    }

    Phase phase() const
    {
        return phase_;
    }

    Time closesAt() const
    {
        return closesAt_;
    }

    Time closedAt() const
    {
        return closedAt_;
    }

    Time answerAt() const
    {
        return answerAt_;
    }

    Time nextAt() const
    {
        return nextAt_;
    }

private:
    struct Reporter {
        std::uint16_t number = 0;
        Time heardAt;
        Duration interval{};
        bool expected = false; ///< it reported in the last round
        std::optional<WaitingReport> waiting;
    };

    std::map<HostId, Reporter> reporters_;
    Phase phase_ = Phase::Idle;
    Time closesAt_;
    Time closedAt_;
    Time answerAt_;
    Time nextAt_;
    std::size_t bytes_ = 0;
    std::size_t lastBytes_ = 0;
    std::size_t bytesBefore_ = 0; ///< of the round before the last
};

/// Reports of a host that follow each other faster than this are ignored.
inline constexpr Duration kMinReportGap = std::chrono::milliseconds{50};

/// How long a round waits for reports: hosts are a few milliseconds apart, and the timers of a busy process are late by as much.
inline constexpr Duration kCollectTime = std::chrono::milliseconds{20};

/// No reporter makes the others wait for longer than this, whatever interval it tells; with the time on the way what they learn in a round
/// is of use until the next one.
inline constexpr Duration kMaxReporterInterval = std::chrono::milliseconds{1500};

/// Maximum number of hosts that report to this one; reports of further ones are ignored.
inline constexpr std::size_t kMaxReporters = 256;

} // namespace medlarway
