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

constexpr std::size_t kHosts = 3;
constexpr std::size_t kRestarted = 2;
constexpr std::size_t kUpstreams = 4;
constexpr std::size_t kMostRestarts = 10;
constexpr unsigned kLossInterval = 10; ///< of every tenth flow the first SYN-ACK is lost
constexpr Milliseconds kOpeningInterval{6};
constexpr Milliseconds kThink{1600}; // between a response and the next request on a flow
constexpr int kRequestsPerFlow = 3;
constexpr Milliseconds kDeadline{2000};
constexpr long long kBorn = 1'760'000'000'000;
const Address kRoute{0xc6120001, 443};

class HandshakeCase
{
public:
    explicit HandshakeCase(const Scenario &scenario)
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
        client_.loseSynAcks(scenario_.trouble ? kLossInterval : 0);
        openFlows();
        loop_.runFor(Milliseconds{3000});
        for (std::size_t restart = 0; restart < kMostRestarts && foreignResets_ == 0; ++restart) {
            restartHost();
            loop_.runFor(Milliseconds{4000});
        }
        opening_ = false;
        record_.line("flows opened at endpoints: " + std::to_string(openAt_.size()) + ", requests answered: " + std::to_string(answered_)
                     + ", resets of open flows by others than their endpoints: " + std::to_string(foreignResets_));
        if (answered_ < 1000) {
            return kNotRun;
        }
        return foreignResets_ > 0 ? kBroken : kHeld;
    }

private:
    void startAll()
    {
        store_.put("op/config", configOf(1, {{kRoute, "records"}}));
        for (std::size_t i = 0; i < kUpstreams; ++i) {
            const std::uint32_t ip = loopback(0x0101) + static_cast<std::uint32_t>(i);
            Upstream::Options options;
            options.id = "i-c" + std::to_string(i + 1);
            options.address = {ip, findFreePort({ip})};
            options.clientPort = hosts_.packetPort();
            options.work = Milliseconds{5};
            Upstream::Observer observer;
            observer.opened = [this](const Upstream &upstream, const Packet &packet) { openAt_[packet.source] = &upstream; };
            observer.tookSyn = observer.runs = observer.sentReset = observer.gotForged = [](const Upstream &, const Packet &) {};
            upstreams_.push_back(std::make_unique<Upstream>(loop_, options, observer));
            store_.put("servers/" + options.id, entryOf(*upstreams_.back(), "records", "a", "ready", kBorn));
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

    // The routers' hash mode is mod: nearly all flows move when a host joins or leaves the rotation.
    std::optional<Address> choose(const Address &client)
    {
        const auto rotation = hosts_.rotation();
        const auto hash = client.port * 2654435761U >> 8U;
        return rotation.empty() ? std::nullopt : std::optional(hosts_.packets(rotation[hash % rotation.size()]));
    }

    void openFlows()
    {
        if (opening_) {
            client_.open(kRoute, std::to_string(++sent_), kDeadline);
            loop_.after(kOpeningInterval, [this] { openFlows(); });
        }
    }

    void onFinished(const Client::Request &request)
    {
        const auto client = request.client;
        if (request.outcome != Client::Outcome::Answered || ++answersOf_[client] == kRequestsPerFlow) {
            answered_ += request.outcome == Client::Outcome::Answered ? 1 : 0;
            client_.close(client);
            return;
        }
        ++answered_;
        loop_.after(kThink, [this, client] { client_.request(client, std::to_string(++sent_), kDeadline); });
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
        for (const auto &upstream : upstreams_) {
            if (upstream->options().address == seen.sender) {
                record_.line("flow " + toText(seen.client) + " is open at " + opened->second->options().id
                             + ", and its client got a reset from endpoint " + upstream->options().id);
            }
        }
    }

    void restartHost()
    {
        record_.line("host 3 gets SIGTERM");
        hosts_.signal(kRestarted, SIGTERM);
        if (!loop_.runUntil([this] { return hosts_.ending(kRestarted).has_value(); }, Milliseconds{7000})) {
            giveUp("host 3 does not stop");
        }
        loop_.runFor(Milliseconds{300});
        hosts_.start(kRestarted);
        record_.line("host 3 has stopped, and starts again");
    }

    Scenario scenario_;
    Loop loop_;
    Record record_;
    Store store_;
    Hosts hosts_;
    Client client_;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::map<Address, const Upstream *> openAt_; ///< by the client's end of the flow
    std::map<Address, int> answersOf_;
    std::size_t sent_ = 0;
    std::size_t answered_ = 0;
    std::size_t foreignResets_ = 0;
    bool opening_ = true;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    return runScenario(argumentCount, arguments, [](const Scenario &scenario) { return HandshakeCase(scenario).run(); });
}
