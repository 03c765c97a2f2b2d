// Three hosts guard an idempotency key. The same request arrives at two of them and runs only once.
#include "guard/key_guard.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

using namespace medlarway;

namespace
{

// Delivers messages, and the responses to them, until none are left.
void deliver(std::array<KeyGuard, 3> &guards, const std::vector<HostId> &hosts, Outbox<GuardMessage> initial, HostId from, Time now,
             GuardDecisions &decisions)
{
    std::vector<std::pair<HostId, Outgoing<GuardMessage>>> queue;
    for (auto &outgoing : initial) {
        queue.emplace_back(from, std::move(outgoing));
    }
    for (std::size_t next = 0; next < queue.size(); ++next) {
        const auto [sender, outgoing] = queue[next];
        Outbox<GuardMessage> outbox;
        const auto index = static_cast<std::size_t>(std::find(hosts.begin(), hosts.end(), outgoing.to) - hosts.begin());
        guards[index].receive(sender, outgoing.message, now, outbox, decisions);
        for (auto &response : outbox) {
            queue.emplace_back(outgoing.to, std::move(response));
        }
    }
}

} // namespace

int main()
{
    const Time now;
    const std::vector<HostId> hosts{HostId{1}, HostId{2}, HostId{3}};
    GuardSettings settings;
    settings.startupAbstention = Duration{0}; // no votes can have been lost before the first start of the fleet
    std::array<KeyGuard, 3> guards{KeyGuard(hosts[0], settings, 1, now), KeyGuard(hosts[1], settings, 2, now),
                                   KeyGuard(hosts[2], settings, 3, now)};

    GuardDecisions decisions;
    for (std::size_t index = 0; index < 2; ++index) {
        for (auto &guard : guards) {
            guard.setListed(hosts, now);
        }
        Outbox<GuardMessage> outbox;
        guards[index].claim(GuardKey{1, 2, 3}, std::chrono::minutes{10}, now + std::chrono::seconds{1}, now, outbox, decisions);
        deliver(guards, hosts, std::move(outbox), hosts[index], now, decisions);
    }
    for (const auto &decision : decisions) {
        fmt::print("{}\n", decision.verdict == GuardVerdict::Run ? "run it now" : "it may have run");
    }
    return 0;
}
