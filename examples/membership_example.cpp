// Two hosts discover each other. Then one of them stops responding and is removed from the view.
#include "membership/membership.h"

#include <fmt/format.h>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

Membership makeMembership(HostId self, const std::vector<ListedHost> &listed, Time now)
{
    MembershipOptions options;
    options.self = self;
    options.zone = AvailabilityZone{"ghent"};
    options.incarnation = 1;
    options.seed = self.value;
    Membership membership(options);
    membership.setListed(listed, now);
    return membership;
}

// Runs one core, delivers its messages to the other core and returns the responses, as a network would.
void exchange(Membership &from, HostId fromId, Membership &to, HostId toId, Time now)
{
    Outbox<MembershipMessage> requests;
    from.tick(now, requests);
    for (const auto &request : requests) {
        Outbox<MembershipMessage> responses;
        to.receive(fromId, request.message, now, responses);
        for (const auto &response : responses) {
            Outbox<MembershipMessage> ignored;
            from.receive(toId, response.message, now, ignored);
        }
    }
}

} // namespace

int main()
{
    const HostId first = hostIdOf(*parseEndpoint("10.0.0.1:7000"));
    const HostId second = hostIdOf(*parseEndpoint("10.0.0.2:7000"));
    const std::vector<ListedHost> listed{{endpointOf(first), {"ghent"}, false}, {endpointOf(second), {"ghent"}, false}};
    Time now{};
    auto one = makeMembership(first, listed, now);
    auto two = makeMembership(second, listed, now);
    for (; now < Time{5s}; now += 50ms) {
        exchange(one, first, two, second, now);
        exchange(two, second, one, first, now);
    }
    fmt::print("{} members, view {}\n", one.view().members.size(), one.view().number);
    for (; now < Time{15s}; now += 50ms) {
        Outbox<MembershipMessage> lost;
        one.tick(now, lost);
    }
    fmt::print("{} members, view {}\n", one.view().members.size(), one.view().number);
    return 0;
}
