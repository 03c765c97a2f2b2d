#include "entry/entry_host.h"

#include "base/errors.h"
#include "base/version.h"
#include "entry/entry_pages.h"
#include "entry/flow_log.h"
#include "peering/codec.h"
#include "platform/readiness.h"
#include "yaml/fault.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <fmt/format.h>
#include <unistd.h>
#include <utility>

namespace medlarway
{

namespace
{

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNoContent = 204;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusUnavailable = 503;

// The routers ask twice a second and pass over a host after two misses: what they send after that is in flight.
constexpr std::chrono::milliseconds kRoutersNotice{1600};

// A stopping host to which nothing was sent for so long has been passed over by every router.
constexpr std::chrono::milliseconds kQuietBeforeEnd{400};

// What a stop leaves of its grace, for a process that gets little processor time.
constexpr std::chrono::milliseconds kGraceMargin{1000};

// How long after the platform's last word a host may still say for certain that a route does not exist: while a watch
// is held that has not been given up yet.
constexpr Duration kCertainty = StoreFeedOptions{}.wait + StoreFeedOptions{}.patience.answerTimeout;

// Flows on one page for operators.
constexpr std::size_t kMostFlowsShown = 1000;

SteeringOptions steeringOptions(const EntrySettings &settings)
{
    SteeringOptions options;
    options.zone = settings.zone;
    options.seed = combineHash(settings.packets.address, settings.packets.port);
    options.maxFlows = settings.flows;
    return options;
}

StoreFeedOptions feedOptions(const EntrySettings &settings)
{
    StoreFeedOptions options;
    options.address = settings.store;
    options.seed = combineHash(settings.packets.address, settings.store.address);
    return options;
}

} // namespace

EntryHost::EntryHost(std::string settingsFile, const EntrySettings &settings)
    : settingsFile_(std::move(settingsFile))
    , settings_(settings)
    , signals_(context_, SIGTERM, SIGINT, SIGHUP)
    , ticker_(context_)
    , steering_(steeringOptions(settings))
    , packets_(context_, settings.packets, [this](auto datagrams, auto &outgoing) { onBatch(datagrams, outgoing); })
    , feed_(context_, feedOptions(settings), feedSink())
    , prober_(context_)
    , peerHosts_(settings.control, combineHash(settings.control.address, settings.control.port))
    , peerSnapshots_(context_, settings.control, peerHosts_, snapshotPorts())
    , readyServer_(context_, settings.ready, [this](const std::string &target) { return answerReady(target); })
    , controlServer_(context_, settings.control, [this](const std::string &target) { return answerControl(target); })
{
}

void EntryHost::run()
{
    peerHosts_.setSeeds(settings_.seeds);
    feed_.start();
    peerSnapshots_.start();
    packets_.start();
    readyServer_.start();
    controlServer_.start();
    awaitSignal();
    onTick();
    logEvent(Event::Started, {field("version", kVersion), field("host", settings_.name), field("zone", settings_.zone.name),
                              field("packets", endpointToString(settings_.packets)), field("store", endpointToString(settings_.store))});
    context_.run();
    logEvent(Event::Stopped, {field("packets", packets_.counts().received), field("flows", steering_.flowCount())});
}

// Everything that a batch sends points into the socket's buffers and into resets_, which has room for one for each
// datagram so that it does not move.
void EntryHost::onBatch(std::span<std::span<std::uint8_t>> datagrams, std::vector<OutgoingPacket> &outgoing)
{
    notePause();
    const auto now = monotonicNow();
    lastPacket_ = now;
    updateCertainty();
    resets_.clear();
    resets_.reserve(datagrams.size());
    for (const auto datagram : datagrams) {
        onDatagram(datagram, outgoing, now);
    }
    oldPackets_ = oldPackets_ && datagrams.size() == PacketSocket::kBatch;
    takeNews();
}

// What this host knew before a pause may be old, and so are the connection to the store and the packets that wait.
void EntryHost::notePause()
{
    const auto pause = pauses_.noteRunning(timeSinceBoot());
    if (!pause) {
        return;
    }
    logEvent(Event::WokeLate, {field("milliseconds", std::chrono::duration_cast<std::chrono::milliseconds>(*pause).count())});
    wokeAt_ = monotonicNow();
    oldPackets_ = true;
    feed_.reconnect();
}

void EntryHost::onDatagram(std::span<std::uint8_t> datagram, std::vector<OutgoingPacket> &outgoing, Time now)
{
    const auto packet = decodePacket(datagram);
    if (!packet) {
        reportError(ErrorKind::DatagramTooLarge, fmt::format("not a client's packet, {} bytes", datagram.size()));
        return;
    }
    // The client has sent its opening again through another host by now. An upstream that took this one too would answer, and its token
    // would lead the open flow astray.
    if (oldPackets_ && packet->syn) {
        count(Counter::OpeningsDropped);
        logFlow(Event::FlowUnanswered, steering_, {packet->flow, "paused", kNoUpstream, feed_.heardAt()}, now);
        return;
    }
    const auto step = steering_.onPacket(*packet, now);
    logStep(steering_, packet->flow, step, feed_.heardAt(), now);
    if (step.action == SteeringAction::Forward) {
        const auto &upstream = steering_.directory().at(step.upstream);
        writeToken(datagram, upstream.token);
        outgoing.push_back({upstream.entry.address, recipientPrefix(upstream.entry), kRecipientBytes, datagram});
    } else if (step.action == SteeringAction::Reset) {
        resets_.push_back(resetFor(*packet));
        // Clients listen at the port number that this host has its own packets at.
        outgoing.push_back({Endpoint{packet->flow.client.address, settings_.packets.port}, {}, 0, resets_.back()});
    }
}

void EntryHost::onTick()
{
    notePause();
    const auto now = monotonicNow();
    updateCertainty();
    steering_.tick(now);
    takeNews();
    flushLog();
    if (stopping_ && mayEnd(now)) {
        context_.stop();
        return;
    }
    ticker_.expires_after(toSteady(kSteeringTick));
    ticker_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            onTick();
        }
    });
}

