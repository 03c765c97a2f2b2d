#pragma once

#include "load/fleet_demand.h"
#include "load_exchange/demand_exchange.h"
#include "replication/follower.h"
#include "steering/directory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// Functions of the owner of a DemandFeed, called on the thread that runs the context. Those that are not set are not called.
struct DemandFeedCallbacks {
    std::function<std::vector<ServiceDemand>()> own; ///< what callers ask of this host
    std::function<void(std::vector<ZoneDemand> demand)> setFleet; ///< takes what is known of all zones
    std::function<void(std::size_t hosts)> setZoneHosts; ///< takes the number of hosts in this host's zone
    std::function<void()> beforeUse; ///< called before the exchange does something, to detect a pause of the process
    SlotsOf slotsOf; ///< without it no service is known, and no demand of others is taken
};

/// The slots of the listed upstreams of a service; nullopt if it has none.
std::optional<double> slotsOf(const UpstreamDirectory &directory, const std::string &service);

/// The exchange of what callers ask between entry hosts: timer and messages of a DemandExchange. The owner sends and receives the
/// datagrams. Runs on the context's thread.
class DemandFeed
{
public:
    using Send = std::function<void(HostId to, const DemandMessage &message)>;

    DemandFeed(boost::asio::io_context &context, const FollowerOptions &options, const Follower &follower, Send send,
               DemandFeedCallbacks callbacks);

    void start();

    /// Handle the encoded message of another host. Throw Error if it is refused.
    void onReport(HostId from, std::string_view body);
    void onReply(HostId from, std::string_view body);

    void onPause();

private:
    void update();
    void sendDue(Time now);
    void passOn(Time now);
    void scheduleUpdate(Time earliest);

    const Follower &follower_;
    Send send_;
    DemandFeedCallbacks callbacks_;
    DemandExchange exchange_;
    boost::asio::steady_timer timer_;
    Outbox<DemandMessage> outbox_;
    bool fleetKnown_ = false; ///< the owner was told of some demand
    std::size_t zoneHosts_ = 0; ///< as the owner was told
};

} // namespace medlarway
