// No case: a host is removed as planned, and its address, which the other hosts still know as a seed, goes to an entry host of another
// installation.
#include "client.h"
#include "endpoint.h"
#include "host.h"
#include "store.h"

#include <algorithm>
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

constexpr int kOwnEndpoints = 4;
constexpr int kOtherEndpoints = 2;
constexpr Span kBetweenFlows = milliseconds{20};
constexpr Span kTrafficStart = milliseconds{3000};
constexpr Span kRemoval = milliseconds{5000};
constexpr Span kOtherStart = milliseconds{15000};
constexpr Span kEnd = milliseconds{95000};

// Within config-apply-ms each host must act on its own operator's configuration, whatever it was told before.
constexpr Span kConfigBound = milliseconds{3000};

std::uint32_t loopback(std::uint32_t group, std::uint32_t number)
{
    return 0x7f000000U | (78U << 16U) | (group << 8U) | number;
}

struct FlowRecord {
    Time sentAt;
    bool atOwnRoute = false; ///< to the route that only this installation has
    bool ranAtOther = false;
    FlowEnd end = FlowEnd::NotAnswered;
    bool ownReset = false;
};

class SeedsCase
{
public:
    SeedsCase(const std::string &daemon, const std::string &folder, const std::string &record, bool trouble);

    int run();

private:
    std::uint16_t port(int offset) const
    {
        return static_cast<std::uint16_t>(port_ + offset);
    }

    void note(const std::string &text);
    void addEndpoint(Store &store, const std::string &service);
    void openFlow();
    void removeHost();
    int judge();

    std::ofstream record_;
    bool trouble_;
    std::uint16_t port_;
    Loop loop_;
    Network network_;
    Time start_;
    Address sharedRoute_{0xc6120001, 443};
    Address ownRoute_{0xc6120002, 443};
    Store ownStore_;
    Store otherStore_;
    std::vector<std::unique_ptr<HostProcess>> ownHosts_;
    std::unique_ptr<HostProcess> otherHost_;
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    std::vector<std::unique_ptr<Router>> routers_;
    std::vector<std::unique_ptr<ClientMachine>> clients_;
    std::map<FlowId, FlowRecord> flows_;
    int opened_ = 0;
};

SeedsCase::SeedsCase(const std::string &daemon, const std::string &folder, const std::string &record, bool trouble)
    : record_(record)
    , trouble_(trouble)
    , port_(freePorts(7))
    , network_(loop_, 0, static_cast<unsigned>(getpid()))
    , start_(Clock::now())
    , ownStore_(loop_, {loopback(1, 1), port(4)}, 100)
    , otherStore_(loop_, {loopback(1, 2), port(4)}, 5000)
{
    // Step 1. Two installations, each with its own store, configuration and endpoints.
    ownStore_.put("op/config", configOf(3, {{sharedRoute_, "registry"}, {ownRoute_, "registry"}}));
    otherStore_.put("op/config", configOf(9, {{sharedRoute_, "spring-quotes"}}));
    for (int index = 0; index < kOwnEndpoints + kOtherEndpoints; ++index) {
        index < kOwnEndpoints ? addEndpoint(ownStore_, "registry") : addEndpoint(otherStore_, "spring-quotes");
    }
    // Step 2. The hosts. All three are seeds; the third one will be removed, and the other installation's host gets its address.
    const std::vector<Address> seeds{{loopback(0, 1), port(2)}, {loopback(0, 2), port(2)}, {loopback(0, 3), port(2)}};
    for (std::uint32_t number = 1; number <= 3; ++number) {
        const auto ip = loopback(0, number);
        const std::string zone = std::string("zone-") + static_cast<char>('a' + number - 1);
        const HostSettings settings{"own-" + std::to_string(number), zone, ip, port_, {loopback(1, 1), port(4)}, seeds};
        ownHosts_.push_back(std::make_unique<HostProcess>(daemon, folder, settings));
        if (number == 3) {
            continue; // its zone has no clients
        }
        routers_.push_back(std::make_unique<Router>(loop_, std::vector<RoutedHost>{{{ip, port_}, {ip, port(1)}}}, start_,
                                                    [this](const auto &text) { note(text); }));
        clients_.push_back(std::make_unique<ClientMachine>(loop_, network_, *routers_.back(), Address{loopback(3, number), port_},
                                                           milliseconds{1}, [this](const FlowResult &result) {
                                                               flows_[result.flow].end = result.end;
                                                               flows_[result.flow].ownReset = result.ownReset;
                                                           }));
    }
    const HostSettings other{"other-1", "zone-x", loopback(0, 3), port_, {loopback(1, 2), port(4)}, {{loopback(0, 3), port(2)}}};
    otherHost_ = std::make_unique<HostProcess>(daemon, folder, other);
}

