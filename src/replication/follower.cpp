#include "replication/follower.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// Time for a reply beyond the time that the receiver may hold the request: some round trips, and the turn of a busy process.
constexpr Duration kReplyTimeout = std::chrono::milliseconds{250};

// Minimum time between two requests to a source, which limits the load if a source replies at once without news.
constexpr Duration kMinRequestInterval = std::chrono::milliseconds{100};

// A host that failed to supply data is not asked again for this time, doubled with each further failure up to the limit.
constexpr Duration kMinPenalty = std::chrono::seconds{1};
constexpr std::uint32_t kMaxPenaltyDoublings = 4;

// A host that failed to reply this often in a row has stopped; should it start again, it makes itself known.
constexpr std::uint32_t kFailuresToForget = 6;

// Number of hosts whose failure to read the platform is taken for the platform's fault, not theirs. Without this limit each host of a zone
// would try to read while the platform is down.
constexpr std::size_t kMaxStale = 3;

// Number of hosts by rank among which a source is looked for.
constexpr std::size_t kMaxCandidates = 64;

// How many rounds for hosts are left out at most after a long wait for data, in which hosts were asked, too.
constexpr std::uint32_t kMaxStartRoundsCounted = 2;

// Time that a host which was paused waits for its source before it reads by itself.
constexpr Duration kResumeWait = std::chrono::milliseconds{150};

// Minimum time between two ticks that no message causes.
constexpr Duration kMinTickInterval = std::chrono::milliseconds{5};

// Share of the age limit by which hosts that lost the same reader at the same moment spread their own reads.
constexpr double kAgeJitter = 0.25;

// An age that another host told, without values that no honest host sends.
Duration boundedAge(Duration age)
{
    return std::clamp(age, Duration{}, Duration{std::chrono::hours{1}});
}

} // namespace

std::string_view readReasonName(ReadReason reason)
{
    switch (reason) {
    case ReadReason::None:
        return "none";
    case ReadReason::Starting:
        return "starting";
    case ReadReason::Chosen:
        return "chosen";
    case ReadReason::Requested:
        return "requested";
    case ReadReason::DataTooOld:
        return "data-too-old";
    }
    return "unknown";
}

Follower::Follower(FollowerOptions options, Time now)
    : options_(std::move(options))
    , random_(options_.seed)
    , hosts_(options_.self, options_.zone)
    , source_(options_.self)
    , startedAt_(now)
    , readersWait_(std::chrono::duration_cast<Duration>(kReadersWait * (1 + random_.unit() / 2)))
    , settledAt_(now + kViewSettleTime)
    , nextRequestAt_(now)
    , nextDiscoveryAt_(now)
{
    endInquiry_.onStart(now);
}

void Follower::setSeeds(std::vector<HostId> seeds)
{
    options_.seeds = std::move(seeds);
}

bool Follower::isSeed() const
{
    return std::find(options_.seeds.begin(), options_.seeds.end(), options_.self) != options_.seeds.end();
}

void Follower::onRequest(HostId from, const FeedRequest &request, Time now)
{
    const auto lastContact = hosts_.lastContactInZone();
    if (request.sender) {
        hosts_.recordContact(from, request.sender->control, request.sender->zone, now);
    } else {
        hosts_.refresh(from, now);
    }
    recordContactGap(lastContact, now);
    if (request.follow) {
        requestedUntil_ = now + options_.timing.requestHold + 2 * kReplyTimeout;
    }
}

