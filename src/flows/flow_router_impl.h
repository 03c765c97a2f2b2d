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

/// The state of a FlowRouter. Packets are decided in flow_packets.cpp, messages in flow_peers.cpp.
struct FlowRouter::Impl {
    HostId self;
    FlowSettings settings;
    Time startedAt;
    Time nextTick;
    bool leaving = false;
    View seen; ///< as it was given; differs from the current generation while this host is leaving
    Generations generations;
    std::uint64_t placement = 0; ///< a hash of the hosts that own flows now
    std::vector<HostId> bucketOwners; ///< of the current view, by bucket; host 0 where not worked out yet
    std::vector<HostId> settledHosts; ///< they have announced all flows of this placement
    FlowTable table;
    FlowLookups lookups;
    FlowAnnouncer announcer;
    std::size_t expirySlot = 0;

    Impl(HostId self, const FlowSettings &settings, Time now);

    // Time and view.
    std::uint32_t coarse(Time now) const;
    std::uint32_t almostIdle(Time now) const;
    void applyView(Time now);
    void expire(Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);
    bool expireEntry(FlowEntry &entry, std::uint32_t now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);

    // Packets.
    std::optional<HostId> ownerOfFlow(const FlowKey &key);
    FlowDecision decide(const FlowKey &key, std::uint8_t hops, Time now, Outbox<FlowMessage> &outbox);
    FlowDecision decideKnown(FlowEntry &entry, std::uint8_t hops, Outbox<FlowMessage> &outbox);
    FlowDecision decideAsOwner(const FlowKey &key, HostId owner, Time now, Outbox<FlowMessage> &outbox);
    std::vector<HostId> possibleHolders(std::uint64_t bucket, HostId owner, Time now) const;
    bool isUsable(HostId holder, const Endpoint &upstream) const;

    // Look-ups.
    void endLookup(const FlowKey &key, HostId holder, const Endpoint &upstream, Time now, Outbox<FlowMessage> &outbox,
                   FlowDecisions &decisions);
    void answerDeferred(const FlowLookup &lookup, const FlowKey &key, HostId holder, const Endpoint &upstream, Outbox<FlowMessage> &outbox);

    // Messages.
    void receiveAsk(HostId from, const FlowKey &key, bool claims, Time now, Outbox<FlowMessage> &outbox);
    void receiveFound(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);
    void receiveUnknown(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);
    void receiveNotHeld(HostId from, const FlowKey &key);
    void receiveAnnounce(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);
    void takeIn(HostId from, HostId holder, const FlowBinding &flow, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);
    void updateEntry(FlowEntry &entry, HostId from, HostId holder, const Endpoint &upstream, Time now, FlowDecisions &decisions);
    void noteSettled(HostId from, const FlowMessage &message);

    // Entries.
    void setHolder(FlowEntry &entry, HostId holder);
    void noteUse(FlowEntry &entry, Time now) const;
    void becomeHolder(FlowEntry &entry);
    void takeOver(FlowEntry &entry);
    void giveWay(FlowEntry &entry, HostId holder, const Endpoint &upstream, FlowDecisions &decisions);
};

/// Flows are placed by buckets, so that the owner of a bucket is worked out once for each view.
inline constexpr std::size_t kBuckets = 65'536;

/// The bucket of a flow, the same on every host.
inline std::size_t bucketOf(const FlowKey &key)
{
    return flowHash(key) % kBuckets;
}

/// True where the upstream of a flow is known.
constexpr bool isKnown(const Endpoint &upstream)
{
    return upstream.port != 0;
}

/// A message about one flow.
FlowMessage flowMessage(FlowMessageKind kind, const FlowKey &key, HostId holder = {}, const Endpoint &upstream = {});

} // namespace medlarway
