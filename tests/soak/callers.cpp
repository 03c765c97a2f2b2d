#include "soak/callers.h"

#include "base/hash.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarway::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr int kFirstCallerAddress = 201;
constexpr std::uint64_t kMaxRequestsPerFlow = 60;
constexpr std::uint64_t kMaxPauseMs = 120; // between two requests of a flow

} // namespace

/// A caller's view of its flow.
struct SoakCallers::Flow {
    int caller = 0;
    std::uint64_t number = 0;
    StandinRoute route;
    HostSelector hostOf;
    std::string upstream; ///< id of the upstream that sent the first response; empty before
};

SoakCallers::SoakCallers(const SoakOptions &options, SoakPlatform &platform, SoakFleet &fleet, InvariantChecker &checker)
    : options_(options)
    , platform_(platform)
    , fleet_(fleet)
    , checker_(checker)
{
    for (int caller = 0; caller < options_.callers; ++caller) {
        threads_.emplace_back([this, caller] { run(caller); });
    }
}

SoakCallers::~SoakCallers()
{
    stop();
}

void SoakCallers::stop()
{
    stopping_ = true;
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

void SoakCallers::run(int caller)
{
    Random random(combineHash(options_.seed, static_cast<std::uint64_t>(caller)));
    const auto zone = zoneOf(caller, options_.zones);
    StandinPacketClient client({parseAddress(loopbackAddress(kFirstCallerAddress + caller)).value(), kPacketPort});
    for (std::uint64_t number = 0; !stopping_; ++number) {
        const auto routes = platform_.routes();
        Flow flow{caller, number, routes[random.below(routes.size())], {}, {}};
        flow.hostOf = [this, zone, caller](std::uint16_t port) {
            return fleet_.hostOf(zone, combineHash(static_cast<std::uint64_t>(caller), port));
        };
        if (client.open(flow.hostOf, flow.route.address) == ClientEvent::Opened) {
            runFlow(client, flow, random);
        }
    }
}

// A flow ends early if its upstream drains, as a draining upstream closes its flows.
void SoakCallers::runFlow(StandinPacketClient &client, Flow &flow, Random &random)
{
    const auto requests = random.below(3) == 0 ? 1 + random.below(kMaxRequestsPerFlow) : 1;
    for (std::uint64_t number = 0; number < requests && !stopping_; ++number) {
        if (!sendRequest(client, flow, static_cast<int>(number)) || platform_.isDraining(flow.upstream)) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{random.below(kMaxPauseMs)});
    }
}

bool SoakCallers::sendRequest(StandinPacketClient &client, Flow &flow, int number)
{
    const auto request = fmt::format("caller {} flow {} request {}", flow.caller, flow.number, number);
    const bool stable = checker_.allStable();
    switch (client.exchange(flow.hostOf, request)) {
    case ClientEvent::Data:
        ++responses;
        checkResponse(flow, request, client.received());
        flow.upstream = client.received().substr(0, client.received().find('/'));
        return true;
    case ClientEvent::Reset:
        ++resets;
        checkReset(flow, client.lastSender());
        return false;
    case ClientEvent::Nothing:
    case ClientEvent::Opened:
        ++unanswered;
        checkTimeout(flow, stable);
        return false;
    }
    return false;
}

void SoakCallers::checkResponse(const Flow &flow, const std::string &request, const std::string &received)
{
    const auto id = received.substr(0, received.find('/'));
    if (received != fmt::format("{}/{}: {}", id, flow.route.service, request)) {
        checker_.reportViolation(fmt::format("wrong response: to '{}' of {}: '{}'", request, flow.route.service, received));
    }
    if (!flow.upstream.empty() && flow.upstream != id) {
        checker_.reportViolation(fmt::format("moved: {} was served by {} and then by {}", request, flow.upstream, id));
    }
}

bool SoakCallers::routed(const Flow &flow) const
{
    const auto routes = platform_.routes();
    return std::find(routes.begin(), routes.end(), flow.route) != routes.end();
}

// The upstream of a flow without a response is unknown, so a reset of such a flow is not checked.
void SoakCallers::checkReset(const Flow &flow, std::uint32_t sender)
{
    const int host = static_cast<int>(sender - parseAddress(loopbackAddress(1)).value());
    if (!flow.upstream.empty() && platform_.isRunning(flow.upstream) && routed(flow) && checker_.isStable(upstreamSubject(flow.upstream))
        && checker_.isStable(livenessSubject(host)) && checker_.isStable(kLinksSubject)) {
        checker_.reportViolation(fmt::format("reset: host {} reset flow {} of caller {}, whose upstream {} is running", host, flow.number,
                                             flow.caller, flow.upstream));
    }
}

// Planned work must not leave a request without a response; failures may. The client gives up after 2 s.
void SoakCallers::checkTimeout(const Flow &flow, bool allStableBefore)
{
    constexpr Duration kRequestTimeout = 2s;
    bool hostsLive = true;
    for (int host = 0; host < options_.hosts; ++host) {
        hostsLive = hostsLive && checker_.isStable(livenessSubject(host), kRequestTimeout);
    }
    const bool upstreamServes = !flow.upstream.empty() && platform_.isRunning(flow.upstream)
                                && checker_.isStable(upstreamSubject(flow.upstream), kRequestTimeout);
    if (allStableBefore || (hostsLive && upstreamServes && routed(flow) && checker_.isStable(kLinksSubject, kRequestTimeout))) {
        checker_.reportViolation(fmt::format("no response: flow {} of caller {} to {}, upstream {}", flow.number, flow.caller,
                                             endpointToString(flow.route.address), flow.upstream));
    }
}

} // namespace medlarway::soak
