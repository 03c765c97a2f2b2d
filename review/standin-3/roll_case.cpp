// Case 12: three entry hosts of one zone are stopped and started in turn while clients open flows and a few datagrams are lost.
#include "client.h"
#include "endpoint.h"
#include "host.h"
#include "store.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <unistd.h>

using namespace standin;
using std::chrono::milliseconds;

namespace
{

constexpr int kHosts = 3;
constexpr int kEndpoints = 14;
constexpr int kClients = 4;
constexpr double kFlowsPerSecond = 550;
constexpr double kLostDatagrams = 0.02;
constexpr Span kClientPause = milliseconds{150};

// The planned work: one host at a time, each kGap; a host that has ended is started again after kRestartDelay.
constexpr int kRolls = 12;
constexpr Span kRollInterval = milliseconds{9000};
constexpr Span kGap = milliseconds{1200};
constexpr Span kRestartDelay = milliseconds{700};
constexpr std::array<Span, kHosts> kProbePhases{milliseconds{250}, milliseconds{430}, milliseconds{430}};

// FLOW: for flow-ms three or more of the flow's packets reach other endpoints and none its own.
constexpr Span kFlowTime = milliseconds{2000};
constexpr int kForeignPackets = 3;

struct Seen {
    Time time;
    int endpoint = 0;
};

struct FlowRecord {
    int openedAt = -1;
    std::vector<Seen> packets; ///< without SYNs, from the opening on
    FlowEnd end = FlowEnd::Answered;
    bool ownReset = false;
    bool ended = false;
    int runs = 0;
};

std::uint32_t loopback(std::uint32_t group, std::uint32_t number)
{
    return 0x7f000000U | (77U << 16U) | (group << 8U) | number;
}

class RollCase
{
public:
    RollCase(const std::string &daemon, const std::string &folder, const std::string &record, bool trouble);

    int run();

private:
    void note(const std::string &text);
    void openFlows();
    void roll();
    void stop(std::size_t index);
    void restartEnded(std::size_t index);
    void onArrival(const Arrival &arrival);
    void onEnd(const FlowResult &result);
    int judge();
    bool isMisled(const FlowRecord &flow) const;

    std::ofstream record_;
    bool trouble_;
    std::uint16_t port_;
    Loop loop_;
    Network network_;
    Time start_;
    Address route_{0xc6120001, 443};
    Store store_;
    std::vector<std::unique_ptr<HostProcess>> hosts_;
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    std::unique_ptr<Router> router_;
    std::vector<std::unique_ptr<ClientMachine>> clients_;
    std::map<FlowId, FlowRecord> flows_;
    bool traffic_ = true;
    int badExits_ = 0;
};

RollCase::RollCase(const std::string &daemon, const std::string &folder, const std::string &record, bool trouble)
    : record_(record)
    , trouble_(trouble)
    , port_(freePorts(6))
    , network_(loop_, kLostDatagrams, static_cast<unsigned>(getpid()))
    , start_(Clock::now())
    , store_(loop_, {loopback(1, 1), static_cast<std::uint16_t>(port_ + 4)}, 100)
{
    const auto port = [this](int offset) { return static_cast<std::uint16_t>(port_ + offset); };
    store_.put("op/config", configOf(3, {{route_, "registry"}}));
    for (int index = 0; index < kEndpoints; ++index) {
        const auto number = 0x2dada80000ULL + static_cast<unsigned>(index);
        const Address address{loopback(2, static_cast<std::uint32_t>(index + 1)), port(5)};
        endpoints_.push_back(std::make_unique<Endpoint>(loop_, network_, index, number, address, port_,
                                                        [this](const Arrival &arrival) { onArrival(arrival); }));
        char id[24];
        std::snprintf(id, sizeof(id), "i-%010llx", static_cast<unsigned long long>(number));
        store_.put(std::string("servers/") + id, entryOf({id, "registry", address, "zone-a"}));
    }
    std::vector<RoutedHost> routed;
    std::vector<Address> seeds;
    for (int index = 0; index < kHosts; ++index) {
        seeds.push_back({loopback(0, static_cast<std::uint32_t>(index + 1)), port(2)});
    }
    for (int index = 0; index < kHosts; ++index) {
        const auto ip = seeds[static_cast<std::size_t>(index)].ip;
        const Address store{loopback(1, 1), port(4)};
        const HostSettings settings{"host-" + std::to_string(index + 1), "zone-a", ip, port_, store, seeds};
        hosts_.push_back(std::make_unique<HostProcess>(daemon, folder, settings));
        routed.push_back({{ip, port_}, {ip, port(1)}, kProbePhases.at(static_cast<std::size_t>(index))});
    }
    router_ = std::make_unique<Router>(loop_, routed, start_, [this](const auto &text) { note(text); });
    for (int index = 0; index < kClients; ++index) {
        const Address address{loopback(3, static_cast<std::uint32_t>(index + 1)), port_};
        clients_.push_back(std::make_unique<ClientMachine>(loop_, network_, *router_, address, kClientPause,
                                                           [this](const FlowResult &result) { onEnd(result); }));
    }
}

void RollCase::note(const std::string &text)
{
    char time[24];
    std::snprintf(time, sizeof(time), "%8.3f s  ", std::chrono::duration<double>(Clock::now() - start_).count());
    record_ << time << text << "\n";
}

void RollCase::openFlows()
{
    if (traffic_) {
        const auto &client = clients_.at(network_.number() % kClients);
        flows_[client->open(route_)];
        loop_.after(Span{static_cast<Span::rep>(-std::log(1 - network_.unit()) * 1e6 / kFlowsPerSecond)}, [this] { openFlows(); });
    }
}

void RollCase::roll()
{
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        loop_.after(kGap * static_cast<int>(index), [this, index] { stop(index); });
    }
}

