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
constexpr std::uint64_t kLongestFlow = 60; // requests
constexpr std::uint64_t kLongestPause = 120; // milliseconds between two requests

} // namespace

/// One flow as its caller knows it.
struct SoakCallers::Flow {
    int caller = 0;
    std::uint64_t number = 0;
    StandinRoute route;
    HostSelector hostOf;
    std::string upstream; ///< who answered first; empty before
};

SoakCallers::SoakCallers(const SoakOptions &options, SoakPlatform &platform, SoakFleet &fleet, Judge &judge)
    : options_(options)
    , platform_(platform)
    , fleet_(fleet)
    , judge_(judge)
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
            talk(client, flow, random);
        }
    }
}

// A long flow ends before its time where its upstream drains, as upstreams close flows then.
void SoakCallers::talk(StandinPacketClient &client, Flow &flow, Random &random)
{
    const auto requests = random.below(3) == 0 ? 1 + random.below(kLongestFlow) : 1;
    for (std::uint64_t number = 0; number < requests && !stopping_; ++number) {
        if (!ask(client, flow, static_cast<int>(number)) || platform_.drains(flow.upstream)) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{random.below(kLongestPause)});
    }
}

bool SoakCallers::ask(StandinPacketClient &client, Flow &flow, int number)
{
    const auto request = fmt::format("caller {} flow {} request {}", flow.caller, flow.number, number);
    const bool calm = judge_.allCalm();
    switch (client.exchange(flow.hostOf, request)) {
    case ClientEvent::Data:
        ++answers;
        judgeAnswer(flow, request, client.received());
        flow.upstream = client.received().substr(0, client.received().find('/'));
        return true;
    case ClientEvent::Reset:
        ++resets;
        judgeReset(flow, client.lastSender());
        return false;
    case ClientEvent::Nothing:
    case ClientEvent::Opened:
        ++unanswered;
        judgeSilence(flow, calm);
        return false;
    }
    return false;
}

void SoakCallers::judgeAnswer(const Flow &flow, const std::string &request, const std::string &received)
{
    const auto id = received.substr(0, received.find('/'));
    if (received != fmt::format("{}/{}: {}", id, flow.route.service, request)) {
        judge_.blame(fmt::format("wrong answer: to '{}' of {} came '{}'", request, flow.route.service, received));
    }
    if (!flow.upstream.empty() && flow.upstream != id) {
        judge_.blame(fmt::format("moved: {} was answered by {} and then by {}", request, flow.upstream, id));
    }
}

bool SoakCallers::routed(const Flow &flow) const
{
    const auto routes = platform_.routes();
    return std::find(routes.begin(), routes.end(), flow.route) != routes.end();
}

// A flow whose upstream is not known yet had its first request cut: nothing can be said of it.
void SoakCallers::judgeReset(const Flow &flow, std::uint32_t sender)
{
    const int host = static_cast<int>(sender - parseAddress(loopbackAddress(1)).value());
    if (!flow.upstream.empty() && platform_.serves(flow.upstream) && routed(flow) && judge_.isCalm(upstreamSubject(flow.upstream))
        && judge_.isCalm(lifeSubject(host)) && judge_.isCalm(kLinksSubject)) {
        judge_.blame(fmt::format("reset: host {} reset flow {} of caller {}, whose upstream {} serves", host, flow.number, flow.caller,
                                 flow.upstream));
    }
}

// Planned work leaves no flow without an answer; failures may. Two seconds without one are a flow that hangs.
void SoakCallers::judgeSilence(const Flow &flow, bool calmBefore)
{
    constexpr Duration kHung = 2s;
    bool hostsLive = true;
    for (int host = 0; host < options_.hosts; ++host) {
        hostsLive = hostsLive && judge_.isCalm(lifeSubject(host), kHung);
    }
    const bool upstreamServes
        = !flow.upstream.empty() && platform_.serves(flow.upstream) && judge_.isCalm(upstreamSubject(flow.upstream), kHung);
    if (calmBefore || (hostsLive && upstreamServes && routed(flow) && judge_.isCalm(kLinksSubject, kHung))) {
        judge_.blame(fmt::format("hangs: flow {} of caller {} to {}, upstream {}", flow.number, flow.caller,
                                 endpointToString(flow.route.address), flow.upstream));
    }
}

} // namespace medlarway::soak