void EntryHost::updateCertainty()
{
    steering_.setFreshUntil(feed_.heardAt() <= wokeAt_ ? Time{} : feed_.heardAt() + kCertainty);
}

void EntryHost::takeNews()
{
    for (const auto &news : steering_.takeEvents()) {
        if (news.kind != LivenessEventKind::StillSuspected) {
            const auto &upstream = steering_.directory().at(news.upstream);
            logEvent(news.kind == LivenessEventKind::Suspected ? Event::UpstreamEjected : Event::UpstreamReadmitted,
                     {field("upstream", upstream.entry.id), field("zone", upstream.entry.zone.name), field("flows", upstream.flows),
                      field("running", upstream.running), field("stalled", upstream.liveness.stalledFlows),
                      field("entry-revision", upstream.entry.revision)});
        }
        if (news.kind != LivenessEventKind::Recovered) {
            probe(news.upstream);
        }
    }
}

// Flows that stall may also be slow work or this host's own pause. Only where no connection can be made is the
// upstream taken as gone.
void EntryHost::probe(UpstreamIndex index)
{
    const auto entry = steering_.directory().at(index).entry;
    prober_.probe(entry.address, [this, index, id = entry.id, born = entry.startMs](bool reachable) {
        const auto &upstream = steering_.directory().at(index);
        if (!reachable && upstream.entry.id == id && upstream.entry.startMs == born) {
            giveUp(index);
        }
    });
}

