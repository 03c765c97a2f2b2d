// The only host of a zone is stopped as planned while routes are added. The host of the other zone, which does not know a route yet, resets
// the open flows on it whose clients repeat their first packet.
#include "client.h"
#include "hosts.h"
#include "scenario.h"
#include "store.h"
#include "upstream.h"

#include <algorithm>
#include <csignal>

using namespace lab;

namespace
{

constexpr std::size_t kUpstreams = 4;
constexpr std::size_t kNear = 0; ///< the host of the clients' zone
constexpr std::size_t kFar = 1; ///< the host of the nearest other zone
constexpr int kMostStops = 6;
constexpr Milliseconds kShift{70}; ///< so that the stops come at other moments between two routes
constexpr Milliseconds kStormTime{2000};
constexpr Milliseconds kStormGap{80};
constexpr Milliseconds kOpeningInterval{5};
constexpr std::size_t kOldestUsed = 4; ///< routes back from the newest one that clients use
constexpr Milliseconds kWork{231}; ///< seven times the mean of 33 ms
constexpr Milliseconds kDeadline{2000};
constexpr long long kBorn = 1'760'000'000'000;
constexpr std::uint32_t kFirstRoute = 0xc6120001;

class RouteCase
{
public:
    explicit RouteCase(const Scenario &scenario)
        : scenario_(scenario)
        , record_(scenario.recordFile)
        , store_(loop_)
        , hosts_(loop_, scenario.program, scenario.folder)
        , client_(
              loop_, {loopback(0x0201), hosts_.packetPort()}, [this](const Address &, const Address &) { return choose(); },
              {[this](const Client::Request &request) { onFinished(request); }, [this](const Client::ResetSeen &seen) { onReset(seen); }})
    {
    }

    int run()
    {
        startAll();
        hosts_.startProbes();
        for (int stop = 0; stop < kMostStops && foreignResets_ == 0; ++stop) {
            loop_.runFor(stop * kShift);
            storm();
            if (scenario_.trouble) {
                restartNearHost();
            } else {
                loop_.runFor(Milliseconds{5000});
            }
            loop_.runFor(Milliseconds{2500});
        }
        record_.line("flows opened at endpoints: " + std::to_string(openAt_.size()) + ", requests answered: " + std::to_string(answered_)
                     + ", resets of open flows by others than their endpoints: " + std::to_string(foreignResets_));
        if (answered_ < 100) {
            return kNotRun;
        }
        return foreignResets_ > 0 ? kBroken : kHeld;
    }

private:
    void startAll()
    {
        for (std::size_t i = 0; i < kUpstreams; ++i) {
            const std::uint32_t ip = loopback(0x0101) + static_cast<std::uint32_t>(i);
            Upstream::Options options;
            options.id = "i-b" + std::to_string(i + 1);
            options.address = {ip, findFreePort({ip})};
            options.clientPort = hosts_.packetPort();
            options.work = kWork;
            Upstream::Observer observer;
            observer.opened = [this](const Upstream &upstream, const Packet &packet) { openAt_[packet.source] = &upstream; };
            observer.tookSyn = observer.runs = observer.sentReset = observer.gotForged = [](const Upstream &, const Packet &) {};
            upstreams_.push_back(std::make_unique<Upstream>(loop_, options, observer));
            store_.put("servers/" + options.id, entryOf(*upstreams_.back(), "records", i % 2 == 0 ? "near" : "far", "ready", kBorn));
        }
        addRoute();
        hosts_.add("near", store_.addLink());
        hosts_.add("far", store_.addLink());
        for (const auto host : {kNear, kFar}) {
            hosts_.start(host);
        }
        for (const auto host : {kNear, kFar}) {
            if (!hosts_.awaitReady(host, Milliseconds{10000})) {
                giveUp("host " + std::to_string(host + 1) + " does not become ready");
            }
        }
        loop_.runFor(Milliseconds{3000});
    }

    // The routers use the nodes of the clients' zone, and without any in rotation those of the nearest one.
    std::optional<Address> choose()
    {
        const auto rotation = hosts_.rotation();
        return rotation.empty() ? std::nullopt : std::optional(hosts_.packets(rotation.front()));
    }

    void addRoute()
    {
        routes_.push_back({{kFirstRoute + static_cast<std::uint32_t>(routes_.size()), 443}, "records"});
        store_.put("op/config", configOf(static_cast<int>(2 * routes_.size()), routes_));
        addedAt_[routes_.back().address] = Clock::now();
    }

    // A route each kStormGap; clients use the newest one at once.
    void storm()
    {
        const auto end = Clock::now() + kStormTime;
        changeUntil(end);
        openUntil(end);
    }

    void changeUntil(Time end)
    {
        if (Clock::now() < end) {
            addRoute();
            loop_.after(kStormGap, [this, end] { changeUntil(end); });
        }
    }

    void openUntil(Time end)
    {
        if (Clock::now() < end) {
            const auto back = 1 + sent_ % std::min(kOldestUsed, routes_.size());
            client_.open(routes_[routes_.size() - back].address, std::to_string(++sent_), kDeadline);
            loop_.after(kOpeningInterval, [this, end] { openUntil(end); });
        }
    }

    void restartNearHost()
    {
        record_.line("host 1, the only one of the clients' zone, gets SIGTERM while a route is added each "
                     + std::to_string(kStormGap.count()) + " ms");
        hosts_.signal(kNear, SIGTERM);
        if (!loop_.runUntil([this] { return hosts_.ending(kNear).has_value(); }, Milliseconds{7000})) {
            giveUp("host 1 does not stop");
        }
        loop_.runFor(Milliseconds{300});
        hosts_.start(kNear);
        record_.line("host 1 has stopped, and starts again");
        if (!hosts_.awaitReady(kNear, Milliseconds{10000})) {
            giveUp("host 1 does not become ready again");
        }
    }

    void onFinished(const Client::Request &request)
    {
        answered_ += request.outcome == Client::Outcome::Answered ? 1 : 0;
        client_.close(request.client);
    }

    // FLOW: a reset of an open flow that its endpoint, which lives and holds it, did not send.
    void onReset(const Client::ResetSeen &seen)
    {
        const auto opened = openAt_.find(seen.client);
        if (!seen.open || opened == openAt_.end() || !opened->second->holds(seen.client)
            || opened->second->options().address == seen.sender) {
            return;
        }
        ++foreignResets_;
        const auto &request = client_.requests().at(seen.client);
        const auto sinceAdded = std::chrono::duration_cast<Milliseconds>(Clock::now() - addedAt_.at(request.route)).count();
        record_.line("flow " + toText(seen.client) + " to " + toText(request.route) + " is open at " + opened->second->options().id
                     + ", which works on its request, and its client got a reset from "
                     + (seen.sender == hosts_.packets(kFar) ? "host 2" : toText(seen.sender)) + ", " + std::to_string(sinceAdded)
                     + " ms after the route was added");
    }

    Scenario scenario_;
    Loop loop_;
    Record record_;
    Store store_;
    Hosts hosts_;
    Client client_;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::vector<Route> routes_;
    std::map<Address, Time> addedAt_;
    std::map<Address, const Upstream *> openAt_; ///< by the client's end of the flow
    std::size_t sent_ = 0;
    std::size_t answered_ = 0;
    std::size_t foreignResets_ = 0;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    return runScenario(argumentCount, arguments, [](const Scenario &scenario) { return RouteCase(scenario).run(); });
}
