#include "base/errors.h"
#include "peering/codec.h"
#include "replication/follower.h"
#include "replication/held_requests.h"

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

} // namespace

// Gives arbitrary requests, replies and pages of other hosts to a follower. The first byte selects the kind. No input may make the follower
// believe that its data was confirmed after the present moment.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view body(reinterpret_cast<const char *>(data) + 1, size - 1);
    const Time now = Time{} + std::chrono::hours{1};
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
        if (data[0] % 3 == 0) {
            const auto request = decodeChecked<FeedRequest>(body);
            follower.onRequest(kPeer, request, now);
            held.add(kPeer, request, {}, options.timing.maxAge, now);
            held.takeAnswerable({}, now);
        } else if (data[0] % 3 == 1) {
            auto reply = decodeChecked<FeedReply>(body);
            reply.number = outbox.front().message.number;
            follower.onReply(kPeer, reply, now);
        } else {
            const auto page = decodeChecked<FeedPage>(body);
            follower.onFetched(kPeer, true, page.confirmedAgo, now);
            decodeChecked<SteeringDelta>(page.delta);
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