ReplyUse Follower::onReply(HostId from, const FeedReply &reply, Time now)
{
    // Step 1. Match it with the request.
    if (!expects(from, reply.number)) {
        return ReplyUse::Ignore;
    }
    const auto request = requests_.at(from);
    requests_.erase(from);
    endInquiry_.onReply(reply);
    const auto lastContact = hosts_.lastContactInZone();
    if (reply.sender) {
        hosts_.recordContact(from, reply.sender->control, reply.sender->zone, now);
    } else {
        hosts_.refresh(from, now);
    }
    recordContactGap(lastContact, now);
    recordReply(reply, now);
    if (reply.fleetHosts >= fleetHosts_ || now >= fleetHostsUntil_) {
        fleetHosts_ = reply.fleetHosts;
        fleetHostsUntil_ = now + kHostExpiry;
    }
    const bool fromSource = request.follow && from == source_;
    if (fromSource) {
        recordZoneHosts(reply.zoneHosts, now);
        probing_ = false;
        nextRequestAt_ = std::max(now, request.sentAt + kMinRequestInterval);
    }

    if (!isKnown(known_.asOf)) {
        recordZoneHosts(reply.zoneHosts, now);
    }
    if (reply.askInstead.value != 0 && !isKnown(reply.asOf)) {
        const bool needsSupplier = fromSource || !isKnown(known_.asOf); // the reply to a request for hosts says nothing of the source
        if (needsSupplier && !request.referred) {
            takeReferral(reply.askInstead, now);
        }
        return ReplyUse::Ignore;
    }

    // Step 2. A source that can't read the platform, or has not for too long, is no use. One that failed before and can is one again.
    const bool stale = reply.platformFails || !reply.confirmedAgo || *reply.confirmedAgo > options_.timing.maxAge;
    if (!stale) {
        penalties_.erase(from);
    } else if (fromSource || penalties_.contains(from)) {
        penalize(from, Failure::StaleData, now);
    }

    if (!isKnown(known_.asOf) && !isKnown(reply.asOf) && reply.platformFails) {
        recordSupplierFailure(from, Failure::StaleData, now);
    }
    othersLackData_ = othersLackData_ || !isKnown(reply.asOf);

    // Step 3. Take its data. When the platform confirmed it follows from durations only, as clocks of hosts can't be compared: the reply
    // was on its way for at most the part of the round trip in which it was not held.
    if (reply.asOf < known_.asOf || !isKnown(reply.asOf)) {
        return ReplyUse::Ignore;
    }
    if (reply.fetch && prefersOwnZone(reply, now)) {
        askZone_ = askZone_ || !std::exchange(zoneAsked_, true);
        return ReplyUse::Ignore;
    }
    if (reply.fetch) {
        return std::exchange(fetching_, true) ? ReplyUse::Ignore : ReplyUse::Fetch;
    }
    if (reply.confirmedAgo) {
        const auto roundTrip = now - request.sentAt;
        const auto underway = roundTrip - std::clamp(reply.held, Duration{}, roundTrip);
        confirm(now - underway - boundedAge(*reply.confirmedAgo));
    }
    return ReplyUse::Apply;
}

// A reader knows its own followers and some of the others, so readers tell different numbers. The highest of late is the best estimate, and
// one that does not change with each reply.
void Follower::recordZoneHosts(std::size_t count, Time now)
{
    if (count >= zoneHosts_ || now >= zoneHostsUntil_) {
        zoneHosts_ = std::clamp<std::size_t>(count, 1, kMaxHosts);
        zoneHostsUntil_ = now + kHostExpiry;
    }
}

// The clock may not have counted a pause during the fetch, so the age of its data would be told too low.
void Follower::onFetched(HostId from, bool succeeded, std::optional<Duration> confirmedAgo, Time startedAt)
{
    fetching_ = false;
    if (!succeeded) {
        penalize(from, Failure::NoReply, startedAt);
        nextDiscoveryAt_ = isKnown(known_.asOf) ? nextDiscoveryAt_ : startedAt; // another host may supply the first data
    } else if (confirmedAgo && startedAt >= resumedAt_) {
        confirm(startedAt - boundedAge(*confirmedAgo));
    }
}

void Follower::onPlatformConfirmed(Time at)
{
    platformFails_ = false;
    penalties_.erase(options_.self);
    confirm(at);
}

void Follower::onPlatformFailed(Time now)
{
    platformFails_ = true;
    penalize(options_.self, Failure::StaleData, now);
}

void Follower::confirm(Time at)
{
    if (at > confirmedAt_) {
        confirmedAt_ = at;
        const double jitter = 1 + kAgeJitter * random_.unit();
        readSelfAt_ = at + std::chrono::duration_cast<Duration>(options_.timing.maxAge * jitter);
    }
}

void Follower::onPause(Time now)
{
    requests_.clear();
    resumedAt_ = now;
    settledAt_ = now + kViewSettleTime;
    confirmedAt_ = Time{};
    readSelfAt_ = now + kResumeWait;
    nextRequestAt_ = now;
    nextDiscoveryAt_ = now;
    endInquiry_.onResume(now);
    probing_ = true;
}

void Follower::tick(const KnownData &known, bool urgent, Time now, Outbox<FeedRequest> &outbox)
{
    if (!isKnown(known_.asOf) && isKnown(known.asOf)) {
        nextDiscoveryAt_ = std::min(nextDiscoveryAt_, now + kMinRequestInterval); // a round without data may be far off
        discoveries_ = std::min(startRounds_ / 2, kMaxStartRoundsCounted);
    }
    if (known.asOf > known_.asOf && nextRequestAt_ > now + kMinRequestInterval) {
        nextRequestAt_ = now; // the host that this one was referred to supplied the changes
    }
    known_ = known;
    urgent_ = urgent;
    // Step 1. Give up on requests without a reply, then choose anew.
    expireRequests(now);
    const auto source = chooseSource(now);
    if (source != source_) {
        source_ = source;
        probing_ = true; // its first reply shows whether it responds
        nextRequestAt_ = std::max(now, sourceChangedAt_ + kMinRequestInterval);
        sourceChangedAt_ = now;
    }
    // Step 2. Ask for hosts, and for data if there is none yet.
    if (now >= nextDiscoveryAt_) {
        discover(now, outbox);
    }
    followReferral(now, outbox);
    if (std::exchange(askZone_, false)) {
        askZone(now, outbox);
    }
    probePenalized(now, outbox);
    // Step 3. Ask the source for changes.
    if (source_ != options_.self && isKnown(known_.asOf) && now >= nextRequestAt_ && !fetching_ && !requests_.contains(source_)) {
        send(source_, probing_ ? Duration{} : options_.timing.requestHold, true, now, outbox);
    }
    if (isKnown(known_.asOf) || readReason(now) == ReadReason::None) {
        readingSince_ = Time{};
    } else if (readingSince_ == Time{}) {
        readingSince_ = now;
    }
    nextTick_ = firstDue(now);
}

