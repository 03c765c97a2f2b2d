// Places keys on hosts and looks up the owner of each key before a host joined.
#include "placement/generations.h"

#include <fmt/format.h>

using namespace medlarway;

int main()
{
    View view;
    for (std::uint32_t last = 1; last <= 3; ++last) {
        view.members.push_back({hostIdOf({(10U << 24U) | last, 7000}), {"ghent-1"}, HostState::Alive, 0});
    }
    Generations generations;
    Time now;
    generations.add(view, now);

    view.members.push_back({hostIdOf({(10U << 24U) | 4U, 7000}), {"ghent-2"}, HostState::Alive, 0});
    now += std::chrono::seconds{5};
    generations.add(view, now);

    for (std::uint64_t key = 1; key <= 8; ++key) {
        const auto owner = endpointToString(endpointOf(*generations.owner(key)));
        const auto before = endpointToString(endpointOf(generations.earlierOwners(key).front()));
        fmt::print("key {}: owned by {}, before the join by {}\n", key, owner, before);
    }
    return 0;
}
