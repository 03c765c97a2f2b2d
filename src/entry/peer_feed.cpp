#include "entry/peer_feed.h"

#include "base/contained.h"
#include "base/errors.h"
#include "entry/revision_text.h"
#include "pages/http_client.h"
#include "pages/http_status.h"
#include "pages/query.h"
#include "peering/boot_number.h"
#include "peering/codec.h"
#include "replication/packed_delta.h"
#include "yaml/scalars.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

// Time limits of a fetch: hosts are a few milliseconds apart, but a page may take a while on a link of 2 Mbit/s.
constexpr std::chrono::milliseconds kConnectTimeout{300};
constexpr std::chrono::milliseconds kFetchTimeout{2000};

// The changes of a fleet with 9,100 upstreams and 2,500 routes take 1.5 MB.
constexpr std::size_t kMaxPageBytes = 4U << 20U;

// How long an encoded page is used, as the ages in it are not adjusted. Hosts that start together ask within a second.
constexpr Duration kMaxPageAge = std::chrono::seconds{1};

// Budget of the pages for other hosts. When all hosts of a large zone start at once, the seeds would spend their links on them; most read
// the platform then.
constexpr std::uint64_t kPageBytesPerSecond = 500'000;
constexpr std::uint64_t kPageBurstBytes = 1'000'000;

// A page beyond this is charged as if it had this size; else it could never be served.
constexpr std::size_t kMaxChargedBytes = 700'000;

// How long a follower's urgent request shortens this host's pauses.
constexpr Duration kUrgency = std::chrono::seconds{1};

// Largest encoded reply; its envelope has to fit into the datagram too.
constexpr std::size_t kMaxReplyBytes = kMaxRelayBytes - kEnvelopeBytes;

// The boot number that a host knows of the receiver, which was refused for a lower one.
struct BootNumber {
    std::uint64_t known = 0;
};

} // namespace

PeerFeed::PeerFeed(boost::asio::io_context &context, const PeerFeedOptions &options, PeerFeedCallbacks callbacks)
    : context_(context)
    , callbacks_(std::move(callbacks))
    , self_(options.follower.self)
    , maxAge_(options.follower.timing.maxAge)
    , envelope_(self_, bootNumberFromClock(), options.keys)
    , follower_(options.follower, monotonicNow())
    , socket_(context, options.listen, [this](std::string_view sealed) { receive(sealed); })
    , timer_(context)
    , pageBudget_(kPageBytesPerSecond, kPageBurstBytes)
    , source_(self_)
    , demand_(
          context, options.follower, follower_, [this](HostId to, const DemandMessage &message) { sendDemand(to, message); },
          callbacks_.demand)
{
}

void PeerFeed::start()
{
    socket_.start();
    update();
    demand_.start();
}

void PeerFeed::setSeeds(std::vector<HostId> seeds)
{
    follower_.setSeeds(std::move(seeds));
}

void PeerFeed::onPlatformConfirmed(Time at)
{
    follower_.onPlatformConfirmed(at);
    update();
}

void PeerFeed::onPlatformFailed()
{
    follower_.onPlatformFailed(monotonicNow());
    update();
}

void PeerFeed::onPause()
{
    follower_.onPause(monotonicNow());
    demand_.onPause();
    update();
}

void PeerFeed::onReadAnew()
{
    follower_.onReadAnew(monotonicNow());
    update();
}

void PeerFeed::update()
{
    const bool complete = contain("feed between hosts", [this] { sendDue(); });
    scheduleUpdate(complete ? Time{} : monotonicNow() + kRestartPause);
}

void PeerFeed::sendDue()
{
    const auto now = monotonicNow();
    follower_.tick(callbacks_.known(), callbacks_.urgent(), now, outbox_);
    for (const auto &[to, request] : std::exchange(outbox_, {})) {
        send(to, MessageKind::Request, encodeMessage(request));
    }
    answerHeld();
    if (follower_.source() != source_) {
        source_ = follower_.source();
        logEvent(Event::SourceChosen,
                 {field("source", source_ == self_ ? "platform" : endpointToString(endpointOf(source_))),
                  field("zone-hosts", follower_.knownZoneHosts()), field("revision", revisionToString(callbacks_.known().asOf)),
                  field("age-ms", inMilliseconds(confirmedAgo(now).value_or(Duration{})))});
    }
    if (const auto reason = follower_.readReason(now); reason != readReason_) {
        logEvent(Event::ReadingChanged, {field("reason", readReasonName(reason)), field("before", readReasonName(readReason_)),
                                         field("revision", revisionToString(callbacks_.known().asOf)), field("followers", held_.size()),
                                         field("age-ms", inMilliseconds(confirmedAgo(now).value_or(Duration{})))});
        readReason_ = reason;
        callbacks_.readReasonChanged(reason);
    }
}

