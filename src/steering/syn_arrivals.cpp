#include "steering/syn_arrivals.h"

#include <array>
#include <chrono>

namespace medlarway
{

namespace
{

using std::chrono::milliseconds;

// Time from each copy of a SYN to the next, and from the last one until the client gives up.
constexpr std::array<Duration, kMaxSyns> kCopyIntervals{milliseconds{200}, milliseconds{400}, milliseconds{800}};

// A client sends a packet again after this time at the earliest.
constexpr Duration kRetransmission = milliseconds{200};

// How much longer a SYN may have been on its way, or in this host's socket, than a later packet.
constexpr Duration kArrivalJitter = milliseconds{20};

} // namespace

SynArrivals firstArrival(const FlowPacket &syn, Time now)
{
    return {now - syn.waited, syn.earlierSyns, syn.earlierSyns == 0 || syn.allSynsHere};
}

SynArrivals addArrival(const SynArrivals &before, const FlowPacket &syn, Time now)
{
    return {now - syn.waited, syn.earlierSyns, before.complete && syn.earlierSyns == before.copy + 1};
}

// The packets that the client sends at once when it accepts a SYN-ACK have the token of the accepted upstream. Any other upstream that got
// a copy of the SYN repeats its own SYN-ACK for seconds, so that a later packet, first a retransmission, may have that one's token. If all
// copies went to one upstream there is no other, unless the client has sent the next copy meanwhile, through another host.
bool showsAcceptedUpstream(const SynArrivals &arrivals, bool severalUpstreams, Time now)
{
    const bool isOnly = arrivals.complete && !severalUpstreams;
    const auto nextCopy = isOnly ? kCopyIntervals.at(arrivals.copy) : Duration{};
    return now - arrivals.latest < nextCopy + kRetransmission - kArrivalJitter;
}

} // namespace medlarway
