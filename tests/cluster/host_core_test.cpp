#include "cluster/host_core.h"
#include "harness/message_network.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace medlarway;

namespace
{

constexpr Duration kWindow = std::chrono::seconds{5};
constexpr GuardKey kKey{1, 2, 3};

// Runs the cores of several hosts in one loop. They exchange encoded messages over a seeded network.
class CoreFleet
{
public:
    explicit CoreFleet(int hosts)
        : network_(7)
    {
        for (int number = 1; number <= hosts; ++number) {
            listed_.push_back({Endpoint{0x0a000000U + static_cast<unsigned>(number), 7400}, zoneOf(number), false});
        }
        for (int number = 1; number <= hosts; ++number) {
            start(number, static_cast<std::uint64_t>(number));
        }
    }

    static AvailabilityZone zoneOf(int number)
    {
        return AvailabilityZone{"zone" + std::to_string(number % 3)};
    }

    HostId id(int number) const
    {
        return hostIdOf(listed_.at(static_cast<std::size_t>(number) - 1).address);
    }

    HostCore &core(int number)
    {
        return *cores_.at(id(number));
    }

    void start(int number, std::uint64_t incarnation)
    {
        HostCoreOptions options;
        options.self = id(number);
        options.zone = zoneOf(number);
        options.incarnation = incarnation;
        options.seed = incarnation;
        options.guard.maxWindow = kWindow;
        options.guard.startupAbstention = kWindow;
        options.guard.listGiveUp = Duration{0};
        cores_[options.self] = std::make_unique<HostCore>(options, now);
        act(options.self, [&](HostCore &host, HostActions &actions) { host.setListed(listed_, now, actions); });
    }

    template<class Work>
    void act(HostId host, Work work)
    {
        HostActions actions;
        work(*cores_.at(host), actions);
        network_.send(host, actions.messages, now);
        for (const auto &decision : actions.verdicts) {
            verdicts[decision.claim] = decision.verdict;
        }
        for (const auto &entry : actions.membershipEvents) {
            events[host].push_back(entry.kind);
        }
    }

    // Advances the time and runs every host that is not paused.
    void run(Duration span)
    {
        const auto end = now + span;
        while (now < end) {
            now += std::chrono::milliseconds{10};
            for (auto &delivery : network_.arrived(now)) {
                if (cores_.contains(delivery.to) && !paused.contains(delivery.to)) {
                    const auto kind = static_cast<std::uint8_t>(delivery.message.index());
                    const auto read = decodePeerMessage(kind, encodePeerMessage(delivery.message));
                    act(delivery.to, [&](HostCore &host, HostActions &actions) { host.receive(delivery.from, read, now, actions); });
                }
            }
            for (auto &[host, core] : cores_) {
                if (!paused.contains(host) && core->nextTick() <= now) {
                    act(host, [&](HostCore &ticked, HostActions &actions) { ticked.tick(now, actions); });
                }
            }
        }
    }

    ClaimId claim(int number)
    {
        ClaimId claim = 0;
        act(id(number), [&](HostCore &host, HostActions &actions) {
            claim = host.claimKey(kKey, kWindow, now + std::chrono::seconds{2}, now, actions);
        });
        return claim;
    }

    void publish(int number, std::uint64_t revision)
    {
        act(id(number), [&](HostCore &host, HostActions &actions) { host.offerShard(CatalogueShard{"main", revision, {}}, now, actions); });
    }

    Time now{std::chrono::hours{1}};
    std::set<HostId> paused;
    std::map<ClaimId, GuardVerdict> verdicts;
    std::map<HostId, std::vector<MembershipEventKind>> events;

private:
    MessageNetwork<PeerMessage> network_;
    std::vector<ListedHost> listed_;
    std::map<HostId, std::unique_ptr<HostCore>> cores_;
};

} // namespace

TEST_CASE("the cores of five hosts")
{
    CoreFleet fleet(5);
    fleet.run(std::chrono::seconds{15});

    SUBCASE("see each other")
    {
        for (int number = 1; number <= 5; ++number) {
            CHECK(fleet.core(number).membership().view().members.size() == 5);
        }
    }

    SUBCASE("apply a shard that one of them read everywhere, and a lower revision nowhere")
    {
        fleet.publish(2, 9);
        fleet.run(std::chrono::seconds{2});
        fleet.publish(4, 8);
        fleet.run(std::chrono::seconds{2});
        for (int number = 1; number <= 5; ++number) {
            CHECK(fleet.core(number).catalogue().shardRevision("main") == 9);
        }
    }

    SUBCASE("let a key run at one of them only")
    {
        const auto first = fleet.claim(1);
        fleet.run(std::chrono::seconds{1});
        const auto second = fleet.claim(3);
        fleet.run(std::chrono::seconds{3});
        CHECK(fleet.verdicts.at(first) == GuardVerdict::Run);
        CHECK(fleet.verdicts.at(second) != GuardVerdict::Run);
    }

    SUBCASE("detect that one of them was paused, which then runs no key by votes from before")
    {
        const auto claim = fleet.claim(2);
        fleet.paused.insert(fleet.id(2));
        fleet.run(std::chrono::seconds{20});
        CHECK(fleet.core(1).membership().view().members.size() == 4);
        fleet.paused.clear();
        fleet.run(std::chrono::seconds{10});
        const auto &events = fleet.events[fleet.id(2)];
        CHECK(std::find(events.begin(), events.end(), MembershipEventKind::WokeLate) != events.end());
        CHECK(fleet.verdicts.at(claim) != GuardVerdict::Run);
        CHECK(fleet.core(1).membership().view().members.size() == 5);
    }
}
