// Two endpoints whose ids have the same 32-bit token: a host that has just started takes the packets of the open flows of one of them to
// the other one, which resets them.
#include "client.h"
#include "hosts.h"
#include "scenario.h"
#include "store.h"
#include "upstream.h"

#include <csignal>

using namespace lab;

namespace
{

constexpr std::size_t kHosts = 2;
constexpr std::size_t kFlows = 60;
constexpr std::size_t kMostRestarts = 14;
constexpr Milliseconds kThink{300}; // between a response and the next request on a flow
constexpr Milliseconds kDeadline{2000};
constexpr long long kBorn = 1'760'000'000'000;
const Address kRoute{0xc6120001, 443};
const std::vector<std::string> kIds{"i-addd6a906b", "i-1f2e3d4c5b", "i-6a7b8c9d0e"};
const std::string kAddedId = "i-097f57989a"; // its token is that of the first one

class TokenCase
{
public:
    explicit TokenCase(const Scenario &scenario)
        : scenario_(scenario)
        , record_(scenario.recordFile)
        , store_(loop_)
        , hosts_(loop_, scenario.program, scenario.folder)
        , client_(
              loop_, {loopback(0x0201), hosts_.packetPort()}, [this](const Address &client, const Address &) { return choose(client); },
              {[this](const Client::Request &request) { onFinished(request); }, [this](const Client::ResetSeen &seen) { onReset(seen); }})
    {
    }

    int run()
    {
        startAll();
        hosts_.startProbes();
        for (std::size_t flow = 0; flow < kFlows; ++flow) {
            client_.open(kRoute, std::to_string(++sent_), kDeadline);
            loop_.runFor(Milliseconds{20});
        }
        loop_.runFor(Milliseconds{3000});
        register_(*addUpstream(kAddedId));
        record_.line("endpoint " + kAddedId + " registers; no flow is opened from now on");
        loop_.runFor(Milliseconds{5000});
        const auto answeredBefore = answered_;
        for (std::size_t restart = 0; restart < kMostRestarts && foreignResets_ == 0; ++restart) {
            if (scenario_.trouble) {
                restartHost(restart % kHosts);
            }
            loop_.runFor(Milliseconds{3000});
        }
        for (const auto &[client, upstream] : openAt_) {
            ++flowsOf_[upstream];
        }
        for (const auto &[upstream, flows] : flowsOf_) {
            record_.line("flows opened at " + upstream + ": " + std::to_string(flows));
        }
        record_.line("requests answered: " + std::to_string(answered_)
                     + ", resets of open flows by others than their endpoints: " + std::to_string(foreignResets_));
        if (answeredBefore < kFlows || flowsOf_[kIds.front()] == 0) {
            return kNotRun;
        }
        return foreignResets_ > 0 ? kBroken : kHeld;
    }

private:
    void startAll()
    {
        store_.put("op/config", configOf(1, {{kRoute, "records"}}));
        for (const auto &id : kIds) {
            register_(*addUpstream(id));
        }
        for (std::size_t host = 0; host < kHosts; ++host) {
            hosts_.add("a", store_.addLink());
        }
        for (std::size_t host = 0; host < kHosts; ++host) {
            hosts_.start(host);
        }
        for (std::size_t host = 0; host < kHosts; ++host) {
            if (!hosts_.awaitReady(host, Milliseconds{10000})) {
                giveUp("host " + std::to_string(host + 1) + " does not become ready");
            }
        }
        loop_.runFor(Milliseconds{3000});
    }

    Upstream *addUpstream(const std::string &id)
    {
        const std::uint32_t ip = loopback(0x0101) + static_cast<std::uint32_t>(upstreams_.size());
        Upstream::Options options;
        options.id = id;
        options.address = {ip, findFreePort({ip})};
        options.clientPort = hosts_.packetPort();
        Upstream::Observer observer;
        observer.opened = [this](const Upstream &upstream, const Packet &packet) { openAt_[packet.source] = upstream.options().id; };
        observer.tookSyn = observer.runs = observer.sentReset = observer.gotForged = [](const Upstream &, const Packet &) {};
        upstreams_.push_back(std::make_unique<Upstream>(loop_, options, observer));
        return upstreams_.back().get();
    }

    void register_(const Upstream &upstream)
    {
        store_.put("servers/" + upstream.options().id, entryOf(upstream, "records", "a", "ready", kBorn));
    }

    // The routers hash steadily: only the flows of a host that leaves or joins move.
    std::optional<Address> choose(const Address &client)
    {
        const auto rotation = hosts_.rotation();
        std::optional<std::size_t> chosen;
        std::uint32_t highest = 0;
        for (const auto host : rotation) {
            const auto weight = (client.port * 31U + static_cast<std::uint32_t>(host) * 17U + 7U) * 2654435761U;
            if (!chosen || weight > highest) {
                chosen = host;
                highest = weight;
            }
        }
        return chosen ? std::optional(hosts_.packets(*chosen)) : std::nullopt;
    }

    void onFinished(const Client::Request &request)
    {
        answered_ += request.outcome == Client::Outcome::Answered ? 1 : 0;
        if (request.outcome == Client::Outcome::Answered) {
            loop_.after(kThink, [this, client = request.client] { client_.request(client, std::to_string(++sent_), kDeadline); });
        } else {
            record_.line("request " + request.id + " on " + toText(request.client) + " was not answered");
        }
    }

    // FLOW: a reset of an open flow that its endpoint, which lives and holds it, did not send.
    void onReset(const Client::ResetSeen &seen)
    {
        const auto opened = openAt_.find(seen.client);
        if (!seen.open || opened == openAt_.end()) {
            return;
        }
        for (const auto &upstream : upstreams_) {
            if (upstream->options().id == opened->second && upstream->holds(seen.client) && upstream->options().address != seen.sender) {
                ++foreignResets_;
                record_.line("flow " + toText(seen.client) + " is open at " + opened->second + ", and its client got a reset from "
                             + nameOf(seen.sender));
            }
        }
    }

    std::string nameOf(const Address &sender) const
    {
        for (const auto &upstream : upstreams_) {
            if (upstream->options().address == sender) {
                return "endpoint " + upstream->options().id;
            }
        }
        return "a host at " + toText(sender);
    }

    void restartHost(std::size_t host)
    {
        const auto name = "host " + std::to_string(host + 1);
        record_.line(name + " gets SIGTERM");
        hosts_.signal(host, SIGTERM);
        if (!loop_.runUntil([&] { return hosts_.ending(host).has_value(); }, Milliseconds{7000})) {
            giveUp(name + " does not stop");
        }
        record_.line(name + " has stopped, and starts again");
        loop_.runFor(Milliseconds{300});
        hosts_.start(host);
    }

    Scenario scenario_;
    Loop loop_;
    Record record_;
    Store store_;
    Hosts hosts_;
    Client client_;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::map<Address, std::string> openAt_; ///< id of the endpoint, by the client's end of the flow
    std::map<std::string, std::size_t> flowsOf_;
    std::size_t sent_ = 0;
    std::size_t answered_ = 0;
    std::size_t foreignResets_ = 0;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    return runScenario(argumentCount, arguments, [](const Scenario &scenario) { return TokenCase(scenario).run(); });
}
