// How a host finds other hosts, and its first data.
#include "replication/follower.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <utility>

namespace medlarway
{

namespace
{

// Interval of the first requests of a host that has no data yet. It doubles with each round up to the limit, as 300 hosts that wait for a
// slow platform would otherwise spend more on asking each other than on the data.
constexpr Duration kStartRetry = std::chrono::milliseconds{40};
constexpr Duration kMaxStartRetry = std::chrono::milliseconds{640};
constexpr std::uint32_t kMaxStartDoublings = 4;

// From this round on a host without data lets the others hold its requests, so that they answer as soon as they have data. The rounds
// before are answered at once, as the replies tell which hosts there are.
constexpr std::uint32_t kFirstHeldStartRound = 2;

// Delays of the rounds in which all seeds are asked for hosts: hosts that start together learn of each other, and a round that was lost is
// repeated.
constexpr std::array<Duration, 4> kDiscoveryDelays{std::chrono::milliseconds{100}, std::chrono::milliseconds{300},
                                                   std::chrono::milliseconds{1000}, std::chrono::milliseconds{3000}};

// A starting host that has been reading the platform for this time goes on, whatever it learns of other hosts.
constexpr Duration kReadCommitment = std::chrono::milliseconds{150};

// A starting host without a message of its zone for this time does not wait for the others, as they may have stopped: other hosts still
// tell of the hosts of a zone that was lost.
constexpr Duration kFirstContactWait = std::chrono::milliseconds{100};

// How many hosts of a large zone, the first by rank, fetch their first data from another zone if no host of their own has any. The others
// of the first readers read the platform.
constexpr std::size_t kFirstFetchers = 2;

// How long a host that was referred to another one waits for its reply before it asks others. The other one may itself be supplied by a
// host that is yet to be supplied.
constexpr Duration kReferralWait = std::chrono::milliseconds{700};

// A host stops to wait for the first readers of its zone when this many of them did not reply or can't read the platform.
constexpr std::uint32_t kMaxSupplierFailures = 2;

// How long a starting host waits for data of its own zone while hosts of other zones offer theirs. Hosts of a zone are a few milliseconds
// apart; it is shorter than kStartWait, so that a host may still fetch from another zone before it reads the platform.
constexpr Duration kOwnZoneWait = std::chrono::milliseconds{20};

} // namespace

// All data is large, and bytes between zones are dear. The reply has hosts of this zone, of which one may have the data. If all hosts of a
// large zone start, the first ones by rank fetch the data from another zone, and the others take it from them.
bool Follower::prefersOwnZone(const FeedReply &reply, Time now) const
{
    const bool otherZone = reply.sender && reply.sender->zone != options_.zone;
    if (!otherZone || isKnown(known_.asOf) || platformFails_) {
        return false;
    }
    const bool maySupply = now < startedAt_ + kOwnZoneWait && hosts_.countIn(options_.zone) > 1;
    return maySupply || (mayAwaitOthers(now) && !isAmongFirst(kFirstFetchers));
}

void Follower::discover(Time now, Outbox<FeedRequest> &outbox)
{
    hosts_.expire(now);
    if (!isKnown(known_.asOf)) {
        askForData(now, outbox);
        return;
    }
    if (endInquiry_.isOpen(now)) {
        ask(options_.seeds, now, outbox);
        ask(hosts_.ranked(options_.zone, 1 + kEndInquiryZoneHosts), now, outbox);
        nextDiscoveryAt_ = now + kEndInquiryRetry;
        return;
    }
    if (discoveries_ < kDiscoveryDelays.size()) {
        ask(seedsToAsk(), now, outbox);
    } else if (!options_.seeds.empty() && (hosts_.countIn(options_.zone) == 1 || random_.unit() < 0.5)) {
        ask({options_.seeds[random_.below(options_.seeds.size())]}, now, outbox);
    } else {
        const auto ranked = hosts_.ranked(options_.zone, kReportedHosts);
        ask({ranked[random_.below(ranked.size())]}, now, outbox);
    }
    const auto delay = discoveries_ < kDiscoveryDelays.size() ? kDiscoveryDelays.at(discoveries_) : kDiscoveryInterval;
    ++discoveries_;
    nextDiscoveryAt_ = now + std::chrono::duration_cast<Duration>(delay * (0.75 + 0.5 * random_.unit()));
}

void Follower::ask(const std::vector<HostId> &hosts, Time now, Outbox<FeedRequest> &outbox)
{
    for (const auto host : hosts) {
        if (host != options_.self && !requests_.contains(host)) {
            send(host, Duration{}, false, now, outbox);
        }
    }
}

// After its first round, which asks all seeds, a host asks those of its own zone and one other.
std::vector<HostId> Follower::seedsToAsk()
{
    std::vector<HostId> seeds;
    std::vector<HostId> others;
    for (const auto seed : options_.seeds) {
        (seed == options_.self || hosts_.isIn(seed, options_.zone) ? seeds : others).push_back(seed);
    }
    if (!others.empty()) {
        seeds.push_back(others[random_.below(others.size())]);
    }
    return seeds;
}

// Another zone has the data. Those of this one that have it, too, answer at once; if all hosts of a large zone start, none does.
void Follower::askZone(Time now, Outbox<FeedRequest> &outbox)
{
    if (!isInLargeFleet()) {
        ask(hosts_.ranked(options_.zone, kReportedHosts), now, outbox);
        return;
    }
    for (std::uint32_t asked = 0; asked < kMaxSupplierFailures; ++asked) {
        if (const auto host = nextSupplier(now)) {
            ask({*host}, now, outbox);
        }
    }
}

// A starting host asks every host that it knows, as any of them may have the data, and then one host of its zone at a time. A host that did
// not reply in time is passed over. A seed is asked while the replies tell of new hosts, and as long as there is no other host to be asked.
void Follower::askForData(Time now, Outbox<FeedRequest> &outbox)
{
    const auto delay = std::min(kStartRetry * (1U << std::min(startRounds_, kMaxStartDoublings)), kMaxStartRetry);
    if (startRounds_ == 0) {
        ask(options_.seeds, now, outbox);
        ask(hosts_.ranked(options_.zone, kReportedHosts), now, outbox);
    } else {
        const auto supplier = nextSupplier(now);
        const bool asksSeed = startRounds_ < kFirstHeldStartRound || startRounds_ > kMaxStartDoublings || !supplier || !mayAwaitOthers(now);
        if (zoneAsked_ && !mayAwaitOthers(now)) {
            ask(options_.seeds, now, outbox); // another zone has the data
        } else if (asksSeed && !options_.seeds.empty()) {
            ask({options_.seeds[random_.below(options_.seeds.size())]}, now, outbox);
        }
        if (supplier && !requests_.contains(*supplier)) {
            send(*supplier, startRounds_ < kFirstHeldStartRound ? Duration{} : delay * 9 / 10, false, now, outbox);
        }
    }
    ++startRounds_;
    nextDiscoveryAt_ = now + delay;
}

void Follower::followReferral(Time now, Outbox<FeedRequest> &outbox)
{
    const auto supplier = std::exchange(referral_, {});
    if (supplier.value != 0 && supplier != options_.self && known_.asOf == referralAfter_ && !requests_.contains(supplier)) {
        send(supplier, kReferralWait, false, now, outbox);
        outbox.back().message.referred = true;
        requests_[supplier].referred = true;
        outbox.back().message.sender = HostIntroduction{options_.zone, options_.control}; // the reply has the address of the pages
    }
}

// Each host begins elsewhere among the first of its zone, which spreads the requests.
std::optional<HostId> Follower::nextSupplier(Time now) const
{
    const auto hosts = hosts_.ranked(options_.zone, kReportedHosts);
    const auto first = combineHash(options_.self.value, hosts.size());
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        const auto host = hosts[(first + index) % hosts.size()];
        if (host != options_.self && !requests_.contains(host) && penaltyOf(host, now) == nullptr) {
            return host;
        }
    }
    return std::nullopt;
}

