#include "base/errors.h"
#include "load_exchange/demand_exchange.h"
#include "peering/codec.h"
#include "replication/follower.h"
#include "replication/held_requests.h"
#include "replication/packed_delta.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

namespace
{

using namespace medlarway;

constexpr HostId kSelf{0x7f0000010001};
constexpr HostId kPeer{0x7f0000020001};

// Encoding an accepted message, decoding it and encoding it again must give the same bytes.
template<class T>
T decodeChecked(std::string_view body)
{
    const auto message = decodeMessage<T>(body);
    const auto encoded = encodeMessage(message);
    if (encodeMessage(decodeMessage<T>(encoded)) != encoded) {
        std::abort();
    }
    return message;
}

// No report or reply may make a host know a demand of a service without slots, or one measured after the present moment or too long ago.
void exchangeDemand(bool reply, std::string_view body, Time now)
{
    const SlotsOf slotsOf = [](const std::string &service) { return service.size() < 4 ? std::optional(10.0) : std::nullopt; };
    DemandExchange exchange({kSelf, {"z"}, 0});
    Outbox<DemandMessage> outbox;
    const std::vector<ServiceDemand> own{{"a", 1, true}, {"b", 2, false}};
    const DemandTargets targets{{kPeer}, {kPeer}, false, true};
    exchange.tick(own, targets, now, outbox);
    try {
        if (reply) {
            auto message = decodeChecked<DemandReply>(body);
            message.number = std::get<DemandReport>(outbox.front().message).number;
            exchange.onReply(kPeer, message, slotsOf, now);
        } else {
            exchange.onReport(kPeer, decodeChecked<DemandReport>(body), slotsOf, now);
        }
    } catch (const Error &error) {
        if (error.kind() != ErrorKind::PeerMalformed && error.kind() != ErrorKind::PeerOversized) {
            std::abort();
        }
    }
    const auto later = now + std::chrono::milliseconds{300};
    exchange.tick(own, targets, later, outbox);
    for (const auto &demand : exchange.fleetDemand(later)) {
        if (demand.service.size() >= 4 || demand.toldAt > later || later - demand.toldAt >= kDemandLifetime) {
            std::abort();
        }
    }
    for (const auto &[to, message] : outbox) {
        if (std::visit([](const auto &content) { return encodeMessage(content).size() > kMaxDemandBytes; }, message)) {
            std::abort();
        }
    }
    if (exchange.nextTick() <= later) {
        std::abort();
    }
}

} // namespace

// Gives arbitrary requests, replies, pages and demands of other hosts to a host. The first byte selects the kind. No input may make the
// follower believe that its data was confirmed after the present moment.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view body(reinterpret_cast<const char *>(data) + 1, size - 1);
    const Time now = Time{} + std::chrono::hours{1};
    if (data[0] % 5 >= 3) {
        exchangeDemand(data[0] % 5 == 3, body, now);
        return 0;
    }
    FollowerOptions options;
    options.self = kSelf;
    options.zone.name = "z";
    options.seeds = {kPeer};
    options.timing = timingFor({});
    Follower follower(options, now);
    HeldRequests held;
    Outbox<FeedRequest> outbox;
    follower.tick({}, false, now, outbox);
    try {
        if (data[0] % 5 == 0) {
            const auto request = decodeChecked<FeedRequest>(body);
            follower.onRequest(kPeer, request, now);
            held.add(kPeer, request, {}, options.timing.maxAge, now);
            held.takeAnswerable({}, now);
        } else if (data[0] % 5 == 1) {
            auto reply = decodeChecked<FeedReply>(body);
            if (reply.packed) {
                reply.delta = unpackDelta(*reply.packed);
            }
            reply.number = outbox.front().message.number;
            follower.onReply(kPeer, reply, now);
        } else {
            const auto page = decodeChecked<FeedPage>(body);
            follower.onFetched(kPeer, true, page.confirmedAgo, now);
            if (page.packed) {
                unpackDelta(decodeMessage<PackedDelta>(page.delta));
            } else {
                decodeChecked<SteeringDelta>(page.delta);
            }
        }
    } catch (const Error &error) {
        if (error.kind() != ErrorKind::PeerMalformed && error.kind() != ErrorKind::PeerOversized) {
            std::abort();
        }
    }
    follower.tick({{1, 5}, 1}, false, now, outbox);
    if (follower.confirmedAt() > now || follower.nextTick() <= now) {
        std::abort();
    }
    return 0;
}
