#include "placement/generations.h"
#include "placement/rendezvous.h"

#include <doctest/doctest.h>
#include <map>

using namespace medlarway;

namespace
{

View viewOf(std::initializer_list<std::uint64_t> hosts)
{
    View view;
    for (const auto host : hosts) {
        view.members.push_back({HostId{host}, {}, HostState::Alive, 0});
    }
    return view;
}

constexpr std::uint64_t kKeys = 20'000;

} // namespace

TEST_CASE("the owner of a key")
{
    const auto five = viewOf({1, 2, 3, 4, 5});

    SUBCASE("is spread evenly over the hosts")
    {
        std::map<HostId, int> shares;
        for (std::uint64_t key = 0; key < kKeys; ++key) {
            ++shares[*ownerOf(key, five)];
        }
        for (const auto &[host, share] : shares) {
            CHECK(share > 3'700);
            CHECK(share < 4'300);
        }
    }
    SUBCASE("moves only to a host that joins, and only from a host that leaves")
    {
        const auto six = viewOf({1, 2, 3, 4, 5, 6});
        for (std::uint64_t key = 0; key < kKeys; ++key) {
            const auto before = *ownerOf(key, five);
            const auto after = *ownerOf(key, six);
            CHECK((after == before || after == HostId{6}));
        }
    }
    SUBCASE("is never a leaving host: the next in rank takes over")
    {
        auto leaving = five;
        leaving.members[2].state = HostState::Leaving;
        for (std::uint64_t key = 0; key < kKeys; ++key) {
            const auto ranked = rankHosts(key, five.members, 2);
            CHECK(ownerOf(key, five) == ranked[0]);
            CHECK(ownerOf(key, leaving) == (ranked[0] == HostId{3} ? ranked[1] : ranked[0]));
        }
    }
    SUBCASE("does not exist if all hosts are leaving")
    {
        auto leaving = viewOf({1});
        leaving.members[0].state = HostState::Leaving;
        CHECK_FALSE(ownerOf(1, leaving));
        CHECK_FALSE(ownerOf(1, View{}));
    }
    SUBCASE("is the same for members, hosts and candidates")
    {
        const std::vector<HostId> hosts{{1}, {2}, {3}, {4}, {5}};
        const std::vector<std::uint64_t> candidates{1, 2, 3, 4, 5};
        CHECK(rankHosts(77, hosts, 3) == rankHosts(77, five.members, 3));
        CHECK(rankHosts(77, hosts, 9).size() == 5);
        CHECK(HostId{candidates[rankCandidates(77, candidates, 1)[0]]} == ownerOf(77, five));
    }
}

TEST_CASE("generations")
{
    Generations generations;
    const Time start;
    generations.add(viewOf({1, 2}), start);

    SUBCASE("return the owners before a change")
    {
        generations.add(viewOf({1, 2, 3}), start + std::chrono::seconds{1});
        CHECK(generations.earlierOwners(5) == std::vector{*ownerOf(5, viewOf({1, 2}))});
        CHECK(generations.isMember(HostId{3}));
        SUBCASE("until they are removed")
        {
            generations.removeReplacedBefore(start + std::chrono::seconds{2});
            CHECK(generations.earlierOwners(5).empty());
        }
    }
    SUBCASE("are not added for a view with the same owners")
    {
        auto suspected = viewOf({1, 2});
        suspected.members[0].state = HostState::Suspect;
        generations.add(suspected, start);
        CHECK(generations.earlierCount() == 0);
    }
    SUBCASE("are bounded")
    {
        for (std::uint64_t host = 3; host < 40; ++host) {
            generations.add(viewOf({1, 2, host}), start);
        }
        CHECK(generations.earlierCount() == Generations::kMaxEarlier);
    }
}
