#pragma once

#include "balance/dispatcher.h"
#include "base/host.h"
#include "catalogue/catalogue_message.h"
#include "flows/flow_message.h"
#include "guard/guard_message.h"
#include "membership/message.h"
#include "peering/byte_budget.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace medlarway
{

/// A message between the dispatchers of one service on two hosts.
struct ServiceSlotMessage {
    std::string service;
    SlotMessage message;
};

/// A message between the flow routers of one service on two hosts.
struct ServiceFlowMessage {
    std::string service;
    FlowMessage message;
};

/// Notifies a host that its boot number is not above the highest known for it, for instance since its clock was set back.
struct BootNotice {
    std::uint64_t knownBoot = 0;
};

/// All messages between hosts over the control channel. The index of an alternative is the kind in the envelope, so new
/// alternatives are added at the end only.
using PeerMessage = std::variant<MembershipMessage, CatalogueMessage, GuardMessage, ServiceSlotMessage, ServiceFlowMessage, BootNotice>;

/// The number of kinds of peer messages.
inline constexpr std::size_t kPeerMessageKinds = std::variant_size_v<PeerMessage>;

/// The name of a kind in the state dump and the byte counters.
std::string_view peerMessageKindName(std::size_t kind);

/// Determines which byte budget a message is charged to.
enum class TrafficClass : std::uint8_t {
    Control, ///< sent whatever the load
    Request, ///< sent for the callers' requests and flows, so grows with them
};

/// The class of a message.
TrafficClass trafficClassOf(const PeerMessage &message);

/// The priority of a message when its budget runs short.
MessagePriority priorityOf(const PeerMessage &message);

/// Encodes the body of a message. It must be sealed together with its kind, the variant's index.
std::string encodePeerMessage(const PeerMessage &message);

/// Decodes a body of the given kind. Throws Error(PeerMalformed) if the kind is unknown or the body invalid.
PeerMessage decodePeerMessage(std::uint8_t kind, std::string_view body);

} // namespace medlarway
