// The part of EntryHost that serves pages to routers, operators and other hosts.
#include "entry/entry_host.h"

#include "entry/placement_page.h"
#include "pages/http_status.h"
#include "peering/codec.h"
#include "platform/readiness.h"

namespace medlarway
{

namespace
{

// Limit of the flows shown on the /flows page.
constexpr std::size_t kMaxFlowsShown = 1000;

} // namespace

EntryStatus EntryHost::status() const
{
    EntryStatus status;
    status.name = settings_.name;
    status.zone = settings_.zone.name;
    status.ready = ready();
    status.stopping = stopping_;
    status.storeReachable = feed_.reachable();
    status.lastStoreResponse = feed_.lastResponseAt();
    status.storeRevision = feed_.asOf();
    status.knownRevision = data_.upTo();
    status.confirmedAt = peerFeed_.follower().confirmedAt();
    status.source = peerFeed_.follower().source();
    status.self = hostIdOf(settings_.peers);
    status.readReason = readReasonName(peerFeed_.follower().readReason(monotonicNow()));
    status.zoneHosts = peerFeed_.follower().knownZoneHosts();
    status.heldRequests = peerFeed_.heldRequests();
    status.peers = peerHosts_.recent(monotonicNow());
    return status;
}

PageResponse EntryHost::serveReady(const std::string &target) const
{
    if (target != kReadyPath) {
        return {kStatusNotFound, "application/json", "{}"};
    }
    return ready() ? PageResponse{kStatusOk, "application/json", R"({"ready":true})"}
                   : PageResponse{kStatusUnavailable, "application/json", R"({"ready":false})"};
}

PageResponse EntryHost::serveControl(const std::string &target)
{
    if (const auto request = parseSnapshotTarget(target)) {
        return serveSnapshot(*request);
    }
    if (auto page = peerFeed_.serve(target)) {
        return *page;
    }
    if (target == "/metrics" || target == "/counters") {
        return {kStatusOk, "text/plain; version=0.0.4; charset=utf-8", entryMetrics(steering_, packets_.counts())};
    }
    if (target == "/state") {
        return {kStatusOk, "application/json", entryState(steering_, status(), monotonicNow())};
    }
    if (target == "/flows") {
        return {kStatusOk, "application/json", entryFlows(steering_, kMaxFlowsShown, monotonicNow())};
    }
    if (target.starts_with(kPlacementPath)) {
        return placementPage(steering_, status(), target, monotonicNow());
    }
    return {kStatusNotFound, "text/plain; charset=utf-8",
            "there are /state, /flows, /placement, /metrics (also /counters) and /snapshot\n"};
}

// Without newer data the response is empty. Data received from a peer is passed on, as a whole zone may be cut off from the platform and
// get it only through the peers of one host.
PageResponse EntryHost::serveSnapshot(const SnapshotRequest &request)
{
    if (request.from) {
        peerHosts_.recordContact(*request.from, monotonicNow());
    }
    if (!data_.isComplete() || data_.upTo() <= request.after) {
        return {kStatusNoContent, "application/cbor", ""};
    }
    auto snapshot = takeSnapshot(steering_, data_.upTo(), monotonicNow());
    snapshot.hosts = peerHosts_.recent(monotonicNow());
    auto body = encodeMessage(snapshot);
    count(Counter::SnapshotsServed);
    count(Counter::SnapshotBytesServed, body.size());
    return {kStatusOk, "application/cbor", std::move(body)};
}

} // namespace medlarway