void SeedsCase::addEndpoint(Store &store, const std::string &service)
{
    const auto index = static_cast<int>(endpoints_.size());
    const auto number = 0x7f3a910000ULL + static_cast<unsigned>(index);
    const Address address{loopback(2, static_cast<std::uint32_t>(index + 1)), port(5)};
    endpoints_.push_back(std::make_unique<Endpoint>(loop_, network_, index, number, address, port_, [this](const Arrival &arrival) {
        auto &flow = flows_[arrival.flow];
        flow.ranAtOther = flow.ranAtOther || (arrival.ran && arrival.endpoint >= kOwnEndpoints);
    }));
    char id[24];
    std::snprintf(id, sizeof(id), "i-%010llx", static_cast<unsigned long long>(number));
    store.put(std::string("servers/") + id, entryOf({id, service, address, index % 2 == 0 ? "zone-a" : "zone-b"}));
}

void SeedsCase::note(const std::string &text)
{
    char time[24];
    std::snprintf(time, sizeof(time), "%8.3f s  ", std::chrono::duration<double>(Clock::now() - start_).count());
    record_ << time << text << "\n";
}

void SeedsCase::openFlow()
{
    const bool atOwnRoute = opened_ % 4 >= 2;
    const auto id = clients_.at(static_cast<std::size_t>(opened_++ % 2))->open(atOwnRoute ? ownRoute_ : sharedRoute_);
    flows_[id].sentAt = Clock::now();
    flows_[id].atOwnRoute = atOwnRoute;
    if (Clock::now() + kBetweenFlows < start_ + kEnd) {
        loop_.after(kBetweenFlows, [this] { openFlow(); });
    }
}

// The platform tells the other hosts by their settings files, which "may also change without any signal".
void SeedsCase::removeHost()
{
    note("own-3 gets SIGTERM and leaves for good; it is no seed in the settings files any more");
    ownHosts_[2]->signal(SIGTERM);
    for (std::size_t index = 0; index < 2; ++index) {
        ownHosts_[index]->setSeeds({{loopback(0, 1), port(2)}, {loopback(0, 2), port(2)}});
    }
}

int SeedsCase::judge()
{
    struct Count {
        int sent = 0;
        int answered = 0;
        int ranAtOther = 0;
        int refused = 0;
    };
    std::map<bool, Count> counts; // by whether the other installation's host has run for longer than the bound
    for (const auto &[id, flow] : flows_) {
        auto &count = counts[flow.sentAt > start_ + kOtherStart + kConfigBound];
        ++count.sent;
        count.answered += flow.end == FlowEnd::Answered && !flow.ranAtOther ? 1 : 0;
        count.ranAtOther += flow.ranAtOther ? 1 : 0;
        count.refused += flow.end == FlowEnd::NotOpened && flow.ownReset ? 1 : 0;
        if (flow.ranAtOther || (flow.end == FlowEnd::NotOpened && flow.ownReset)) {
            const std::chrono::duration<double> time = flow.sentAt - start_;
            record_ << "sent at " << time.count() << " s by " << toText(id.client) << " to " << toText(id.route)
                    << (flow.ranAtOther ? ": run by the other installation's service" : ": refused by a host") << "\n";
        }
    }
    for (const auto &[late, count] : counts) {
        record_ << (late ? "later: " : "until 3 s after the other host's start: ") << "sent " << count.sent
                << ", answered by own endpoints " << count.answered << ", run by the other installation " << count.ranAtOther
                << ", refused by a host " << count.refused << "\n";
    }
    return counts[false].ranAtOther + counts[true].ranAtOther + counts[true].refused > 0 ? 1 : 0;
}

int SeedsCase::run()
{
    const auto allOpen
        = [](const auto &list) { return std::all_of(list.begin(), list.end(), [](const auto &part) { return part->isOpen(); }); };
    if (port_ == 0 || !ownStore_.isOpen() || !otherStore_.isOpen() || !allOpen(endpoints_) || !allOpen(clients_)) {
        note("the addresses of the stand-ins are taken");
        return 2;
    }
    for (const auto &host : ownHosts_) {
        host->start();
    }
    loop_.runUntil(start_ + kTrafficStart);
    if (routers_[0]->countInRotation() + routers_[1]->countInRotation() != 2) {
        note("the hosts did not start");
        return 2;
    }
    openFlow();
    loop_.at(start_ + kRemoval, [this] { removeHost(); });
    if (trouble_) {
        loop_.at(start_ + kOtherStart, [this] {
            note(std::string(ownHosts_[2]->runs() ? "own-3 still runs; " : "") + "the other installation starts its host at "
                 + toText({loopback(0, 3), port(2)}));
            otherHost_->start();
        });
    }
    loop_.runUntil(start_ + kEnd + milliseconds{3000});
    return judge();
}

} // namespace

// Arguments: the daemon, a temporary folder, the record file, 1 with or 0 without the disruption. Exits with 1 if the rule was broken.
int main(int count, char **arguments)
{
    if (count != 5) {
        std::fprintf(stderr, "usage: seeds_case DAEMON FOLDER RECORD TROUBLE\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    return SeedsCase(arguments[1], arguments[2], arguments[3], std::atoi(arguments[4]) != 0).run();
}
