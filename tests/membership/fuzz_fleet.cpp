#include "membership/fuzz_fleet.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kStep = 20ms;
constexpr Duration kReadInterval = 400ms;

// With nine hosts, all absent hosts are probed within 9 s and a dead host is removed within 6 s.
constexpr Duration kConvergenceTime = 25s;

HostId hostNumber(int number)
{
    return hostIdOf(Endpoint{0x0a000000U + static_cast<std::uint32_t>(number), 7000});
}

CatalogueShard shardAt(std::uint64_t revision)
{
    CatalogueShard shard{"services", revision, {}};
    for (std::uint64_t index = 0; index < 6; ++index) {
        if ((revision + index) % 5 == 0) {
            continue; // vary the set of services between revisions
        }
        Service service;
        service.name = fmt::format("service{}", index);
        service.address = Endpoint{0x0a010000U, static_cast<std::uint16_t>(100 + index)};
        for (std::uint64_t upstream = 0; upstream < 1 + revision % (2 + index); ++upstream) {
            service.upstreams.push_back(Upstream{Endpoint{static_cast<std::uint32_t>(upstream + 1), 80}, AvailabilityZone{"zone0"}, false});
        }
        shard.services.push_back(service);
    }
    return shard;
}

} // namespace

FuzzFleet::FuzzFleet(int hosts, std::uint64_t seed)
    : membershipNetwork_(seed)
    , catalogueNetwork_(seed + 1)
{
    for (int number = 0; number < hosts; ++number) {
        FuzzHost host;
        host.id = hostNumber(number);
        host.zone = AvailabilityZone{fmt::format("zone{}", number % 3)};
        platform_.listed.push_back(ListedHost{endpointOf(host.id), host.zone, false});
        hosts_.push_back(std::move(host));
    }
    FuzzHost unlisted;
    unlisted.id = hostNumber(hosts);
    unlisted.zone = AvailabilityZone{"zone0"};
    hosts_.push_back(std::move(unlisted));
    publish();
    for (int number = 0; number <= hosts; ++number) {
        start(number);
    }
}

FuzzHost &FuzzFleet::at(int number)
{
    return hosts_.at(static_cast<std::size_t>(number) % hosts_.size());
}

void FuzzFleet::fail(const FuzzHost &host, const std::string &what)
{
    if (violation_.empty()) {
        violation_ = fmt::format("at {} ms host {}: {}", now_.time_since_epoch() / 1ms, addressToString(endpointOf(host.id).address), what);
    }
}

// Starts a host with empty state; restarts it if it is running.
void FuzzFleet::start(int number)
{
    auto &host = at(number);
    ++host.starts;
    const auto seed = host.id.value * 31 + host.starts;
    MembershipOptions membership;
    membership.self = host.id;
    membership.zone = host.zone;
    membership.incarnation = host.starts * 1000;
    membership.seed = seed;
    host.membership.emplace(membership);
    host.membership->setListed(platform_.listed, now_);
    CatalogueSyncOptions catalogue;
    catalogue.self = host.id;
    catalogue.zone = host.zone;
    catalogue.shards = {"services"};
    catalogue.seed = seed;
    host.catalogue.emplace(catalogue);
    host.catalogue->setView(host.membership->view(), now_);
    host.paused = false;
    host.left = false;
    host.lastRevision = 0;
    host.nextRead = now_;
    host.queuedMembership.clear();
    host.queuedCatalogue.clear();
}

void FuzzFleet::crash(int number)
{
    at(number).membership.reset();
    at(number).catalogue.reset();
}

void FuzzFleet::pause(int number)
{
    auto &host = at(number);
    host.pausedAt = host.paused ? host.pausedAt : now_;
    host.paused = true;
}

