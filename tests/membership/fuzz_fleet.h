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

/// The platform's stand-in: a list of hosts and one shard, which may be read from a stale replica.
struct FuzzPlatform {
    std::vector<ListedHost> listed;
    std::map<std::uint64_t, CatalogueShard> published; ///< all that was ever published, by revision
    std::uint64_t staleRevision = 0; ///< what readers get while it is not 0
};

/// One host of the fuzz run; without cores it is down.
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
    std::uint64_t lastRevision = 0; ///< highest that was seen since the last start
    std::vector<Delivery<MembershipMessage>> heldMembership; ///< arrived while it was paused
    std::vector<Delivery<CatalogueMessage>> heldCatalogue;
};

/// Hosts with both cores in one loop. Every step is checked; a broken rule is kept as text.
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

    /// Ends every fault but a stale platform, waits the bounded time, and checks what must hold then.
    void checkConvergence();

    /// The first rule that was broken; empty where none was.
    const std::string &fault() const
    {
        return fault_;
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
    void checkCatalogues(std::uint64_t least);
    void fail(const FuzzHost &host, const std::string &what);
    FuzzHost &at(int number);

    Time now_;
    std::vector<FuzzHost> hosts_; ///< the last one is never listed
    FuzzPlatform platform_;
    MessageNetwork<MembershipMessage> membershipNetwork_;
    MessageNetwork<CatalogueMessage> catalogueNetwork_;
    Outbox<MembershipMessage> membershipOutbox_;
    Outbox<CatalogueMessage> catalogueOutbox_;
    std::string fault_;
};

} // namespace medlarway