void PeerFeed::scheduleUpdate(Time earliest)
{
    auto next = follower_.nextTick();
    if (const auto due = held_.nextDue()) {
        next = std::min(next, *due);
    }
    next = std::max(next, earliest);
    timer_.expires_at(std::chrono::time_point_cast<std::chrono::steady_clock::duration>(next));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            contain("feed between hosts", callbacks_.beforeUse);
            update();
        }
    });
}

void PeerFeed::receive(std::string_view sealed)
{
    callbacks_.beforeUse();
    count(Counter::PeerBytesReceived, sealed.size());
    try {
        handle(envelope_.open(sealed));
    } catch (const Error &error) {
        reportError(error.kind(), error.what());
        if (error.kind() == ErrorKind::PeerStaleBoot) {
            const auto sender = Envelope::senderOf(sealed);
            send(sender, MessageKind::BootNotice, encodeMessage(BootNumber{envelope_.lastSeenBoot(sender)}));
        }
    }
    update();
}

void PeerFeed::handle(const OpenedMessage &message)
{
    count(Counter::PeerMessagesReceived);
    const auto now = monotonicNow();
    switch (static_cast<MessageKind>(message.kind)) {
    case MessageKind::Request: {
        const auto request = decodeMessage<FeedRequest>(message.body);
        follower_.onRequest(message.from, request, now);
        if (request.urgent) {
            followerUrgentUntil_ = now + kUrgency;
        }
        held_.add(message.from, request, sourceState(), maxAge_, now);
        return;
    }
    case MessageKind::Reply: {
        auto reply = decodeMessage<FeedReply>(message.body);
        if (reply.packed) {
            reply.delta = unpackDelta(*reply.packed); // before the follower takes the reply as a confirmation
        }
        handleReply(message.from, reply);
        return;
    }
    case MessageKind::BootNotice:
        envelope_.raiseBoot(decodeMessage<BootNumber>(message.body).known);
        return;
    case MessageKind::DemandReport:
        demand_.onReport(message.from, message.body);
        return;
    case MessageKind::DemandReply:
        demand_.onReply(message.from, message.body);
        return;
    case MessageKind::Page:
        break;
    }
    throw Error(ErrorKind::PeerMalformed, "unknown kind of a feed message");
}

void PeerFeed::handleReply(HostId from, const FeedReply &reply)
{
    const bool isExpected = follower_.expects(from, reply.number);
    const auto use = follower_.onReply(from, reply, monotonicNow());
    if (isExpected) {
        callbacks_.applyRecentEnds(reply.recentEnds, reply.asOf, from);
        if (callbacks_.applyFormerUpstreams) {
            callbacks_.applyFormerUpstreams(reply.former, from);
        }
    }
    switch (use) {
    case ReplyUse::Ignore:
        return;
    case ReplyUse::Apply:
        callbacks_.apply(reply.delta, from);
        return;
    case ReplyUse::Fetch:
        spawnContained(context_, "fetch from a host", fetch(from, follower_.hosts().controlOf(from).value_or(Endpoint{})));
        return;
    }
}

SourceState PeerFeed::sourceState() const
{
    return {callbacks_.known(), follower_.confirmedAt(), follower_.platformFails()};
}

std::optional<Duration> PeerFeed::confirmedAgo(Time now) const
{
    return follower_.confirmedAt() == Time{} ? std::nullopt : std::optional(now - follower_.confirmedAt());
}

void PeerFeed::answerHeld()
{
    for (const auto &held : held_.takeAnswerable(sourceState(), monotonicNow())) {
        answer(held);
    }
}

