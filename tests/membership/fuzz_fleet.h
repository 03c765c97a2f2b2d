#pragma once

#include "catalogue/catalogue_sync.h"
#include "harness/message_network.h"
#include "membership/membership.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// A simulated platform with a host list and one shard, which may be read from a stale replica.
struct FuzzPlatform {
    std::vector<ListedHost> listed;
    std::map<std::uint64_t, CatalogueShard> published; ///< every published shard, by revision
    std::uint64_t staleRevision = 0; ///< revision that reads return; 0 for the newest
};

/// One simulated host; it is down while it has no cores.
struct FuzzHost {
    HostId id;
    AvailabilityZone zone;
    std::optional<Membership> membership;
    std::optional<CatalogueSync> catalogue;
    bool paused = false;
    bool left = false;
    Time pausedAt;
    Time nextRead;
    std::uint64_t starts = 0;
    std::uint64_t lastRevision = 0; ///< revision in force after the last step; 0 after a start
    std::vector<Delivery<MembershipMessage>> queuedMembership; ///< messages that arrived while the host was paused
    std::vector<Delivery<CatalogueMessage>> queuedCatalogue; ///< messages that arrived while the host was paused
};

/// Runs the membership and catalogue cores of all hosts in one loop and checks the invariants after every step.
class FuzzFleet
{
public:
    FuzzFleet(int hosts, std::uint64_t seed);

    void start(int number);
    void crash(int number);
    void pause(int number);
    void wake(int number);
    void leave(int number);
    void setListed(int number, bool isListed);
    void cutZone(int zone);
    void cutOneWay(int from, int to);
    void setConditions(double loss, double repeat, Duration longestDelay);
    void healAll();
    void publish();
    void setStale(bool isStale);
    void run(Duration span);

    /// Ends every fault except stale platform reads, waits for convergence and checks that all views and catalogues
    /// agree; then ends the stale reads and checks that the newest catalogue is in force.
    void checkConvergence();

    /// Describes the first violated invariant; empty if there is none.
    const std::string &violation() const
    {
        return violation_;
    }

    int size() const
    {
        return static_cast<int>(hosts_.size());
    }

private:
    void step();
    void deliver(FuzzHost &host, const Delivery<MembershipMessage> &delivery);
    void deliver(FuzzHost &host, const Delivery<CatalogueMessage> &delivery);
    void tickHost(FuzzHost &host);
    void readPlatform(FuzzHost &host);
    void checkHost(FuzzHost &host);
    void checkViews();
    void checkCatalogues(std::uint64_t expectedRevision);
    void fail(const FuzzHost &host, const std::string &what);
    FuzzHost &at(int number);

    Time now_;
    std::vector<FuzzHost> hosts_; ///< the last host is never on the platform's list
    FuzzPlatform platform_;
    MessageNetwork<MembershipMessage> membershipNetwork_;
    MessageNetwork<CatalogueMessage> catalogueNetwork_;
    Outbox<MembershipMessage> membershipOutbox_;
    Outbox<CatalogueMessage> catalogueOutbox_;
    std::string violation_;
};

} // namespace medlarway