void RollCase::stop(std::size_t index)
{
    note("SIGTERM to " + hosts_[index]->settings().name);
    hosts_[index]->signal(SIGTERM);
    restartEnded(index);
}

void RollCase::restartEnded(std::size_t index)
{
    if (hosts_[index]->runs()) {
        loop_.after(milliseconds{20}, [this, index] { restartEnded(index); });
        return;
    }
    badExits_ += hosts_[index]->status() == 0 ? 0 : 1;
    note(hosts_[index]->settings().name + " has ended with status " + std::to_string(hosts_[index]->status()));
    loop_.after(kRestartDelay, [this, index] {
        note("start of " + hosts_[index]->settings().name);
        hosts_[index]->start();
    });
}

void RollCase::onArrival(const Arrival &arrival)
{
    auto &flow = flows_[arrival.flow];
    flow.openedAt = arrival.opens && flow.openedAt < 0 ? arrival.endpoint : flow.openedAt;
    flow.runs += arrival.ran ? 1 : 0;
    if (!arrival.isSyn && flow.openedAt >= 0 && !flow.ended) {
        flow.packets.push_back({Clock::now(), arrival.endpoint});
    }
}

void RollCase::onEnd(const FlowResult &result)
{
    auto &flow = flows_[result.flow];
    flow.end = result.end;
    flow.ownReset = result.ownReset;
    flow.ended = true;
}

// Whether within flow-ms from one of its packets on, which reached another endpoint, three or more did and none reached its own.
bool RollCase::isMisled(const FlowRecord &flow) const
{
    for (auto first = flow.packets.begin(); first != flow.packets.end(); ++first) {
        const auto last = std::find_if(first, flow.packets.end(), [&](const Seen &seen) { return seen.time - first->time > kFlowTime; });
        const auto own = std::count_if(first, last, [&](const Seen &seen) { return seen.endpoint == flow.openedAt; });
        if (own == 0 && last - first >= kForeignPackets) {
            return true;
        }
    }
    return false;
}

int RollCase::judge()
{
    std::map<FlowEnd, int> ends;
    int misled = 0;
    int resets = 0;
    int strayed = 0;
    int runTwice = 0;
    for (const auto &[id, flow] : flows_) {
        ++ends[flow.end];
        runTwice += flow.runs > 1 ? 1 : 0;
        const auto stray = std::count_if(flow.packets.begin(), flow.packets.end(),
                                         [&flow = flow](const Seen &seen) { return seen.endpoint != flow.openedAt; });
        strayed += stray > 0 ? 1 : 0;
        const bool isReset = flow.openedAt >= 0 && flow.end == FlowEnd::Reset;
        resets += isReset ? 1 : 0;
        misled += isMisled(flow) ? 1 : 0;
        if (isMisled(flow) || isReset) {
            record_ << "FLOW broken: client " << toText(id.client) << ", open at endpoint " << flow.openedAt + 1 << ", its packets reached";
            for (const auto &seen : flow.packets) {
                record_ << " " << seen.endpoint + 1 << " at " << std::chrono::duration<double>(seen.time - start_).count() << " s,";
            }
            record_ << " answered: " << (flow.end == FlowEnd::Answered ? "yes" : "no") << (isReset ? ", reset" : "") << "\n";
        }
    }
    int invalid = 0;
    for (const auto &endpoint : endpoints_) {
        invalid += endpoint->invalid();
    }
    record_ << "flows sent " << flows_.size() << ", answered " << ends[FlowEnd::Answered] << ", not opened " << ends[FlowEnd::NotOpened]
            << ", not answered " << ends[FlowEnd::NotAnswered] << ", reset " << ends[FlowEnd::Reset] << ", run twice " << runTwice
            << ", changed packets " << invalid << ", bad exits " << badExits_ << "\n"
            << "open flows of which a packet reached another endpoint " << strayed << "; FLOW broken by (a) resets " << resets
            << ", by (b) packets to other endpoints only " << misled << "\n";
    return misled + resets > 0 ? 1 : 0;
}

int RollCase::run()
{
    const auto allOpen
        = [](const auto &list) { return std::all_of(list.begin(), list.end(), [](const auto &entry) { return entry->isOpen(); }); };
    if (port_ == 0 || !store_.isOpen() || !allOpen(endpoints_) || !allOpen(clients_)) {
        note("the addresses of the stand-ins are taken");
        return 2;
    }
    for (const auto &host : hosts_) {
        host->start();
    }
    loop_.runUntil(start_ + milliseconds{3000});
    if (router_->countInRotation() != hosts_.size()) {
        note("the hosts did not start");
        return 2;
    }
    openFlows();
    for (int number = 0; trouble_ && number < kRolls; ++number) {
        loop_.at(start_ + milliseconds{4000} + kRollInterval * number, [this] { roll(); });
    }
    loop_.runUntil(start_ + milliseconds{4000} + kRollInterval * kRolls);
    traffic_ = false;
    loop_.runUntil(Clock::now() + milliseconds{3000});
    return judge();
}

} // namespace

// Arguments: the daemon, a temporary folder, the record file, 1 with or 0 without the disruption. Exits with 1 if the rule was broken.
int main(int count, char **arguments)
{
    if (count != 5) {
        std::fprintf(stderr, "usage: roll_case DAEMON FOLDER RECORD TROUBLE\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    return RollCase(arguments[1], arguments[2], arguments[3], std::atoi(arguments[4]) != 0).run();
}
