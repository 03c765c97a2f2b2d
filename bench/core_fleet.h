#pragma once

#include "harness/message_network.h"
#include "peering/codec.h"
#include "peering/envelope.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace medlarway
{

/// The messages and processor time of a fleet of cores since the last reset.
struct FleetCost {
    std::size_t messages = 0;
    std::size_t bytes = 0; ///< of encoded messages with their envelopes, without TCP and IP headers
    std::size_t maxMessageBytes = 0;
    std::size_t calls = 0; ///< calls of receive and tick
    std::chrono::nanoseconds callTime{0}; ///< spent in these calls
};

/// Simulates a fleet of decision cores of one type in a single loop, with a simulated clock and network. Message sizes are
/// those of the real codec.
template<class Core, class Message>
class CoreFleet
{
public:
    CoreFleet(std::uint64_t seed, NetworkConditions conditions)
        : network(seed, conditions)
    {
    }

    void put(HostId id, Core core)
    {
        cores.insert_or_assign(id, std::move(core));
    }

    /// Sends the messages that a call of a core added to the outbox.
    void flush(HostId from)
    {
        for (const auto &outgoing : outbox) {
            const auto bytes = encodeMessage(outgoing.message).size() + kEnvelopeBytes;
            ++cost.messages;
            cost.bytes += bytes;
            cost.maxMessageBytes = std::max(cost.maxMessageBytes, bytes);
        }
        network.send(from, outbox, now);
    }

    /// Runs until the condition holds or the timeout expires. Checks the condition once per poll interval. Returns the
    /// simulated time that passed.
    template<class Condition>
    Duration runUntil(Duration timeout, Condition holds, Duration pollInterval = std::chrono::milliseconds{100})
    {
        const auto start = now;
        auto nextPoll = now;
        while (now < start + timeout) {
            if (now >= nextPoll) {
                nextPoll = now + pollInterval;
                if (holds()) {
                    break;
                }
            }
            step();
        }
        return now - start;
    }

    void run(Duration span)
    {
        runUntil(span, [] { return false; });
    }

    Time now;
    std::map<HostId, Core> cores;
    MessageNetwork<Message> network;
    Outbox<Message> outbox;
    FleetCost cost;

private:
    static constexpr Duration kStep = std::chrono::milliseconds{5};

    void step()
    {
        now += kStep;
        for (auto &delivery : network.arrived(now)) {
            const auto found = cores.find(delivery.to);
            if (found != cores.end()) {
                timed([&] { found->second.receive(delivery.from, delivery.message, now, outbox); });
                flush(delivery.to);
            }
        }
        for (auto &entry : cores) {
            auto &core = entry.second;
            if (core.nextTick() <= now) {
                timed([&] { core.tick(now, outbox); });
                flush(entry.first);
            }
        }
    }

    template<class Call>
    void timed(Call call)
    {
        const auto start = std::chrono::steady_clock::now();
        call();
        cost.callTime += std::chrono::steady_clock::now() - start;
        ++cost.calls;
    }
};

/// The fleet sizes to measure: the one given as the second argument, or the default sizes. Makes stdout line-buffered.
inline std::vector<std::size_t> fleetSizes(int argc, char **argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    if (argc > 2) {
        return {std::strtoul(argv[2], nullptr, 10)};
    }
    return {5, 50, 890};
}

/// The id of the host with this number.
inline HostId benchHost(std::size_t number)
{
    return hostIdOf(Endpoint{0x0a000000U + static_cast<std::uint32_t>(number), 7000});
}

/// The availability zone of the host with this number. There are five zones.
inline AvailabilityZone benchZone(std::size_t number)
{
    return AvailabilityZone{"zone-" + std::to_string(number % 5)};
}

} // namespace medlarway