// A host of this zone has what this one lacks, or is about to, but the sender supplies others.
void Follower::takeReferral(HostId supplier, Time now)
{
    referral_ = supplier;
    referralAfter_ = known_.asOf;
    (isKnown(known_.asOf) ? nextRequestAt_ : nextDiscoveryAt_) = now + kReferralWait;
}

// A host that did not reply, or can't read the platform. The next one is asked at once.
void Follower::recordSupplierFailure(HostId host, Failure failure, Time now)
{
    const auto hosts = hosts_.ranked(options_.zone, kReportedHosts);
    if (std::find(hosts.begin(), hosts.end(), host) != hosts.end()) {
        penalize(host, failure, now);
        ++supplierFailures_;
        nextDiscoveryAt_ = now;
    }
}

// Hosts that fail count, too: a wait for them ends by their failure.
bool Follower::isAmongFirst(std::size_t count) const
{
    const auto first = hosts_.ranked(options_.zone, count);
    return std::find(first.begin(), first.end(), options_.self) != first.end();
}

// When all hosts of a large zone start, each would read everything: 300 hosts took 3 s of a platform that serves 6,000 reads a second. A
// host that learns of the others after a while finishes its read.
bool Follower::awaitsReaders(Time now) const
{
    const bool isReading = readingSince_ != Time{} && now - readingSince_ >= kReadCommitment;
    return mayAwaitOthers(now) && !isAmongFirst(kFirstReaders) && !isReading;
}

bool Follower::mayAwaitOthers(Time now) const
{
    const bool mayBeAlone = hosts_.lastContactInZone() == Time{} && now - startedAt_ >= kFirstContactWait;
    return isInLargeFleet() && !mayBeAlone && supplierFailures_ < kMaxSupplierFailures && now - startedAt_ < readersWait_;
}

// A host that failed becomes a source again only after it has shown that it can supply data, so that trying it delays nothing.
void Follower::probePenalized(Time now, Outbox<FeedRequest> &outbox)
{
    for (auto &[host, penalty] : penalties_) {
        if (now >= penalty.until && host != options_.self && host != source_ && !requests_.contains(host)) {
            send(host, Duration{}, false, now, outbox);
        }
    }
}

} // namespace medlarway
