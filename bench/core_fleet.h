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

/// What a set of cores cost since the last reset.
struct FleetCost {
    std::size_t messages = 0;
    std::size_t bytes = 0; ///< encoded and sealed; without TCP and IP headers
    std::size_t largest = 0; ///< bytes of the largest message
    std::size_t calls = 0;
    std::chrono::nanoseconds processor{0}; ///< spent inside the cores
};

/// Many decision cores of one kind in one loop, with a clock, a delay queue and the real codec's sizes.
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

    /// Sends what a call into a core left in the outbox.
    void flush(HostId from)
    {
        for (const auto &outgoing : outbox) {
            const auto bytes = encodeMessage(outgoing.message).size() + kEnvelopeBytes;
            ++cost.messages;
            cost.bytes += bytes;
            cost.largest = std::max(cost.largest, bytes);
        }
        network.send(from, outbox, now);
    }

    /// Runs until the moment or until the condition holds, asked at the given interval. Returns the span that passed.
    template<class Condition>
    Duration runUntil(Duration longest, Condition holds, Duration poll = std::chrono::milliseconds{100})
    {
        const auto start = now;
        auto nextPoll = now;
        while (now < start + longest) {
            if (now >= nextPoll) {
                nextPoll = now + poll;
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
        const auto begin = std::chrono::steady_clock::now();
        call();
        cost.processor += std::chrono::steady_clock::now() - begin;
        ++cost.calls;
    }
};

/// Sizes of fleets to measure: all that the pages name, or the one that the command line asks for.
inline std::vector<std::size_t> fleetSizes(int argc, char **argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    if (argc > 2) {
        return {std::strtoul(argv[2], nullptr, 10)};
    }
    return {5, 50, 890};
}

/// The id of a numbered host of a bench.
inline HostId benchHost(std::size_t number)
{
    return hostIdOf(Endpoint{0x0a000000U + static_cast<std::uint32_t>(number), 7000});
}

/// The zone of a numbered host, of five.
inline AvailabilityZone benchZone(std::size_t number)
{
    return AvailabilityZone{"zone-" + std::to_string(number % 5)};
}

} // namespace medlarway
