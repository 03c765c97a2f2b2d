// A host that follows another one sends new flows to an endpoint that has been draining for longer than the bound, because the host that it
// follows takes the arrival of a late answer for the time at which the store confirmed its data.
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

constexpr std::size_t kHosts = 4;
constexpr std::size_t kUpstreams = 4;
constexpr Milliseconds kDrainBound{3000};
constexpr Milliseconds kStable{4000};
constexpr Milliseconds kAnswerDelay{1500}; // length of the cut, which holds an answer up; 5.5 s in the site file
constexpr Milliseconds kDark{3000}; // the host without power; 3.5 s in the site file
constexpr Milliseconds kOpeningInterval{4};
constexpr Milliseconds kDeadline{2000};
const Address kRoute{0xc6120001, 443};

struct Flow {
    std::size_t host = 0; ///< to which its packets are sent
};

class DrainCase
{
public:
    explicit DrainCase(const Scenario &scenario)
        : scenario_(scenario)
        , record_(scenario.recordFile)
        , store_(loop_)
        , hosts_(loop_, scenario.program, scenario.folder)
        , client_(loop_, {loopback(0x0201), hosts_.packetPort()}, [this](const Address &client, const Address &) { return choose(client); },
                  {[this](const Client::Request &request) { onFinished(request); }, [](const Client::ResetSeen &) {}})
    {
    }