// Changes that don't fit into a datagram are left out, and the follower fetches them.
void PeerFeed::answer(const HeldRequest &held)
{
    const auto now = monotonicNow();
    const auto known = callbacks_.known();
    FeedReply reply;
    reply.number = held.request.number;
    reply.held = now - held.receivedAt;
    reply.asOf = known.asOf;
    reply.confirmedAgo = confirmedAgo(now);
    reply.platformFails = follower_.platformFails();
    const auto zone = held.request.sender ? held.request.sender->zone : follower_.options().zone;
    reply.zoneHosts = static_cast<std::uint32_t>(follower_.hosts().countIn(zone));
    if (held.request.sender) {
        reply.fleetHosts = static_cast<std::uint32_t>(follower_.hosts().count());
        reply.sender = HostIntroduction{follower_.options().zone, follower_.options().control};
        reply.recentEnds = callbacks_.recentEnds();
        reply.former = callbacks_.formerUpstreams ? callbacks_.formerUpstreams() : std::vector<FormerUpstream>{};
    }
    // A host that is asked although others rank higher tells of these.
    if (held.request.sender || follower_.source() != self_) {
        reply.hosts = follower_.hosts().report(zone, now);
    }
    reply.fetch = isKnown(known.asOf) && !isKnown(held.request.after);
    if (isKnown(known.asOf) && !reply.fetch) {
        addDelta(reply, held);
    }
    auto body = encodeMessage(reply);
    if (reply.fetch || body.size() > kMaxReplyBytes) {
        offerPage(reply, held);
        body = encodeMessage(reply);
    }
    send(held.from, MessageKind::Reply, body);
}

void PeerFeed::addDelta(FeedReply &reply, const HeldRequest &held) const
{
    constexpr std::size_t kFewUpstreams = 2; // take less unpacked
    auto delta = callbacks_.makeDelta({held.request.after, held.request.version});
    if (held.request.extended && delta.upstreams.size() > kFewUpstreams) {
        reply.packed = packDelta(delta);
    }
    if (!reply.packed) {
        reply.delta = std::move(delta);
    }
}

// The hosts of a large zone that lack the same fetch it from each other.
void PeerFeed::offerPage(FeedReply &reply, const HeldRequest &held)
{
    reply.fetch = true;
    reply.delta = {};
    reply.packed.reset();
    const auto &zone = follower_.options().zone;
    const bool ownZone = held.request.sender ? held.request.sender->zone == zone : follower_.hosts().isIn(held.from, zone);
    if (!held.request.extended || !ownZone || !follower_.isInLargeFleet()) {
        return;
    }
    // A host is referred once, as hosts could be made to wait for each other otherwise.
    const auto size = pageFor({held.request.after, held.request.version}, true).delta.size();
    if (held.request.referred) {
        pageOffers_.recordSupply(held.from, held.request.after, size, monotonicNow());
        return;
    }
    if (const auto other = pageOffers_.referral(held.from, held.request.after, size, monotonicNow())) {
        reply.askInstead = *other;
        reply.fetch = false;
        reply.asOf = {};
        reply.confirmedAgo.reset();
    }
}

void PeerFeed::send(HostId to, MessageKind kind, const std::string &body)
{
    const auto sealed = envelope_.seal(to, static_cast<std::uint8_t>(kind), body);
    if (!socket_.send(to, sealed)) {
        return;
    }
    countSent(kind, sealed.size());
}

void PeerFeed::countSent(MessageKind kind, std::size_t bytes)
{
    count(Counter::PeerMessagesSent);
    count(Counter::PeerBytesSent, bytes);
    const auto countKind = [bytes](Counter messages, Counter size) {
        count(messages);
        count(size, bytes);
    };
    switch (kind) {
    case MessageKind::Request:
        countKind(Counter::FollowRequestsSent, Counter::FollowRequestBytes);
        return;
    case MessageKind::Reply:
        countKind(Counter::FollowRepliesSent, Counter::FollowReplyBytes);
        return;
    case MessageKind::DemandReport:
        countKind(Counter::DemandReportsSent, Counter::DemandReportBytes);
        return;
    case MessageKind::DemandReply:
        countKind(Counter::DemandRepliesSent, Counter::DemandReplyBytes);
        return;
    case MessageKind::BootNotice:
    case MessageKind::Page: // counted where it is served
        return;
    }
}

void PeerFeed::sendDemand(HostId to, const DemandMessage &message)
{
    const auto kind = std::holds_alternative<DemandReport>(message) ? MessageKind::DemandReport : MessageKind::DemandReply;
    send(to, kind, std::visit([](const auto &body) { return encodeMessage(body); }, message));
}