// Resumes a paused host. Queued messages are delivered before the next tick, while the view is still out of date:
// the core must detect the pause by itself.
void FuzzFleet::wake(int number)
{
    auto &host = at(number);
    if (!std::exchange(host.paused, false) || !host.membership) {
        return;
    }
    if (now_ > host.pausedAt + 2s && host.membership->isFresh(now_)) {
        fail(host, "was paused, but reports its view as fresh");
    }
    for (const auto &delivery : std::exchange(host.queuedMembership, {})) {
        deliver(host, delivery);
    }
    for (const auto &delivery : std::exchange(host.queuedCatalogue, {})) {
        deliver(host, delivery);
    }
}

void FuzzFleet::leave(int number)
{
    auto &host = at(number);
    if (host.membership && !host.paused) {
        host.membership->leave(now_);
        host.left = true;
    }
}

void FuzzFleet::setListed(int number, bool isListed)
{
    const auto &host = at(number);
    if (host.id == hosts_.back().id) {
        return;
    }
    std::erase_if(platform_.listed, [&host](const ListedHost &row) { return hostIdOf(row.address) == host.id; });
    if (isListed) {
        platform_.listed.push_back(ListedHost{endpointOf(host.id), host.zone, false});
    }
}

void FuzzFleet::cutOneWay(int from, int to)
{
    membershipNetwork_.cut(at(from).id, at(to).id);
    catalogueNetwork_.cut(at(from).id, at(to).id);
}

void FuzzFleet::cutZone(int zone)
{
    for (int inside = zone; inside < size(); inside += 3) {
        for (int outside = 0; outside < size(); ++outside) {
            if (outside % 3 != zone) {
                cutOneWay(inside, outside);
                cutOneWay(outside, inside);
            }
        }
    }
}

void FuzzFleet::setConditions(double loss, double repeat, Duration longestDelay)
{
    const NetworkConditions conditions{1ms, longestDelay, loss, repeat};
    membershipNetwork_.setConditions(conditions);
    catalogueNetwork_.setConditions(conditions);
}

void FuzzFleet::healAll()
{
    membershipNetwork_.healAll();
    catalogueNetwork_.healAll();
}

void FuzzFleet::publish()
{
    const auto revision = platform_.published.empty() ? 1 : platform_.published.rbegin()->first + 1;
    platform_.published.emplace(revision, shardAt(revision));
}

void FuzzFleet::setStale(bool isStale)
{
    platform_.staleRevision = isStale ? std::max<std::uint64_t>(1, platform_.published.rbegin()->first / 2) : 0;
}

void FuzzFleet::run(Duration span)
{
    const auto end = now_ + span;
    while (now_ < end && violation_.empty()) {
        step();
    }
}

void FuzzFleet::step()
{
    now_ += kStep;
    for (const auto &delivery : membershipNetwork_.arrived(now_)) {
        auto &host = at(static_cast<int>(endpointOf(delivery.to).address - 0x0a000000U));
        if (host.paused) {
            host.queuedMembership.push_back(delivery);
        } else {
            deliver(host, delivery);
        }
    }
    for (const auto &delivery : catalogueNetwork_.arrived(now_)) {
        auto &host = at(static_cast<int>(endpointOf(delivery.to).address - 0x0a000000U));
        if (host.paused) {
            host.queuedCatalogue.push_back(delivery);
        } else {
            deliver(host, delivery);
        }
    }
    for (auto &host : hosts_) {
        if (host.membership && !host.paused) {
            tickHost(host);
            checkHost(host);
        }
    }
}

void FuzzFleet::deliver(FuzzHost &host, const Delivery<MembershipMessage> &delivery)
{
    if (host.membership) {
        host.membership->receive(delivery.from, delivery.message, now_, membershipOutbox_);
        membershipNetwork_.send(host.id, membershipOutbox_, now_);
    }
}

void FuzzFleet::deliver(FuzzHost &host, const Delivery<CatalogueMessage> &delivery)
{
    if (host.catalogue) {
        host.catalogue->receive(delivery.from, delivery.message, now_, catalogueOutbox_);
        catalogueNetwork_.send(host.id, catalogueOutbox_, now_);
    }
}

