#include "entry/peer_snapshots.h"

#include "base/contained.h"
#include "base/errors.h"
#include "entry/revision_text.h"
#include "pages/http_status.h"
#include "pages/query.h"
#include "peering/codec.h"
#include "yaml/scalars.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

// Interval between requests. Lets a host that starts while it can't read the platform become ready within a second.
constexpr std::chrono::milliseconds kRequestInterval{250};

// Time limit for a host's response; hosts are a few milliseconds apart.
constexpr std::chrono::milliseconds kResponseTimeout{300};

// A snapshot with 9,100 upstreams takes 0.8 MB.
constexpr std::size_t kMaxSnapshotBytes = 4U << 20U;

} // namespace

std::optional<SnapshotRequest> parseSnapshotTarget(const std::string &target)
{
    const auto parsed = parseTarget(target);
    if (!parsed || parsed->path != kSnapshotPath) {
        return std::nullopt;
    }
    auto query = parsed->query;
    const auto after = parseRevision(query["after"]);
    if (!after) {
        return std::nullopt;
    }
    return SnapshotRequest{*after, parseEndpoint(query["from"])};
}

std::string snapshotTarget(const SnapshotRequest &request)
{
    return fmt::format("{}?after={}&from={}", kSnapshotPath, revisionToString(request.after),
                       request.from ? encodeQueryValue(endpointToString(*request.from)) : "");
}

// A host that does not read the platform is supplied by the hosts that it follows. When 300 hosts started at once, those that waited for
// the first of their zone fetched 29 MB of snapshots from seeds, most of them of other zones.
bool needsSnapshots(const PlatformAccess &access, Duration maxAge)
{
    return access.reason != ReadReason::None && !access.reachable && access.confirmedAgo > maxAge;
}

PeerSnapshotPoller::PeerSnapshotPoller(boost::asio::io_context &context, const Endpoint &self, PeerHosts &hosts, Callbacks callbacks)
    : context_(context)
    , self_(self)
    , hosts_(hosts)
    , callbacks_(std::move(callbacks))
    , timer_(context)
{
}

void PeerSnapshotPoller::start()
{
    spawnDuty(context_, "requesting snapshots", [this] { return run(); });
}

boost::asio::awaitable<void> PeerSnapshotPoller::run()
{
    for (;;) {
        timer_.expires_after(kRequestInterval);
        const auto [error] = co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        if (error) {
            co_return;
        }
        if (!callbacks_.needed()) {
            continue;
        }
        if (const auto host = hosts_.next(monotonicNow())) {
            co_await fetchFrom(*host);
        }
    }
}

// A host without newer data responds with an empty body and a status other than 200.
boost::asio::awaitable<void> PeerSnapshotPoller::fetchFrom(Endpoint host)
{
    HttpClient reader(context_, host);
    const auto response = co_await reader.get(snapshotTarget({callbacks_.knownRevision(), self_}), kResponseTimeout, kResponseTimeout);
    reader.close();
    if (!response) {
        co_return;
    }
    hosts_.recordContact(host, monotonicNow());
    if (response->status != kStatusOk) {
        co_return;
    }
    try {
        const auto snapshot = decodeMessage<SteeringSnapshot>(response->body, kMaxSnapshotBytes);
        hosts_.addReported(snapshot.hosts, monotonicNow());
        callbacks_.apply(snapshot, host);
    } catch (const Error &error) {
        reportError(error.kind(), fmt::format("snapshot from {}: {}", endpointToString(host), error.what()));
    }
}

} // namespace medlarway
