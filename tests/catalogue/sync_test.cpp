#include "catalogue/catalogue_sync.h"
#include "harness/message_network.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

HostId hostNumber(int number)
{
    return hostIdOf(Endpoint{0x0a000000U + static_cast<std::uint32_t>(number), 7000});
}

Service serviceNamed(const std::string &name, std::size_t upstreams = 4)
{
    Service service;
    service.name = name;
    service.owner = "trust";
    service.address = Endpoint{0x0a010101, 80};
    for (std::size_t index = 0; index < upstreams; ++index) {
        service.upstreams.push_back(
            Upstream{Endpoint{0x0a020000U + static_cast<std::uint32_t>(index), 8080}, AvailabilityZone{"zone1"}, false});
    }
    return service;
}

CatalogueShard shardAt(std::uint64_t revision, std::vector<Service> services)
{
    return CatalogueShard{"services", revision, std::move(services)};
}

// Several CatalogueSync with one common view, on a simulated clock and network.
class Fleet
{
public:
    Fleet(int hosts, int zones, std::uint64_t seed)
        : network(seed)
    {
        for (int number = 1; number <= hosts; ++number) {
            view.members.push_back(
                Member{hostNumber(number), AvailabilityZone{"zone" + std::to_string(number % zones)}, HostState::Alive, 1});
        }
        for (int number = 1; number <= hosts; ++number) {
            start(number);
        }
    }

    void start(int number)
    {
        CatalogueSyncOptions options;
        options.self = hostNumber(number);
        options.zone = view.members.at(static_cast<std::size_t>(number - 1)).zone;
        options.shards = {"services"};
        options.seed = static_cast<std::uint64_t>(number);
        cores.insert_or_assign(options.self, CatalogueSync(options));
        cores.at(options.self).setView(view, now);
    }

    CatalogueSync &at(int number)
    {
        return cores.at(hostNumber(number));
    }

    void offer(int number, const CatalogueShard &shard)
    {
        at(number).offer(shard, now, outbox);
        network.send(hostNumber(number), outbox, now);
    }

    void run(Duration duration)
    {
        const auto end = now + duration;
        while (now < end) {
            now += 5ms;
            for (auto &delivery : network.arrived(now)) {
                maxServicesInPart = std::max(maxServicesInPart, delivery.message.part ? delivery.message.part->services.size() : 0);
                cores.at(delivery.to).receive(delivery.from, delivery.message, now, outbox);
                network.send(delivery.to, outbox, now);
            }
            for (auto &[id, core] : cores) {
                if (core.nextTick() <= now) {
                    core.tick(now, outbox);
                    network.send(id, outbox, now);
                }
            }
        }
    }

    bool allAt(std::uint64_t revision)
    {
        return std::all_of(cores.begin(), cores.end(),
                           [revision](const auto &entry) { return entry.second.shardRevision("services") == revision; });
    }

    Time now;
    View view;
    std::map<HostId, CatalogueSync> cores;
    MessageNetwork<CatalogueMessage> network;
    Outbox<CatalogueMessage> outbox;
    std::size_t maxServicesInPart = 0;
};

} // namespace