void EntryHost::giveUp(UpstreamIndex index)
{
    if (!steering_.directory().at(index).liveness.suspectedAt) {
        return; // a client showed an answer while the connections were tried
    }
    const auto flows = steering_.markUnreachable(index, monotonicNow());
    std::vector<PacketHeader> resets;
    resets.reserve(flows.size());
    std::vector<OutgoingPacket> outgoing;
    for (const auto &given : flows) {
        logFlow(Event::FlowReset, steering_, {given.flow, "upstream-unreachable", index, feed_.heardAt()}, monotonicNow());
        resets.push_back(resetOf(given.flow, given.acknowledged));
        outgoing.push_back({Endpoint{given.flow.client.address, settings_.packets.port}, {}, 0, resets.back()});
    }
    packets_.send(outgoing);
    const auto &upstream = steering_.directory().at(index);
    logEvent(Event::UpstreamUnreachable, {field("upstream", upstream.entry.id), field("zone", upstream.entry.zone.name),
                                          field("flows-reset", flows.size()), field("entry-revision", upstream.entry.revision)});
}

StoreFeedSink EntryHost::feedSink()
{
    StoreFeedSink sink;
    sink.config = [this](const RouteConfig &config) { takeConfig(config); };
    sink.upstream = [this](const UpstreamEntry &entry) { steering_.directory().apply(entry, monotonicNow()); };
    sink.gone = [this](const std::string &id, std::uint64_t revision) { takeGone(id, revision); };
    sink.whole = [this](const std::vector<std::string> &ids, std::uint64_t revision) {
        const auto removed = steering_.directory().removeUnlisted(ids, revision, monotonicNow());
        upstreamsRead_ = true;
        logEvent(Event::CatalogueAccepted, {field("upstreams", ids.size()), field("removed", removed), field("revision", revision)});
    };
    return sink;
}

void EntryHost::takeConfig(const RouteConfig &config)
{
    const auto before = steering_.routes().version();
    if (steering_.applyConfig(config)) {
        logEvent(Event::CatalogueAccepted,
                 {field("version", config.version), field("before", before), field("routes", config.routes.size())});
    } else if (config.version < before) {
        logEvent(Event::CatalogueStale, {field("version", config.version), field("in-force", before)});
    }
}

void EntryHost::takeGone(const std::string &id, std::uint64_t revision)
{
    if (steering_.directory().remove(id, revision, monotonicNow())) {
        logEvent(Event::UpstreamGone, {field("upstream", id), field("revision", revision)});
    }
}

bool EntryHost::ready() const
{
    return !stopping_ && upstreamsRead_ && steering_.routes().version() > 0;
}

EntryStatus EntryHost::status() const
{
    EntryStatus status;
    status.name = settings_.name;
    status.zone = settings_.zone.name;
    status.ready = ready();
    status.stopping = stopping_;
    status.storeAnswers = feed_.answered();
    status.storeHeardAt = feed_.heardAt();
    status.storeRevision = feed_.asOf();
    status.knownRevision = knownRevision();
    status.peers = peerHosts_.recent(monotonicNow());
    return status;
}

OperatorAnswer EntryHost::answerReady(const std::string &target) const
{
    if (target != kReadyPath) {
        return {kStatusNotFound, "application/json", "{}"};
    }
    return ready() ? OperatorAnswer{kStatusOk, "application/json", R"({"ready":true})"}
                   : OperatorAnswer{kStatusUnavailable, "application/json", R"({"ready":false})"};
}

OperatorAnswer EntryHost::answerControl(const std::string &target)
{
    if (const auto request = parseSnapshotTarget(target)) {
        return answerSnapshot(*request);
    }
    if (target == "/metrics" || target == "/counters") {
        return {kStatusOk, "text/plain; version=0.0.4; charset=utf-8", entryMetrics(steering_, packets_.counts())};
    }
    if (target == "/state") {
        return {kStatusOk, "application/json", entryState(steering_, status(), monotonicNow())};
    }
    if (target == "/flows") {
        return {kStatusOk, "application/json", entryFlows(steering_, kMostFlowsShown, monotonicNow())};
    }
    return {kStatusNotFound, "text/plain; charset=utf-8", "there are /state, /flows, /metrics (also /counters) and /snapshot\n"};
}

