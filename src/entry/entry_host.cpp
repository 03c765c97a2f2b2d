#include "entry/entry_host.h"

#include "base/contained.h"
#include "base/errors.h"
#include "base/version.h"
#include "entry/flow_log.h"
#include "entry/host_options.h"
#include "entry/store_pace.h"
#include "entry/warm_up_log.h"
#include "startup/start_cost.h"
#include "yaml/fault.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <fmt/format.h>
#include <memory>
#include <utility>

namespace medlarway
{

namespace
{

// Time until every router has stopped sending to a host that is not ready. They probe twice a second and skip a host after two failed
// probes; later packets were already in flight.
constexpr std::chrono::milliseconds kRouterFailoverTime{1600};

// A stopping host that received no packet for this long is no longer used by any router.
constexpr std::chrono::milliseconds kQuietBeforeExit{400};

// Part of the grace period reserved for the exit itself, as the process may get little CPU time.
constexpr std::chrono::milliseconds kGraceMargin{1000};

} // namespace

EntryHost::EntryHost(boost::asio::io_context &context, std::string settingsFile, const EntrySettings &settings)
    : context_(context)
    , settingsFile_(std::move(settingsFile))
    , settings_(settings)
    , settingsReader_(context_, settingsFile_)
    , timing_(timingFor(replicationBounds(settings)))
    , ticker_(context_)
    , steering_(steeringOptions(settings))
    , data_(steering_, [this] { return peerFeed_.confirmedAgo(monotonicNow()); })
    , packets_(context_, settings.packets, [this](auto datagrams, auto &outgoing) { onBatch(datagrams, outgoing); })
    , earlyPackets_(context_, earlyPacketCallbacks())
    , heldSyns_(context_, steering_, settings.packets, {[this](auto &outgoing) { packets_.send(outgoing); }, [this] { checkForPause(); }})
    , feed_(context_, storeFeedOptions(settings), feedSink())
    , prober_(context_)
    , peerHosts_(settings.control, combineHash(settings.control.address, settings.control.port))
    , snapshotPoller_(context_, settings.control, peerHosts_, snapshotCallbacks())
    , peerFeed_(context_, peerFeedOptions(settings), peerFeedCallbacks())
    , readyServer_(context_, settings.ready, [this](const std::string &target) { return serveReady(target); })
    , controlServer_(context_, settings.control, [this](const std::string &target) { return serveControl(target); })
{
}

void EntryHost::run(ProcessSignals &signals)
{
    peerHosts_.setSeeds(settings_.seeds);
    feed_.setReading(false);
    feed_.start();
    peerFeed_.start();
    snapshotPoller_.start();
    packets_.start();
    readyServer_.start();
    controlServer_.start();
    spawnDuty(context_, "tick", [this] { return runTicks(); });
    const auto cost = startCost();
    logEvent(Event::Started, {field("version", kVersion), field("host", settings_.name), field("zone", settings_.zone.name),
                              field("packets", endpointToString(settings_.packets)), field("store", endpointToString(settings_.store)),
                              field("start-ms", inMilliseconds(cost.elapsed)), field("cpu-ms", inMilliseconds(cost.processorTime))});
    signals.setHandler([this](int signal) { onSignal(signal); });
    runContained(context_, "entry host");
    logEvent(Event::Stopped, {field("packets", packets_.counts().received), field("flows", steering_.flowCount())});
}

// The outgoing packets point into the socket's buffers and into resets_, which is reserved for one reset per datagram so that it is not
// reallocated.
void EntryHost::onBatch(std::span<std::span<std::uint8_t>> datagrams, std::vector<OutgoingPacket> &outgoing)
{
    checkForPause();
    processPackets(datagrams, {}, outgoing);
    stalePackets_ = stalePackets_ && datagrams.size() == PacketSocket::kBatchSize;
    handleLivenessEvents();
}

// arrivals: of datagrams that were kept; empty if they have just arrived.
void EntryHost::processPackets(std::span<std::span<std::uint8_t>> datagrams, std::span<const EarlyPackets::Arrival> arrivals,
                               std::vector<OutgoingPacket> &outgoing)
{
    const auto now = monotonicNow();
    lastPacketAt_ = now;
    updateFreshness();
    resets_.clear();
    resets_.reserve(datagrams.size());
    for (std::size_t row = 0; row < datagrams.size(); ++row) {
        onDatagram(datagrams[row], arrivals.empty() ? EarlyPackets::Arrival{} : arrivals[row], outgoing, now);
    }
    if (steering_.hasHeldDecisions()) {
        heldSyns_.release(outgoing, now);
    }
    sendSynsAgain(outgoing, now);
}

// Sends the client's own SYN unchanged but for the token, which is not part of its contents. It must follow the batch's packets: the SYN's
// last copy may be one of them, and the upstream keeps the token that it received last.
void EntryHost::sendSynsAgain(std::vector<OutgoingPacket> &outgoing, Time now)
{
    if (!mayOpenFlows(now)) {
        return; // the upstreams' zones may have been evacuated; sent with a later batch
    }
    for (const auto &superseded : steering_.takeSupersededSyns()) {
        auto *syn = synCopies_.find(superseded.flow);
        const auto &upstream = steering_.directory().at(superseded.sentTo);
        if (syn == nullptr || upstream.presence != Presence::Listed || upstream.evacuated || !steering_.admitSyn(superseded.sentTo, now)) {
            continue;
        }
        writeToken(*syn, steering_.directory().at(superseded.openedAt).flowToken);
        outgoing.push_back({upstream.entry.address, recipientPrefix(upstream.entry), kRecipientBytes, *syn});
        count(Counter::SynsSentAgain);
        logFlow(Event::SynSentAgain, steering_,
                {superseded.flow, "opened-elsewhere", superseded.sentTo, peerFeed_.follower().confirmedAt()}, now);
    }
}

// After a pause the configuration, the connection to the store and the packets in the socket may be stale.
void EntryHost::checkForPause()
{
    const auto pause = pauseDetector_.recordRunning(timeSinceBoot());
    if (!pause) {
        return;
    }
    logEvent(Event::WokeLate, {field("milliseconds", inMilliseconds(*pause))});
    stalePackets_ = true;
    synHold_.start(monotonicNow());
    earlyPackets_.drop(monotonicNow());
    heldSyns_.drop(monotonicNow());
    synCopies_.expire(monotonicNow());
    peerFeed_.onPause();
    updateZoneView(monotonicNow());
    feed_.reconnect();
}

void EntryHost::onDatagram(std::span<std::uint8_t> datagram, const EarlyPackets::Arrival &arrival, std::vector<OutgoingPacket> &outgoing,
                           Time now)
{
    auto packet = decodePacket(datagram);
    if (!packet) {
        reportError(ErrorKind::DatagramTooLarge, fmt::format("malformed client packet, {} bytes", datagram.size()));
        return;
    }
    packet->waited = arrival.waited;
    packet->allSynsHere = arrival.allSynsHere;
    // The client has retransmitted its SYN through another host by now. If this SYN reached another upstream, its response would carry
    // that upstream's token and divert the open flow.
    if (packet->syn && stalePackets_) {
        count(Counter::OpeningsDropped);
        logFlow(Event::FlowUnanswered, steering_, {packet->flow, "paused", kNoUpstream, peerFeed_.follower().confirmedAt()}, now);
        return;
    }
    if (!steering_.isReady() || (packet->syn && !mayOpenFlows(now))) {
        earlyPackets_.keep(*packet, datagram, now);
        return;
    }
    const auto decision = steering_.onPacket(*packet, now);
    logDecision(steering_, packet->flow, decision, peerFeed_.follower().confirmedAt(), now);
    if (decision.action == SteeringAction::Forward) {
        const auto &upstream = steering_.directory().at(decision.upstream);
        if (decision.reason == SteeringReason::SynRerouted) {
            synCopies_.keep(packet->flow, datagram, now);
        }
        writeToken(datagram, steering_.tokenFor(*packet, decision.upstream));
        outgoing.push_back({upstream.entry.address, recipientPrefix(upstream.entry), kRecipientBytes, datagram});
    } else if (decision.action == SteeringAction::Reset) {
        resets_.push_back(resetForPacket(*packet));
        // Clients receive on the same port number as this host.
        outgoing.push_back({Endpoint{packet->flow.client.address, settings_.packets.port}, {}, 0, resets_.back()});
    } else if (decision.action == SteeringAction::Hold) {
        heldSyns_.keep(packet->flow, datagram, now);
    }
}

// Without all data, or if it may be too old, upstreams may be missing or their zones evacuated.
bool EntryHost::mayOpenFlows(Time now) const
{
    return steering_.isReady() && !synHold_.holds(now, peerFeed_.follower().confirmedAt());
}

EarlyPackets::Callbacks EntryHost::earlyPacketCallbacks()
{
    EarlyPackets::Callbacks callbacks;
    callbacks.beforeUse = [this] { checkForPause(); };
    callbacks.usable = [this] { return mayOpenFlows(monotonicNow()); };
    callbacks.process = [this](auto datagrams, auto arrivals) {
        std::vector<OutgoingPacket> outgoing;
        processPackets(datagrams, arrivals, outgoing);
        packets_.send(outgoing);
    };
    callbacks.expired = [this](const FlowPacket &packet, Duration waited) {
        logFlow(Event::FlowUnanswered, steering_,
                {packet.flow, reasonName(SteeringReason::NotReady), kNoUpstream, peerFeed_.follower().confirmedAt(), waited},
                monotonicNow());
    };
    return callbacks;
}

boost::asio::awaitable<void> EntryHost::runTicks()
{
    for (;;) {
        onTick();
        ticker_.expires_after(toSteady(kSteeringTick));
        co_await ticker_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
}

// The exit comes first, so that no fault of a tick holds it up.
void EntryHost::onTick()
{
    const auto now = monotonicNow();
    if (stopping_ && canExit(now)) {
        contain("held flows", [this, now] {
            checkForPause(); // SYNs from before a pause must not be sent, as a zone may have been evacuated meanwhile
            heldSyns_.end(now);
        });
        context_.stop();
        return;
    }
    checkForPause();
    updateFreshness();
    updateZoneView(now);
    steering_.setZoneHosts(peerFeed_.follower().knownZoneHosts());
    steering_.tick(now);
    logOverload(steering_.takeOverloadChanges());
    synCopies_.expire(now);
    handleLivenessEvents();
    logWarmUps(steering_, now);
    const auto unknown = steering_.countOf(SteeringReason::NoRoute) + steering_.countOf(SteeringReason::RouteUncertain);
    routeUnknown_ = unknown != std::exchange(routeUnknownCount_, unknown);
    urgent_ = pauseAfterChanges(timing_, urgency()) < timing_.pause;
    updatePace();
    flushLog();
}

void EntryHost::updateFreshness()
{
    const auto confirmedAt = peerFeed_.follower().confirmedAt();
    steering_.setFreshUntil(confirmedAt == Time{} ? Time{} : confirmedAt + timing_.freshness);
    heldSyns_.setConfirmedAt(confirmedAt);
}

void EntryHost::updateZoneView(Time now)
{
    steering_.setZoneView(peerFeed_.follower().zoneView(now), now);
}

void EntryHost::handleLivenessEvents()
{
    for (const auto &event : steering_.takeEvents()) {
        const auto &upstream = steering_.directory().at(event.upstream);
        if (event.kind != LivenessEventKind::StillSuspected) {
            logEvent(event.kind == LivenessEventKind::Suspected ? Event::UpstreamEjected : Event::UpstreamReadmitted,
                     {field("upstream", upstream.entry.id), field("zone", upstream.entry.zone.name), field("flows", upstream.flows),
                      field("running", upstream.running), field("stalled", upstream.liveness.stalledFlows),
                      field("entry-revision", revisionToString(upstream.entry.revision))});
        }
        // A connection serves only to learn whether the flows have ended.
        const bool isUnused = upstream.evacuated && upstream.flows == 0;
        if (event.kind != LivenessEventKind::Recovered && !isUnused) {
            probe(event.upstream);
        }
    }
}

// Flows may also stall because of slow requests or a pause of this host. Only if no connection can be made, the upstream counts as
// unreachable.
void EntryHost::probe(UpstreamIndex index)
{
    const auto entry = steering_.directory().at(index).entry;
    prober_.probe(entry.address, [this, index, id = entry.id, startMs = entry.startMs](bool reachable) {
        const auto &upstream = steering_.directory().at(index);
        if (!reachable && upstream.entry.id == id && upstream.entry.startMs == startMs) {
            resetFlowsOf(index);
        }
    });
}

void EntryHost::resetFlowsOf(UpstreamIndex index)
{
    if (!steering_.directory().at(index).liveness.suspectedAt) {
        return; // a client acknowledged a response during the probe
    }
    const auto flows = steering_.markUnreachable(index, monotonicNow());
    std::vector<PacketHeader> resets;
    resets.reserve(flows.size());
    std::vector<OutgoingPacket> outgoing;
    for (const auto &aborted : flows) {
        logFlow(Event::FlowReset, steering_, {aborted.flow, "upstream-unreachable", index, peerFeed_.follower().confirmedAt()},
                monotonicNow());
        resets.push_back(resetForFlow(aborted.flow, aborted.acknowledged));
        outgoing.push_back({Endpoint{aborted.flow.client.address, settings_.packets.port}, {}, 0, resets.back()});
    }
    packets_.send(outgoing);
    const auto &upstream = steering_.directory().at(index);
    logEvent(Event::UpstreamUnreachable,
             {field("upstream", upstream.entry.id), field("zone", upstream.entry.zone.name), field("flows-reset", flows.size()),
              field("entry-revision", revisionToString(upstream.entry.revision))});
}

StoreFeedSink EntryHost::feedSink()
{
    StoreFeedSink sink;
    sink.config = [this](const RouteConfig &config) { data_.applyConfig(config); };
    sink.upstream = [this](const UpstreamEntry &entry) { data_.applyUpstream(entry); };
    sink.removed = [this](const std::string &id, const Revision &revision) { data_.removeUpstream(id, revision); };
    sink.evacuation = [this](const ZoneEvacuation &evacuation) { data_.applyEvacuation(evacuation); };
    sink.complete = [this](const auto &ids, const auto &evacuations, const auto &revision) {
        if (data_.completeRead(ids, evacuations, revision)) {
            peerFeed_.onReadAnew();
        }
    };
    sink.confirmed = [this] {
        data_.confirmUpTo(feed_.asOf());
        peerFeed_.onPlatformConfirmed(feed_.confirmedAt());
    };
    sink.failed = [this] { peerFeed_.onPlatformFailed(); };
    return sink;
}

PeerFeedCallbacks EntryHost::peerFeedCallbacks()
{
    PeerFeedCallbacks callbacks;
    callbacks.known = [this] { return data_.known(); };
    callbacks.urgent = [this] { return urgent_; };
    callbacks.makeDelta = [this](const KnownData &receiver) { return data_.deltaFor(receiver); };
    callbacks.apply = [this](const SteeringDelta &delta, HostId from) { applyFromHost(delta, endpointOf(from)); };
    callbacks.recentEnds = [this] { return takeRecentEnds(steering_, monotonicNow()); };
    callbacks.applyRecentEnds = [this](const auto &ends, const Revision &asOf, HostId from) {
        data_.applyRecentEnds(ends, asOf, endpointOf(from));
        updateZoneView(monotonicNow());
    };
    callbacks.formerUpstreams = [this] { return takeFormerUpstreams(steering_, monotonicNow()); };
    callbacks.applyFormerUpstreams = [this](const auto &former, HostId from) { data_.applyFormerUpstreams(former, endpointOf(from)); };
    callbacks.readReasonChanged = [this](ReadReason reason) { onReadReason(reason); };
    callbacks.beforeUse = [this] { checkForPause(); };
    callbacks.demand.own = [this] { return steering_.ownDemand(monotonicNow()); };
    callbacks.demand.setFleet = [this](std::vector<ZoneDemand> demand) { steering_.setFleetDemand(std::move(demand)); };
    callbacks.demand.beforeUse = callbacks.beforeUse;
    callbacks.demand.slotsOf = [this](const std::string &service) { return slotsOf(steering_.directory(), service); };
    return callbacks;
}

void EntryHost::onReadReason(ReadReason reason)
{
    feed_.setReading(reason != ReadReason::None);
    updatePace();
}

ReadUrgency EntryHost::urgency() const
{
    ReadUrgency urgency;
    urgency.upstreamSuspected = steering_.hasSuspectedTraffic();
    urgency.routeUnknown = routeUnknown_;
    urgency.afterGap = peerFeed_.follower().confirmedAt() == Time{};
    urgency.followerUrgent = peerFeed_.followerUrgent();
    return urgency;
}

void EntryHost::updatePace()
{
    feed_.setPace(storePace(timing_, urgent_, peerFeed_.follower().knownZoneHosts() <= 1));
}

// Another host's data may be old, if that one is cut off from the platform. This host reads the platform then, which takes a moment.
void EntryHost::applyFromHost(const SteeringDelta &delta, const Endpoint &from)
{
    const bool isFirst = !data_.isComplete();
    data_.applyDelta(delta, from);
    feed_.resumeFrom(delta.asOf);
    if (isFirst) {
        synHold_.start(monotonicNow());
    }
}

bool EntryHost::ready() const
{
    return !stopping_ && data_.isComplete();
}

PeerSnapshotPoller::Callbacks EntryHost::snapshotCallbacks()
{
    PeerSnapshotPoller::Callbacks callbacks;
    callbacks.needed = [this] {
        const auto now = monotonicNow();
        const auto &follower = peerFeed_.follower();
        return needsSnapshots({follower.readReason(now), feed_.reachable(), now - follower.confirmedAt()}, timing_.maxAge);
    };
    callbacks.knownRevision = [this] { return data_.upTo(); };
    callbacks.apply = [this](const SteeringSnapshot &snapshot, const Endpoint &from) { applyFromHost(fullDelta(snapshot), from); };
    return callbacks;
}

void EntryHost::onSignal(int signal)
{
    if (signal == SIGHUP) {
        reloadSettings();
    } else {
        startStop(signal);
    }
}

void EntryHost::reloadSettings()
{
    settingsReader_.reload([this](const std::string &text) { applySettings(entrySettingsFrom(text, settingsFile_)); });
}

void EntryHost::applySettings(const EntrySettings &wanted)
{
    const auto restart = changesThatNeedRestart(settings_, wanted);
    settings_.logLevel = wanted.logLevel;
    settings_.gracePeriod = wanted.gracePeriod;
    settings_.seeds = wanted.seeds;
    peerHosts_.setSeeds(settings_.seeds);
    peerFeed_.setSeeds(seedIds(settings_));
    setLogLevel(settings_.logLevel);
    logEvent(Event::SettingsReloaded, {field("needs-restart", restart.empty() ? "nothing" : fmt::format("{}", fmt::join(restart, ",")))});
}

// The host stops being ready first and keeps forwarding packets until the routers have stopped sending to it.
void EntryHost::startStop(int signal)
{
    if (std::exchange(stopping_, true)) {
        return;
    }
    stopRequestedAt_ = monotonicNow();
    logEvent(Event::StopRequested, {field("signal", signal), field("flows", steering_.flowCount())});
}

bool EntryHost::canExit(Time now) const
{
    const auto since = now - stopRequestedAt_;
    return since >= settings_.gracePeriod - kGraceMargin || (since >= kRouterFailoverTime && now - lastPacketAt_ >= kQuietBeforeExit);
}

} // namespace medlarway
