#pragma once

#include "base/host.h"
#include "base/outbox.h"
#include "base/random.h"
#include "base/time.h"
#include "replication/end_inquiry.h"
#include "replication/host_registry.h"
#include "replication/message.h"
#include "replication/timing.h"
#include "steering/warm_up.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace medlarway
{

/// In a fleet and a zone with more hosts than this, only the first hosts of a zone by rank read the platform when all start at once, and
/// the others take the data from them. The platform serves fewer hosts as quickly.
inline constexpr std::size_t kSmallFleet = 31;
inline constexpr std::size_t kSmallZone = 12;

/// Options of a Follower.
struct FollowerOptions {
    HostId self;
    Endpoint control; ///< address of this host's pages
    AvailabilityZone zone;
    std::vector<HostId> seeds; ///< some hosts, which may have stopped since
    ReplicationTiming timing;
    std::uint64_t seed = 1; ///< of the random generator

    friend bool operator==(const FollowerOptions &, const FollowerOptions &) = default;
};

/// Why a host reads the platform.
enum class ReadReason : std::uint8_t {
    None, ///< it does not; another host supplies the data
    Starting, ///< it has no data, and no other host supplied any
    Chosen, ///< it is among the first of its zone that are not known to fail
    Requested, ///< other hosts follow it
    DataTooOld, ///< no other host has confirmed its data recently enough
};

/// The name of a reason in logs and metrics.
std::string_view readReasonName(ReadReason reason);

/// What the caller has to do with a reply.
enum class ReplyUse : std::uint8_t {
    Ignore,
    Apply, ///< apply the reply's delta
    Fetch, ///< fetch the changes from the sender's pages and call onFetched()
};

/// Decides who reads the platform: the hosts of an availability zone that rank first and do not fail read it, and the others follow one of
/// them by asking it for changes. A host that can't get its data confirmed in time reads by itself, whatever the others do. No host's
/// choice depends on an agreement: a host that others ask reads. Does no I/O and reads no clock. Not thread-safe.
class Follower
{
public:
    Follower(FollowerOptions options, Time now);

    /// Replaces the seeds.
    void setSeeds(std::vector<HostId> seeds);

    /// Records a request of another host.
    void onRequest(HostId from, const FeedRequest &request, Time now);

    /// Whether a reply with this number is the one that this host waits for.
    bool expects(HostId from, std::uint32_t number) const
    {
        const auto found = requests_.find(from);
        return found != requests_.end() && found->second.number == number;
    }

    /// Processes a reply and tells what to do with it. Replies to no request of this host are ignored.
    ReplyUse onReply(HostId from, const FeedReply &reply, Time now);

    /// Records the end of a fetch that onReply() demanded; confirmedAgo is that of the page, nullopt if there was none or the fetch failed.
    void onFetched(HostId from, bool succeeded, std::optional<Duration> confirmedAgo, Time startedAt);

    /// Records that the platform confirmed this host's data as of a time, or failed to respond to it.
    void onPlatformConfirmed(Time at);
    void onPlatformFailed(Time now);

    /// Records that this host was paused until now: nothing that it knows is confirmed.
    void onPause(Time now);

    /// Records that this host read all data of the platform anew, and may have missed changes that were undone since.
    void onReadAnew(Time now)
    {
        nextDiscoveryAt_ = now;
        endInquiry_.onReadAnew(now);
    }

    /// Sends the requests that are due. To be called at nextTick() and after each of the calls above.
    void tick(const KnownData &known, bool urgent, Time now, Outbox<FeedRequest> &outbox);

    /// When tick() must be called next.
    Time nextTick() const
    {
        return nextTick_;
    }

    /// Whether and why this host must read the platform now.
    ReadReason readReason(Time now) const;

    /// The host that this one follows; this host itself if it reads by its rank.
    HostId source() const
    {
        return source_;
    }

    /// When the platform confirmed the data last; Time{} if it never did, or not since a pause.
    Time confirmedAt() const
    {
        return confirmedAt_;
    }

    /// What this host knows of the hosts of its zone, to choose one of them for a task. It is trusted if it is likely that every other
    /// host whose view is trusted chooses the same one.
    ZoneView zoneView(Time now) const;

    bool platformFails() const
    {
        return platformFails_;
    }

    /// Number of hosts in this host's zone, as far as it knows.
    std::size_t knownZoneHosts() const
    {
        return std::max(zoneHosts_, hosts_.countIn(options_.zone));
    }

    /// Whether so many hosts may start at once that they had better take their first data from each other.
    bool isInLargeFleet() const
    {
        return std::max(fleetHosts_, hosts_.count()) > kSmallFleet && knownZoneHosts() > kSmallZone;
    }

    const FollowerOptions &options() const
    {
        return options_;
    }

    const HostRegistry &hosts() const
    {
        return hosts_;
    }

private:
    struct Request {
        std::uint32_t number = 0;
        Time sentAt;
        Time expiresAt;
        bool follow = false;
        bool referred = false;
    };

    /// How a host failed to supply data.
    enum class Failure : std::uint8_t {
        NoReply,
        StaleData, ///< the platform fails it, or has not confirmed its data for too long
    };

    /// Recent failures of a host.
    struct Penalty {
        Failure failure = Failure::NoReply; ///< the last one
        std::uint32_t failures = 0;
        Time until;
    };

    void discover(Time now, Outbox<FeedRequest> &outbox);
    void ask(const std::vector<HostId> &hosts, Time now, Outbox<FeedRequest> &outbox);
    void askZone(Time now, Outbox<FeedRequest> &outbox);
    void askForData(Time now, Outbox<FeedRequest> &outbox);
    std::vector<HostId> seedsToAsk();
    std::optional<HostId> nextSupplier(Time now) const;
    void recordSupplierFailure(HostId host, Failure failure, Time now);
    void takeReferral(HostId supplier, Time now);
    void followReferral(Time now, Outbox<FeedRequest> &outbox);
    bool isAmongFirst(std::size_t count) const;
    bool awaitsReaders(Time now) const;
    bool mayAwaitOthers(Time now) const;
    void probePenalized(Time now, Outbox<FeedRequest> &outbox);
    void expireRequests(Time now);
    bool prefersOwnZone(const FeedReply &reply, Time now) const;
    void recordZoneHosts(std::size_t count, Time now);
    HostId chooseSource(Time now) const;
    void send(HostId to, Duration hold, bool follow, Time now, Outbox<FeedRequest> &outbox);
    void confirm(Time at);
    void penalize(HostId host, Failure failure, Time now);
    const Penalty *penaltyOf(HostId host, Time now) const;
    bool isSeed() const;
    bool hasOtherSeeds() const
    {
        return std::any_of(options_.seeds.begin(), options_.seeds.end(), [this](HostId seed) { return seed != options_.self; });
    }
    void recordContactGap(Time lastContact, Time now);
    void recordReply(const FeedReply &reply, Time now);
    Time zoneViewTrustedUntil(Time now) const;
    bool isKnownToOthers(Time now) const;
    Duration maxViewAge() const;
    Time firstDue(Time now) const;

    FollowerOptions options_;
    Random random_;
    HostRegistry hosts_;
    KnownData known_;
    bool urgent_ = false;
    HostId source_;
    std::map<HostId, Request> requests_; ///< unanswered requests, at most one to a host
    std::map<HostId, Penalty> penalties_;
    std::size_t fleetHosts_ = 1; ///< hosts in all zones, the highest number that others told of late
    Time fleetHostsUntil_; ///< when a lower number is believed
    std::size_t zoneHosts_ = 1; ///< hosts in this zone, the highest number that sources told of late
    Time zoneHostsUntil_; ///< when a lower number is believed
    Time sourceChangedAt_;
    bool platformFails_ = false;
    bool fetching_ = false;
    bool othersLackData_ = false; ///< another host replied that it has none, so all are starting
    HostId referral_; ///< host to ask for what this one lacks, as another one told; 0: none
    Revision referralAfter_; ///< up to which this host had the data then
    std::uint32_t supplierFailures_ = 0; ///< hosts of this zone that were asked for the first data and can't supply it
    bool askZone_ = false; ///< the hosts of this zone are to be asked for data, as those of others have it
    bool zoneAsked_ = false; ///< that was done
    bool probing_ = false; ///< the source missed a request; the next one asks for a reply at once
    EndInquiry endInquiry_;
    Time startedAt_;
    Duration readersWait_{}; ///< how long the readers of a starting zone are waited for
    Time readingSince_; ///< of a host without data that reads the platform; Time{} if it does not
    Time resumedAt_; ///< end of the last pause of this host
    Time lastReplyAt_; ///< of any host
    Time lastReportAt_; ///< when a reply last told of hosts of this zone, or that there are none
    Time selfReportedAt_; ///< when such a reply last named this host among the first of its zone
    Time settledAt_; ///< when the view of the zone's hosts is trusted again after a start, a pause or a time without a message of them
    Time confirmedAt_;
    Time readSelfAt_; ///< when the data becomes too old unless it is confirmed
    Time requestedUntil_; ///< until when other hosts count as following this one
    Time nextRequestAt_;
    Time nextDiscoveryAt_;
    Time nextTick_;
    std::uint32_t discoveries_ = 0; ///< rounds in which hosts were asked for others, with data
    std::uint32_t startRounds_ = 0; ///< rounds in which hosts were asked for data, without any
};

/// Interval of the rounds in which a seed or one of the first hosts of the zone is asked, after the first rounds: groups of hosts that do
/// not know of each other join, and the readers learn how many hosts the zone has.
inline constexpr Duration kDiscoveryInterval = std::chrono::seconds{10};

/// How long after a start, a pause or a time without contact the view of the zone's hosts is not trusted: a host contacts a seed or one of
/// the first hosts of its zone every 10 s, give or take a quarter.
inline constexpr Duration kViewSettleTime = std::chrono::seconds{15};

/// How long this host counts as connected to others after a reply, and as one of the first of its zone after a report that says so. One in
/// eight replies has a report, so that one comes every 10 s on average; in a zone of one host, a seed is asked every 10 s. Less than the
/// 31 s after which a host that is cut off begins to forget the others.
inline constexpr Duration kMaxReportAge = std::chrono::seconds{30};

/// Longest time without a message of another host of the zone, and since the platform's last confirmation, with which the view of the
/// zone's hosts is trusted. Twice the time that requests are held if that is longer, as there may be no message in between.
inline constexpr Duration kMaxViewAge = std::chrono::seconds{3};

/// How many hosts follow one reader at most: a larger zone has more readers.
inline constexpr std::size_t kFollowersPerReader = 32;

/// How long a starting host waits for data of other hosts before it reads the platform; longer while it is receiving them, and not at all
/// if another host replied that it has none.
inline constexpr Duration kStartWait = std::chrono::milliseconds{30};
inline constexpr Duration kStartFetchWait = std::chrono::milliseconds{400};

/// How many hosts of a large zone read the platform when all start at once; each host knows that many of the first ones.
inline constexpr std::size_t kFirstReaders = kReportedHosts;

/// How long a host waits for them at least before it reads by itself; up to half of that longer, so that not all hosts begin at once.
inline constexpr Duration kReadersWait = std::chrono::seconds{2};

} // namespace medlarway