PeerSnapshots::Ports EntryHost::snapshotPorts()
{
    PeerSnapshots::Ports ports;
    ports.wanted = [this] { return !feed_.answered(); };
    ports.asOf = [this] { return knownRevision(); };
    ports.take = [this](const SteeringSnapshot &snapshot, const Endpoint &from) { takePeerSnapshot(snapshot, from); };
    return ports;
}

std::uint64_t EntryHost::knownRevision() const
{
    return std::max(feed_.asOf(), snapshotRevision_);
}

void EntryHost::takePeerSnapshot(const SteeringSnapshot &snapshot, const Endpoint &from)
{
    const bool changed = applySnapshot(steering_, snapshot, monotonicNow());
    snapshotRevision_ = std::max(snapshotRevision_, snapshot.asOf);
    upstreamsRead_ = true;
    feed_.adopt(snapshot.asOf);
    if (changed) {
        logEvent(Event::PeerSnapshotTaken, {field("peer", endpointToString(from)), field("revision", snapshot.asOf),
                                            field("version", snapshot.config.version), field("upstreams", snapshot.upstreams.size())});
    }
}

// A host that knows nothing newer says so in a few bytes. What a peer's snapshot gave is passed on, as a whole zone may
// be cut off from the platform but for one host's neighbours.
OperatorAnswer EntryHost::answerSnapshot(const SnapshotRequest &request)
{
    if (request.from) {
        peerHosts_.heardOf(*request.from, monotonicNow());
    }
    if (!upstreamsRead_ || steering_.routes().version() == 0 || knownRevision() <= request.after) {
        return {kStatusNoContent, "application/cbor", ""};
    }
    auto snapshot = takeSnapshot(steering_, knownRevision());
    snapshot.hosts = peerHosts_.recent(monotonicNow());
    return {kStatusOk, "application/cbor", encodeMessage(snapshot)};
}

void EntryHost::awaitSignal()
{
    signals_.async_wait([this](const boost::system::error_code &error, int signal) {
        if (!error) {
            onSignal(signal);
            awaitSignal();
        }
    });
}

void EntryHost::onSignal(int signal)
{
    if (signal == SIGHUP) {
        reloadSettings();
    } else {
        beginStop(signal);
    }
}

void EntryHost::reloadSettings()
{
    try {
        const auto wanted = loadEntrySettings(settingsFile_);
        const auto restart = changesThatNeedRestart(settings_, wanted);
        settings_.logLevel = wanted.logLevel;
        settings_.grace = wanted.grace;
        settings_.seeds = wanted.seeds;
        peerHosts_.setSeeds(settings_.seeds);
        setLogLevel(settings_.logLevel);
        logEvent(Event::SettingsReloaded,
                 {field("needs-restart", restart.empty() ? "nothing" : fmt::format("{}", fmt::join(restart, ",")))});
    } catch (const Error &error) {
        reportError(error.kind(), faultsOnOneLine(error.what()));
    }
}

// Readiness ends first; packets are forwarded until the routers have moved on.
void EntryHost::beginStop(int signal)
{
    if (std::exchange(stopping_, true)) {
        return;
    }
    stopAsked_ = monotonicNow();
    logEvent(Event::StopRequested, {field("signal", signal), field("flows", steering_.flowCount())});
}

bool EntryHost::mayEnd(Time now) const
{
    const auto since = now - stopAsked_;
    return since >= settings_.grace - kGraceMargin || (since >= kRoutersNotice && now - lastPacket_ >= kQuietBeforeEnd);
}

int runEntryHost(const std::string &settingsFile)
{
    setLogDescriptor(STDOUT_FILENO);
    try {
        const auto settings = loadEntrySettings(settingsFile);
        setLogLevel(settings.logLevel);
        EntryHost host(settingsFile, settings);
        host.run();
        return 0;
    } catch (const Error &error) {
        reportError(error.kind(), faultsOnOneLine(error.what()));
        return error.kind() == ErrorKind::BadSettings ? 2 : 1;
    } catch (const std::exception &exception) {
        logEvent(Event::FatalError, {field("detail", exception.what())});
        return 1;
    }
}

} // namespace medlarway