    int run()
    {
        startAll();
        const auto reader = findReader();
        if (!reader) {
            record_.line("no single host reads the store");
            return kNotRun;
        }
        record_.line("host " + std::to_string(*reader + 1) + " reads the store, the others follow it");
        openFlows();
        loop_.runFor(kStable);
        const auto late = play(*reader);
        opening_ = false;
        loop_.runFor(Milliseconds{500});
        const auto answered = outcomes_[Client::Outcome::Answered];
        record_.line("flows opened: " + std::to_string(opened_) + ", answered: " + std::to_string(answered));
        if (answered * 10 < opened_ * 8) {
            return kNotRun;
        }
        return late > 0 ? kBroken : kHeld;
    }

private:
    void startAll()
    {
        for (std::size_t i = 0; i < kUpstreams + 1; ++i) {
            addUpstream(i);
        }
        store_.put("op/config", configOf(1, {{kRoute, "records"}}));
        for (std::size_t i = 0; i < kUpstreams; ++i) {
            store_.put("servers/" + upstreams_[i]->options().id, entryOf(*upstreams_[i], "records", "a", "ready", kBorn));
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
        loop_.runFor(Milliseconds{6000});
    }

    void addUpstream(std::size_t i)
    {
        const std::uint32_t ip = loopback(0x0101) + static_cast<std::uint32_t>(i);
        Upstream::Options options;
        options.id = "i-a" + std::to_string(i + 1);
        options.address = {ip, findFreePort({ip})};
        options.clientPort = hosts_.packetPort();
        options.work = Milliseconds{5};
        Upstream::Observer observer;
        observer.tookSyn = [this](const Upstream &upstream, const Packet &packet) { onSynTaken(upstream, packet); };
        observer.opened = observer.runs = observer.sentReset = observer.gotForged = [](const Upstream &, const Packet &) {};
        upstreams_.push_back(std::make_unique<Upstream>(loop_, options, observer));
    }

    std::optional<std::size_t> findReader()
    {
        std::vector<std::size_t> before;
        for (std::size_t host = 0; host < kHosts; ++host) {
            before.push_back(store_.calls(host));
        }
        loop_.runFor(Milliseconds{4000});
        std::vector<std::size_t> readers;
        for (std::size_t host = 0; host < kHosts; ++host) {
            if (store_.calls(host) > before[host]) {
                readers.push_back(host);
            }
        }
        return readers.size() == 1 ? std::optional(readers.front()) : std::nullopt;
    }

    std::optional<Address> choose(const Address &client)
    {
        const auto host = (client.port * 2654435761U >> 16U) % kHosts;
        flows_[client].host = host;
        return hosts_.packets(host);
    }

    void openFlows()
    {
        if (!opening_) {
            return;
        }
        client_.open(kRoute, std::to_string(++opened_), kDeadline);
        loop_.after(kOpeningInterval, [this] { openFlows(); });
    }

    void onFinished(const Client::Request &request)
    {
        ++outcomes_[request.outcome];
        client_.close(request.client);
    }

    // Begins right after the reader's watch has arrived: the link is harmed at a moment in the second that a watch lasts. Returns the
    // number of late opening packets through the other hosts.
    std::size_t play(std::size_t reader)
    {
        const auto readerName = "host " + std::to_string(reader + 1);
        loop_.runUntil(
            [&] {
                const auto since = store_.pendingWatchSince(reader);
                return since && Clock::now() - *since < Milliseconds{20};
            },
            Milliseconds{4000});
        if (scenario_.trouble) {
            store_.setDelay(reader, kAnswerDelay);
            record_.line(readerName + " is cut off from the store for 1500 ms");
        }
        loop_.runFor(Milliseconds{10});
        const auto &added = *upstreams_[kUpstreams];
        store_.put("servers/" + added.options().id, entryOf(added, "records", "a", "ready", kBorn));
        record_.line("endpoint " + added.options().id + " registers");
        if (scenario_.trouble) {
            loop_.after(kAnswerDelay - Milliseconds{10}, [this, reader] { store_.setDelay(reader, Milliseconds{0}); });
            loop_.after(kAnswerDelay + Milliseconds{40}, [this, reader, readerName] {
                record_.line(readerName + " loses power");
                hosts_.signal(reader, SIGKILL);
            });
            loop_.after(kAnswerDelay + kDark, [this, reader, readerName] {
                record_.line(readerName + " starts again");
                hosts_.start(reader);
            });
        }
        loop_.runFor(Milliseconds{10});
        leaving_ = upstreams_[0].get();
        store_.put("servers/" + leaving_->options().id, entryOf(*leaving_, "records", "a", "draining", kBorn));
        drainedAt_ = Clock::now();
        record_.line("the store has acknowledged that endpoint " + leaving_->options().id + " is draining");
        loop_.runFor(kDrainBound + Milliseconds{2500});
        return judge(reader);
    }

    void onSynTaken(const Upstream &upstream, const Packet &packet)
    {
        if (&upstream != leaving_) {
            return;
        }
        const auto after = std::chrono::duration_cast<Milliseconds>(Clock::now() - drainedAt_);
        const auto host = flows_[packet.source].host;
        auto &last = lastTaken_[host];
        last = std::max(last, after);
        if (after > kDrainBound) {
            ++late_[host];
        }
    }

    std::size_t judge(std::size_t reader)
    {
        std::size_t late = 0;
        for (std::size_t host = 0; host < kHosts; ++host) {
            record_.line("host " + std::to_string(host + 1) + (host == reader && scenario_.trouble ? " (disturbed, not judged)" : "")
                         + ": last opening packet to the draining endpoint " + std::to_string(lastTaken_[host].count())
                         + " ms after the confirmation; later than the bound: " + std::to_string(late_[host]));
            late += host == reader ? 0 : late_[host];
        }
        return late;
    }

    static constexpr long long kBorn = 1'760'000'000'000;

    Scenario scenario_;
    Loop loop_;
    Record record_;
    Store store_;
    Hosts hosts_;
    Client client_;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::map<Address, Flow> flows_;
    std::map<Client::Outcome, std::size_t> outcomes_;
    std::map<std::size_t, std::size_t> late_; ///< opening packets beyond the bound, by host
    std::map<std::size_t, Milliseconds> lastTaken_;
    const Upstream *leaving_ = nullptr; ///< the draining endpoint
    Time drainedAt_;
    std::size_t opened_ = 0;
    bool opening_ = true;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    return runScenario(argumentCount, arguments, [](const Scenario &scenario) { return DrainCase(scenario).run(); });
}