void FuzzFleet::tickHost(FuzzHost &host)
{
    if (now_ >= host.nextRead) {
        host.nextRead = now_ + kReadInterval;
        readPlatform(host);
    }
    if (host.membership->nextTick() <= now_) {
        host.membership->tick(now_, membershipOutbox_);
        membershipNetwork_.send(host.id, membershipOutbox_, now_);
    }
    host.catalogue->setView(host.membership->view(), now_);
    if (host.catalogue->nextTick() <= now_) {
        host.catalogue->tick(now_, catalogueOutbox_);
        catalogueNetwork_.send(host.id, catalogueOutbox_, now_);
    }
}

void FuzzFleet::readPlatform(FuzzHost &host)
{
    host.membership->setListed(platform_.listed, now_);
    const auto revision = platform_.staleRevision != 0 ? platform_.staleRevision : platform_.published.rbegin()->first;
    if (!host.catalogue->shardsToRead().empty()) {
        host.catalogue->offer(platform_.published.at(revision), now_, catalogueOutbox_);
        catalogueNetwork_.send(host.id, catalogueOutbox_, now_);
    }
}

// Checks the invariants that hold at any time: a host's catalogue revision never decreases, the catalogue in force
// equals the published one, and the host that was never listed is not a member.
void FuzzFleet::checkHost(FuzzHost &host)
{
    const auto revision = host.catalogue->shardRevision("services");
    if (revision < host.lastRevision) {
        fail(host, fmt::format("the catalogue's revision decreased from {} to {}", host.lastRevision, revision));
    }
    if (revision != host.lastRevision && host.catalogue->inForce()->shards.front() != platform_.published.at(revision)) {
        fail(host, fmt::format("revision {} differs from the published one", revision));
    }
    host.lastRevision = revision;
    for (const auto &member : host.membership->view().members) {
        if (member.id == hosts_.back().id && host.id != member.id) {
            fail(host, "a host that was never listed is a member");
        }
    }
}

void FuzzFleet::checkConvergence()
{
    healAll();
    setConditions(0.0, 0.0, 3ms);
    for (int number = 0; number < size(); ++number) {
        wake(number);
        setListed(number, true);
    }
    run(kConvergenceTime);
    checkViews();
    std::uint64_t highest = 0;
    for (const auto &host : hosts_) {
        const bool isMember = host.catalogue && host.id != hosts_.back().id;
        highest = std::max(highest, isMember ? host.catalogue->shardRevision("services") : 0);
    }
    checkCatalogues(highest);
    setStale(false);
    run(5s);
    checkCatalogues(platform_.published.rbegin()->first);
}

// Checks that every view contains all running hosts, in the right state, and no host that is down.
void FuzzFleet::checkViews()
{
    for (const auto &observer : hosts_) {
        if (!observer.membership || observer.id == hosts_.back().id) {
            continue;
        }
        for (const auto &subject : hosts_) {
            const auto &members = observer.membership->view().members;
            const auto found
                = std::find_if(members.begin(), members.end(), [&subject](const Member &member) { return member.id == subject.id; });
            const bool expected = subject.membership && subject.id != hosts_.back().id;
            if (expected != (found != members.end())) {
                fail(observer,
                     fmt::format("{} is {} member", addressToString(endpointOf(subject.id).address), expected ? "not a" : "still a"));
            } else if (expected && found->state != (subject.left ? HostState::Leaving : HostState::Alive)) {
                fail(observer, fmt::format("{} is not in the expected state", addressToString(endpointOf(subject.id).address)));
            }
        }
        if (!observer.membership->isFresh(now_) || !observer.catalogue->readyToServe(now_)) {
            fail(observer, "not fresh or not ready");
        }
    }
}

void FuzzFleet::checkCatalogues(std::uint64_t expectedRevision)
{
    for (const auto &host : hosts_) {
        if (host.catalogue && host.id != hosts_.back().id && host.catalogue->shardRevision("services") != expectedRevision) {
            fail(host, fmt::format("has revision {}, expected {}", host.catalogue->shardRevision("services"), expectedRevision));
        }
    }
}

} // namespace medlarway
