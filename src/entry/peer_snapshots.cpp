#include "entry/peer_snapshots.h"

#include "base/errors.h"
#include "pages/query.h"
#include "peering/codec.h"
#include "yaml/scalars.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

constexpr unsigned kStatusOk = 200;

// Between two hosts that are asked. A host that has just started and can't read the platform serves within a second.
constexpr std::chrono::milliseconds kAskInterval{250};

// For one host's answer; hosts are a few milliseconds apart.
constexpr std::chrono::milliseconds kAnswerTimeout{300};

// 9,100 upstreams take 0.8 MB.
constexpr std::size_t kLongestSnapshot = 4U << 20U;

} // namespace

std::optional<SnapshotRequest> parseSnapshotTarget(const std::string &target)
{
    const auto parsed = parseTarget(target);
    if (!parsed || parsed->path != kSnapshotPath) {
        return std::nullopt;
    }
    auto query = parsed->query;
    const auto after = parseNumber(query["after"]);
    if (!after) {
        return std::nullopt;
    }
    return SnapshotRequest{*after, parseEndpoint(query["from"])};
}

std::string snapshotTarget(const SnapshotRequest &request)
{
    return fmt::format("{}?after={}&from={}", kSnapshotPath, request.after,
                       request.from ? encodeQueryValue(endpointToString(*request.from)) : "");
}

PeerSnapshots::PeerSnapshots(boost::asio::io_context &context, const Endpoint &self, PeerHosts &hosts, Ports ports)
    : context_(context)
    , self_(self)
    , hosts_(hosts)
    , ports_(std::move(ports))
    , timer_(context)
{
}

void PeerSnapshots::start()
{
    boost::asio::co_spawn(context_, run(), boost::asio::detached);
}

boost::asio::awaitable<void> PeerSnapshots::run()
{
    for (;;) {
        timer_.expires_after(kAskInterval);
        const auto [error] = co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        if (error) {
            co_return;
        }
        if (!ports_.wanted()) {
            continue;
        }
        if (const auto host = hosts_.next(monotonicNow())) {
            co_await ask(*host);
        }
    }
}

// Nothing newer is an empty answer of another status.
boost::asio::awaitable<void> PeerSnapshots::ask(Endpoint host)
{
    HttpReader reader(context_, host);
    const auto reply = co_await reader.get(snapshotTarget({ports_.asOf(), self_}), kAnswerTimeout, kAnswerTimeout);
    reader.close();
    if (!reply) {
        co_return;
    }
    hosts_.heardOf(host, monotonicNow());
    if (reply->status != kStatusOk) {
        co_return;
    }
    try {
        const auto snapshot = decodeMessage<SteeringSnapshot>(reply->body, kLongestSnapshot);
        hosts_.named(snapshot.hosts, monotonicNow());
        ports_.take(snapshot, host);
    } catch (const Error &error) {
        reportError(error.kind(), fmt::format("snapshot of {}: {}", endpointToString(host), error.what()));
    }
}

} // namespace medlarway
