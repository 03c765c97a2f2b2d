// Two hosts find each other; then one of them falls silent and is removed.
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

// Runs one core and hands what it wants sent to the other one, as a network would.
void exchange(Membership &from, HostId fromId, Membership &to, HostId toId, Time now)
{
    Outbox<MembershipMessage> questions;
    from.tick(now, questions);
    for (const auto &question : questions) {
        Outbox<MembershipMessage> answers;
        to.receive(fromId, question.message, now, answers);
        for (const auto &answer : answers) {
            Outbox<MembershipMessage> ignored;
            from.receive(toId, answer.message, now, ignored);
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