void Follower::expireRequests(Time now)
{
    for (auto entry = requests_.begin(); entry != requests_.end();) {
        const auto [host, request] = *entry;
        if (now < request.expiresAt) {
            ++entry;
            continue;
        }
        entry = requests_.erase(entry);
        // A single datagram may be lost; a source that misses two requests has stopped, or its process is paused.
        const bool sourceFailed = request.follow && host == source_ && std::exchange(probing_, true);
        if (sourceFailed || penalties_.contains(host)) {
            penalize(host, Failure::NoReply, now);
        } else if (!isKnown(known_.asOf)) {
            recordSupplierFailure(host, Failure::NoReply, now);
        }
    }
}

HostId Follower::chooseSource(Time now) const
{
    // Step 1. The first hosts by rank, without those that failed recently.
    const auto readers = 1 + (knownZoneHosts() - 1) / kFollowersPerReader;
    std::vector<HostId> candidates;
    std::vector<HostId> stale;
    for (const auto host : hosts_.ranked(options_.zone, kMaxCandidates)) {
        const auto *penalty = penaltyOf(host, now);
        if (penalty == nullptr) {
            candidates.push_back(host);
        } else if (penalty->failure == Failure::StaleData) {
            stale.push_back(host);
        }
        if (candidates.size() == readers || stale.size() == kMaxStale) {
            break;
        }
    }
    // Step 2. If no host can read, stay with the first until the platform responds again.
    if (candidates.empty()) {
        return stale.empty() ? options_.self : stale.front();
    }
    // Step 3. The candidates read. Each other host follows one of them, always the same, which spreads the followers.
    if (std::find(candidates.begin(), candidates.end(), options_.self) != candidates.end()) {
        return options_.self;
    }
    return candidates[combineHash(options_.self.value, readers) % candidates.size()];
}

void Follower::send(HostId to, Duration hold, bool follow, Time now, Outbox<FeedRequest> &outbox)
{
    FeedRequest request{static_cast<std::uint32_t>(random_()), known_.asOf, known_.version, hold, follow, urgent_, std::nullopt, true};
    if (introduces(request.number, hold) || !isKnown(known_.asOf)) { // the reply has the address of the pages
        request.sender = HostIntroduction{options_.zone, options_.control};
    }
    requests_[to] = Request{request.number, now, now + hold + kReplyTimeout, follow, false};
    outbox.push_back({to, request});
}

void Follower::penalize(HostId host, Failure failure, Time now)
{
    auto &penalty = penalties_[host];
    penalty.failure = failure;
    penalty.until = now + kMinPenalty * (1U << std::min(penalty.failures, kMaxPenaltyDoublings));
    ++penalty.failures;
    requests_.erase(host);
    if (penalty.failures >= kFailuresToForget && failure == Failure::NoReply) {
        hosts_.forget(host);
        penalties_.erase(host);
    }
}

const Follower::Penalty *Follower::penaltyOf(HostId host, Time now) const
{
    const auto found = penalties_.find(host);
    const bool over = found == penalties_.end() || (host == options_.self && now >= found->second.until);
    return over ? nullptr : &found->second;
}

Time Follower::firstDue(Time now) const
{
    auto due = nextDiscoveryAt_;
    for (const auto &[host, request] : requests_) {
        due = std::min(due, request.expiresAt);
    }
    for (const auto &[host, penalty] : penalties_) {
        due = penalty.until > now ? std::min(due, penalty.until) : due;
    }
    if (!isKnown(known_.asOf)) {
        due = std::min(due, startedAt_ + (now < startedAt_ + kStartWait ? kStartWait : readersWait_));
    } else if (source_ != options_.self) {
        due = std::min(due, readSelfAt_);
        due = requests_.contains(source_) || fetching_ ? due : std::min(due, nextRequestAt_);
    }
    return std::max(due, now + kMinTickInterval);
}

ReadReason Follower::readReason(Time now) const
{
    if (!isKnown(known_.asOf)) {
        const bool useless = options_.seeds.empty() || isSeed() || othersLackData_;
        const auto wait = useless ? Duration{} : (fetching_ ? kStartFetchWait : kStartWait);
        return now - startedAt_ >= wait && !awaitsReaders(now) ? ReadReason::Starting : ReadReason::None;
    }
    if (source_ == options_.self) {
        return ReadReason::Chosen;
    }
    if (now < requestedUntil_) {
        return ReadReason::Requested;
    }
    return now >= readSelfAt_ ? ReadReason::DataTooOld : ReadReason::None;
}

} // namespace medlarway
