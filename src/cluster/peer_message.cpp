#include "cluster/peer_message.h"

#include "peering/codec.h"

#include <array>

namespace medlarway
{

namespace
{

// Decodes the body as the alternative whose index equals kind.
template<std::size_t Index = 0>
PeerMessage decodeAlternative(std::uint8_t kind, std::string_view body)
{
    if constexpr (Index < kPeerMessageKinds) {
        if (kind == Index) {
            return decodeMessage<std::variant_alternative_t<Index, PeerMessage>>(body);
        }
        return decodeAlternative<Index + 1>(kind, body);
    } else {
        throw Error(ErrorKind::PeerMalformed, "unknown kind of peer message");
    }
}

MessagePriority priorityOfKind(const MembershipMessage & /*message*/)
{
    return MessagePriority::High;
}

// Digests are sent periodically anyway; a part that was not sent is requested again.
MessagePriority priorityOfKind(const CatalogueMessage &message)
{
    return message.kind == CatalogueMessageKind::Digest ? MessagePriority::Low : MessagePriority::Normal;
}

MessagePriority priorityOfKind(const GuardMessage & /*message*/)
{
    return MessagePriority::High;
}

MessagePriority priorityOfKind(const ServiceSlotMessage & /*message*/)
{
    return MessagePriority::Normal;
}

MessagePriority priorityOfKind(const ServiceFlowMessage & /*message*/)
{
    return MessagePriority::High;
}

MessagePriority priorityOfKind(const BootNotice & /*message*/)
{
    return MessagePriority::High;
}

} // namespace

std::string_view peerMessageKindName(std::size_t kind)
{
    static constexpr std::array<std::string_view, kPeerMessageKinds> kNames{"membership", "catalogue", "guard",
                                                                            "slot",       "flow",      "boot_notice"};
    return kNames.at(kind);
}

// Messages per request have a budget of their own. If load could use up the budget of the probes, healthy hosts would
// seem lost.
TrafficClass trafficClassOf(const PeerMessage &message)
{
    const bool perRequest = std::holds_alternative<GuardMessage>(message) || std::holds_alternative<ServiceSlotMessage>(message)
                            || std::holds_alternative<ServiceFlowMessage>(message);
    return perRequest ? TrafficClass::Request : TrafficClass::Control;
}

MessagePriority priorityOf(const PeerMessage &message)
{
    return std::visit([](const auto &body) { return priorityOfKind(body); }, message);
}

std::string encodePeerMessage(const PeerMessage &message)
{
    return std::visit([](const auto &body) { return encodeMessage(body); }, message);
}

PeerMessage decodePeerMessage(std::uint8_t kind, std::string_view body)
{
    return decodeAlternative(kind, body);
}

} // namespace medlarway
