#pragma once

#include "flows/flow_announcer.h"
#include "flows/flow_lookups.h"
#include "flows/flow_router.h"
#include "flows/flow_table.h"
#include "placement/generations.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace medlarway
{

/// The state of a FlowRouter. Packets are handled in flow_router_packets.cpp, messages in flow_router_messages.cpp.
struct FlowRouter::Impl {
    HostId self;
    FlowSettings settings;
    Time startedAt;
    Time nextTick;
    bool leaving = false;
    View receivedView; ///< as passed to setView; in the current generation this host may also be marked as leaving
    Generations generations;
    std::uint64_t placement = 0; ///< hash of the hosts that may own flows in the current view
    std::vector<HostId> bucketOwners; ///< cached owner of each bucket in the current view; host 0 if not computed yet
    std::vector<HostId> fullyAnnouncedHosts; ///< hosts that have announced all their flows under the current placement
    FlowTable table;
    FlowLookups lookups;
    FlowAnnouncer announcer;
    std::size_t expirySlot = 0;

    Impl(HostId self, const FlowSettings &settings, Time now);

    // Time and view.
    std::uint32_t toCoarse(Time now) const;
    std::uint32_t nearlyIdle(Time now) const;
    void applyView(Time now);
    void expire(Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);
    bool expireEntry(FlowEntry &entry, std::uint32_t now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);

    // Packets.
    std::optional<HostId> ownerOfFlow(const FlowKey &key);
    FlowDecision decide(const FlowKey &key, std::uint8_t hops, Time now, Outbox<FlowMessage> &outbox);
    FlowDecision decideFromEntry(FlowEntry &entry, std::uint8_t hops, Outbox<FlowMessage> &outbox);
    FlowDecision decideAsOwner(const FlowKey &key, HostId owner, Time now, Outbox<FlowMessage> &outbox);
    std::vector<HostId> possibleHolders(std::uint64_t bucket, HostId owner, Time now) const;
    bool canRelayTo(HostId holder, const Endpoint &upstream) const;

    // Look-ups.
    void endLookup(const FlowKey &key, HostId holder, const Endpoint &upstream, Time now, Outbox<FlowMessage> &outbox,
                   FlowDecisions &decisions);
    void answerDeferredClaims(const FlowLookup &lookup, const FlowKey &key, HostId holder, const Endpoint &upstream,
                              Outbox<FlowMessage> &outbox);

    // Messages.
    void receiveQuery(HostId from, const FlowKey &key, bool claims, Time now, Outbox<FlowMessage> &outbox);
    void receiveHolderFound(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);
    void receiveHolderUnknown(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);
    void receiveNotHolder(HostId from, const FlowKey &key);
    void receiveAnnounce(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);
    void applyAnnouncedFlow(HostId from, HostId holder, const FlowBinding &flow, Time now, Outbox<FlowMessage> &outbox,
                            FlowDecisions &decisions);
    void updateEntry(FlowEntry &entry, HostId from, HostId holder, const Endpoint &upstream, Time now, FlowDecisions &decisions);
    void noteAnnouncedPlacement(HostId from, const FlowMessage &message);

    // Entries.
    void setHolder(FlowEntry &entry, HostId holder);
    void noteUse(FlowEntry &entry, Time now) const;
    void becomeHolder(FlowEntry &entry);
    void takeOver(FlowEntry &entry);
    void yieldTo(FlowEntry &entry, HostId holder, const Endpoint &upstream, FlowDecisions &decisions);
};

/// Number of buckets. Owners are assigned to buckets of flows, so that each is computed at most once per view.
inline constexpr std::size_t kBuckets = 65'536;

/// The bucket of a flow; the same on every host.
inline std::size_t bucketOf(const FlowKey &key)
{
    return flowHash(key) % kBuckets;
}

/// True if the upstream of a flow is known.
constexpr bool isKnown(const Endpoint &upstream)
{
    return upstream.port != 0;
}

/// Creates a message about one flow.
FlowMessage makeFlowMessage(FlowMessageKind kind, const FlowKey &key, HostId holder = {}, const Endpoint &upstream = {});

} // namespace medlarway