boost::asio::awaitable<void> PeerFeed::fetch(HostId from, Endpoint control)
{
    const auto startedAt = monotonicNow();
    bool applied = false;
    co_await contained("fetch from a host", fetchPage(from, control, startedAt, applied));
    if (!applied) {
        follower_.onFetched(from, false, std::nullopt, startedAt);
    }
    update();
}

boost::asio::awaitable<void> PeerFeed::fetchPage(HostId from, Endpoint control, Time startedAt, bool &applied)
{
    const auto known = callbacks_.known();
    HttpClient reader(context_, control);
    const auto response
        = co_await reader.get(fmt::format("{}?after={}&version={}&from={}&packed=1", kDeltaPath, revisionToString(known.asOf),
                                          known.version, encodeQueryValue(endpointToString(endpointOf(self_)))),
                              kFetchTimeout, kConnectTimeout);
    reader.close();
    callbacks_.beforeUse();
    applied = response && response->status == kStatusOk && applyPage(from, response->body, startedAt);
}

// True if the page was applied; its data may then count as confirmed.
bool PeerFeed::applyPage(HostId from, const std::string &sealed, Time startedAt)
{
    try {
        const auto opened = envelope_.open(sealed, kMaxPageBytes);
        if (opened.from != from || static_cast<MessageKind>(opened.kind) != MessageKind::Page) {
            throw Error(ErrorKind::PeerMalformed, "not a page of the host that was asked");
        }
        const auto page = decodeMessage<FeedPage>(opened.body, kMaxPageBytes);
        count(Counter::DeltasFetched);
        callbacks_.apply(page.packed ? unpackDelta(decodeMessage<PackedDelta>(page.delta, kMaxPageBytes))
                                     : decodeMessage<SteeringDelta>(page.delta, kMaxPageBytes),
                         from);
        follower_.onFetched(from, true, page.confirmedAgo, startedAt);
        return true;
    } catch (const Error &error) {
        reportError(error.kind(), fmt::format("page of {}: {}", endpointToString(endpointOf(from)), error.what()));
        return false;
    }
}

// A receiver of an earlier release does not ask for a packed delta.
FeedPage PeerFeed::makePage(const KnownData &receiver, bool packed) const
{
    const auto delta = callbacks_.makeDelta(receiver);
    const auto packedDelta = packed ? packDelta(delta) : std::nullopt;
    return {std::nullopt, packedDelta ? encodeMessage(*packedDelta) : encodeMessage(delta), packedDelta.has_value()};
}

const FeedPage &PeerFeed::pageFor(const KnownData &receiver, bool packed)
{
    const auto known = callbacks_.known();
    const auto now = monotonicNow();
    const bool isSame = page_.receiver == receiver && page_.known == known && page_.packed == packed;
    if (page_.page.delta.empty() || !isSame || now - page_.madeAt > kMaxPageAge) {
        page_ = CachedPage{receiver, known, packed, makePage(receiver, packed), now};
    }
    return page_.page;
}

std::optional<PageResponse> PeerFeed::serve(const std::string &target)
{
    const auto parsed = parseTarget(target);
    if (!parsed || parsed->path != kDeltaPath) {
        return std::nullopt;
    }
    callbacks_.beforeUse();
    auto query = parsed->query;
    const auto after = parseRevision(query["after"]);
    const auto version = parseNumber(query["version"]);
    const auto from = parseEndpoint(query["from"]);
    const auto known = callbacks_.known();
    if (!after || !version || !from || !isKnown(known.asOf)) {
        return PageResponse{kStatusNoContent, "application/cbor", ""};
    }
    const KnownData receiver{*after, *version};
    auto page = pageFor(receiver, query["packed"] == "1");
    const auto priority = isKnown(receiver.asOf) ? MessagePriority::High : MessagePriority::Normal;
    if (!pageBudget_.take(std::min<std::size_t>(page.delta.size(), kMaxChargedBytes), priority, monotonicNow())) {
        return PageResponse{kStatusUnavailable, "application/cbor", ""};
    }
    page.confirmedAgo = confirmedAgo(monotonicNow());
    const auto body = encodeMessage(page);
    auto sealed = envelope_.seal(hostIdOf(*from), static_cast<std::uint8_t>(MessageKind::Page), body);
    count(Counter::DeltasServed);
    count(Counter::DeltaBytesServed, sealed.size());
    return PageResponse{kStatusOk, "application/cbor", std::move(sealed)};
}

} // namespace medlarway
