#include "entry/demand_feed.h"

#include "base/contained.h"
#include "base/hash.h"
#include "load_exchange/collectors.h"
#include "peering/codec.h"

#include <utility>

namespace medlarway
{

namespace
{

DemandExchangeOptions exchangeOptions(const FollowerOptions &options)
{
    return {options.self, options.zone, static_cast<std::uint16_t>(mixBits(options.seed))};
}

} // namespace

std::optional<double> slotsOf(const UpstreamDirectory &directory, const std::string &service)
{
    double slots = 0;
    for (const auto index : directory.listedUpstreams(service)) {
        slots += directory.at(index).entry.slots;
    }
    return slots > 0 ? std::optional(slots) : std::nullopt;
}

DemandFeed::DemandFeed(boost::asio::io_context &context, const FollowerOptions &options, const Follower &follower, Send send,
                       DemandFeedCallbacks callbacks)
    : follower_(follower)
    , send_(std::move(send))
    , callbacks_(std::move(callbacks))
    , exchange_(exchangeOptions(options))
    , timer_(context)
{
    if (!callbacks_.slotsOf) {
        callbacks_.slotsOf = [](const std::string & /*service*/) { return std::optional<double>{}; };
    }
}

void DemandFeed::start()
{
    update();
}

void DemandFeed::onReport(HostId from, std::string_view body)
{
    exchange_.onReport(from, decodeMessage<DemandReport>(body), callbacks_.slotsOf, monotonicNow());
    update();
}

void DemandFeed::onReply(HostId from, std::string_view body)
{
    exchange_.onReply(from, decodeMessage<DemandReply>(body), callbacks_.slotsOf, monotonicNow());
    update();
}

void DemandFeed::onPause()
{
    exchange_.onPause(monotonicNow());
}

void DemandFeed::update()
{
    const auto now = monotonicNow();
    const bool complete = contain("exchange of demand", [this, now] { sendDue(now); });
    scheduleUpdate(complete ? Time{} : now + kRestartPause);
}

void DemandFeed::sendDue(Time now)
{
    const auto &options = follower_.options();
    const CollectorZone zone{options.self, follower_.source(), follower_.hosts().ranked(options.zone, kReportedHosts),
                             follower_.knownZoneHosts()};
    const auto own = callbacks_.own ? callbacks_.own() : std::vector<ServiceDemand>{};
    exchange_.tick(own, demandTargets(zone, options.seeds), now, outbox_);
    for (const auto &[to, message] : std::exchange(outbox_, {})) {
        send_(to, message);
    }
    passOn(now);
}

void DemandFeed::passOn(Time now)
{
    auto demand = exchange_.fleetDemand(now);
    const bool known = !demand.empty();
    if (callbacks_.setFleet && (known || fleetKnown_)) {
        callbacks_.setFleet(std::move(demand));
    }
    fleetKnown_ = known;
    const auto hosts = follower_.knownZoneHosts();
    if (callbacks_.setZoneHosts && hosts != zoneHosts_) {
        callbacks_.setZoneHosts(hosts);
    }
    zoneHosts_ = hosts;
}

void DemandFeed::scheduleUpdate(Time earliest)
{
    timer_.expires_at(std::chrono::time_point_cast<std::chrono::steady_clock::duration>(std::max(exchange_.nextTick(), earliest)));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            if (callbacks_.beforeUse) {
                contain("exchange of demand", callbacks_.beforeUse);
            }
            update();
        }
    });
}

} // namespace medlarway