TEST_CASE("a catalogue change read by one of five hosts")
{
    Fleet fleet(5, 3, 1);
    fleet.run(4s);
    fleet.offer(1, shardAt(10, {serviceNamed("registry"), serviceNamed("gallery")}));
    fleet.run(50ms);

    SUBCASE("is in force on all of them at once")
    {
        CHECK(fleet.allAt(10));
        CHECK(*fleet.at(5).inForce() == *fleet.at(1).inForce());
    }
    SUBCASE("is not undone by a lower revision from any source")
    {
        fleet.offer(3, shardAt(9, {}));
        fleet.run(3s);
        CHECK(fleet.allAt(10));
        CHECK(fleet.at(3).stats().stale == 1);
        CHECK(fleet.at(3).inForce()->shards.front().services.size() == 2);
    }
    SUBCASE("is followed by a change of one service, which is sent without the others")
    {
        fleet.maxServicesInPart = 0;
        fleet.offer(2, shardAt(11, {serviceNamed("registry", 9), serviceNamed("gallery")}));
        fleet.run(50ms);
        CHECK(fleet.allAt(11));
        CHECK(fleet.maxServicesInPart == 1);
        CHECK(fleet.at(4).inForce()->shards.front().services.back().upstreams.size() == 9);
    }
    SUBCASE("is followed by the removal of a service")
    {
        fleet.offer(2, shardAt(11, {serviceNamed("gallery")}));
        fleet.run(50ms);
        CHECK(fleet.allAt(11));
        CHECK(fleet.at(4).inForce()->shards.front().services.size() == 1);
    }
    SUBCASE("is resolved to the same content on all hosts if its revision has two contents")
    {
        fleet.offer(2, shardAt(10, {serviceNamed("other")}));
        fleet.run(5s);
        for (int number = 2; number <= 5; ++number) {
            CHECK(*fleet.at(number).inForce() == *fleet.at(1).inForce());
        }
        CHECK(fleet.at(2).stats().conflicts == 1);
    }
    SUBCASE("reaches a host that received no push, through a digest")
    {
        for (int number = 1; number <= 4; ++number) {
            fleet.network.cut(hostNumber(number), hostNumber(5));
        }
        fleet.offer(1, shardAt(12, {serviceNamed("registry")}));
        fleet.run(1s);
        CHECK(fleet.at(5).shardRevision("services") == 10);
        fleet.network.healAll();
        fleet.run(2s);
        CHECK(fleet.allAt(12));
    }
    SUBCASE("is removed with the shard and not restored by a lower revision")
    {
        fleet.at(1).offerRemoval("services", 13, fleet.now, fleet.outbox);
        fleet.network.send(hostNumber(1), fleet.outbox, fleet.now);
        fleet.run(50ms);
        fleet.offer(2, shardAt(12, {serviceNamed("registry")}));
        fleet.run(2s);
        CHECK(fleet.allAt(13));
        CHECK(fleet.at(2).inForce()->shards.empty());
    }
}

TEST_CASE("a shard too large for one message")
{
    Fleet fleet(5, 3, 2);
    fleet.run(4s);
    std::vector<Service> services{serviceNamed("crowded", 3000)};
    for (int index = 0; index < 200; ++index) {
        services.push_back(serviceNamed("service" + std::to_string(index)));
    }
    fleet.network.setConditions(NetworkConditions{1ms, 3ms, 0.1, 0.1});
    fleet.offer(1, shardAt(10, services));
    fleet.run(30s);
    CHECK(fleet.allAt(10));
    CHECK(*fleet.at(3).inForce() == *fleet.at(1).inForce());
}

TEST_CASE("a host that starts with empty memory")
{
    Fleet fleet(5, 3, 3);
    fleet.run(4s);
    fleet.offer(1, shardAt(10, {serviceNamed("registry")}));
    fleet.run(1s);
    fleet.start(4);

    SUBCASE("serves the revision of its peers although the platform returns an older one")
    {
        CHECK_FALSE(fleet.at(4).readyToServe(fleet.now));
        fleet.offer(4, shardAt(7, {}));
        CHECK_FALSE(fleet.at(4).readyToServe(fleet.now));
        fleet.run(200ms);
        CHECK(fleet.at(4).readyToServe(fleet.now));
        CHECK(fleet.at(4).shardRevision("services") == 10);
    }
    SUBCASE("serves the revision that it has after a bounded wait if no peer responds")
    {
        for (int number = 1; number <= 5; ++number) {
            fleet.network.cut(hostNumber(number), hostNumber(4));
        }
        fleet.offer(4, shardAt(7, {serviceNamed("registry")}));
        fleet.run(2900ms);
        CHECK_FALSE(fleet.at(4).readyToServe(fleet.now));
        fleet.run(200ms);
        CHECK(fleet.at(4).readyToServe(fleet.now));
        CHECK(fleet.at(4).shardRevision("services") == 7);
    }
}

TEST_CASE("the readers of a shard")
{
    Fleet fleet(12, 3, 4);
    std::map<std::string, std::set<HostId>> readers;
    for (const auto &[id, core] : fleet.cores) {
        for (const auto &shard : core.shardsToRead()) {
            readers[shard].insert(id);
        }
    }
    SUBCASE("are two in each zone")
    {
        CHECK(readers["services"].size() == 6);
    }
    SUBCASE("are replaced when one of them is suspect")
    {
        const auto lost = *readers["services"].begin();
        for (auto &member : fleet.view.members) {
            member.state = member.id == lost ? HostState::Suspect : HostState::Alive;
        }
        std::size_t others = 0;
        for (auto &[id, core] : fleet.cores) {
            core.setView(fleet.view, fleet.now);
            others += id != lost && !core.shardsToRead().empty() ? 1 : 0;
        }
        CHECK(others == 6);
    }
}
