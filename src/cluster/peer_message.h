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

/// Tells a host that its boot number is not above one that is known of it, as after its clock went back.
struct BootNotice {
    std::uint64_t known = 0;
};

/// Everything that hosts tell each other over the control channel. The position in the list is the
/// kind that the envelope carries: new ones are added at the end only.
using PeerMessage = std::variant<MembershipMessage, CatalogueMessage, GuardMessage, ServiceSlotMessage, ServiceFlowMessage, BootNotice>;

/// How many kinds of peer messages there are.
inline constexpr std::size_t kPeerMessageKinds = std::variant_size_v<PeerMessage>;

/// The names of the kinds, for the state dump and the counters of bytes.
std::string_view peerMessageKindName(std::size_t kind);

/// What a message is sent for, and so which budget it is taken from.
enum class TrafficClass : std::uint8_t {
    Control, ///< what hosts tell each other whatever the load
    Request, ///< grows with the callers' requests and flows
};

/// The class of a message.
TrafficClass trafficClassOf(const PeerMessage &message);

/// How much a message matters where its budget runs short.
MessagePriority priorityOf(const PeerMessage &message);

/// The body of a message, to be sealed with its kind, the variant's index.
std::string encodePeerMessage(const PeerMessage &message);

/// Reads a body of a kind. Throws Error(PeerMalformed).
PeerMessage decodePeerMessage(std::uint8_t kind, std::string_view body);

} // namespace medlarway
