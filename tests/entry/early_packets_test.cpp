#include "entry/early_packets.h"

#include <doctest/doctest.h>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

FlowPacket packetOf(std::uint16_t port, bool syn, std::uint32_t acknowledged = 0)
{
    FlowPacket packet;
    packet.flow = {{0x64400001, port}, {0xc6120001, 443}};
    packet.syn = syn;
    packet.acknowledged = acknowledged;
    packet.earlierSyns = syn && acknowledged < kMaxSyns ? static_cast<std::uint8_t>(acknowledged) : 0;
    return packet;
}

} // namespace

TEST_CASE("packets that arrive before the host has the platform's data")
{
    boost::asio::io_context context;
    bool usable = false;
    std::vector<std::uint8_t> processed; // first byte of each
    std::vector<std::uint16_t> expired; // ports
    EarlyPackets::Callbacks callbacks;
    callbacks.beforeUse = [] {};
    callbacks.usable = [&usable] { return usable; };
    std::vector<EarlyPackets::Arrival> arrivals;
    callbacks.process = [&](auto datagrams, auto arrivalsOfPackets) {
        for (const auto datagram : datagrams) {
            processed.push_back(datagram.front());
        }
        arrivals.assign(arrivalsOfPackets.begin(), arrivalsOfPackets.end());
    };
    callbacks.expired = [&expired](const FlowPacket &packet, Duration) { expired.push_back(packet.flow.client.port); };
    EarlyPackets early(context, callbacks);
    const auto keep
        = [&early](const FlowPacket &packet, std::uint8_t mark, Time at) { early.keep(packet, std::vector<std::uint8_t>{mark}, at); };
    const Time start{10s};

    SUBCASE("are decided on in order of arrival once it has, and only once")
    {
        keep(packetOf(1, true), 1, start);
        keep(packetOf(2, false), 2, start + 1ms);
        early.update(start + 2ms);
        CHECK(processed.empty());
        usable = true;
        early.update(start + 150ms);
        early.update(start + 151ms);
        CHECK(processed == std::vector<std::uint8_t>{1, 2});
        CHECK(expired.empty());
    }
    SUBCASE("are dropped when the client has sent them again, which may have been through another host")
    {
        keep(packetOf(1, true), 1, start); // sent again after 200 ms
        keep(packetOf(2, true, 1), 2, start); // after another 400 ms
        keep(packetOf(3, true, 2), 3, start); // not again; the client gives up after another 800 ms
        keep(packetOf(4, false), 4, start); // after 200 ms
        keep(packetOf(5, true, 77), 5, start); // not the protocol's
        usable = true;
        early.update(start + 300ms);
        CHECK(processed == std::vector<std::uint8_t>{2, 3});
        CHECK(expired == std::vector<std::uint16_t>{1, 4, 5});
    }
    SUBCASE("include one copy of a SYN, as a second one would count against the upstream")
    {
        keep(packetOf(1, true), 1, start);
        keep(packetOf(1, true, 1), 2, start + 199ms);
        usable = true;
        early.update(start + 199ms);
        CHECK(processed == std::vector<std::uint8_t>{2});
    }
    SUBCASE("come with the time that they waited and whether all copies of a SYN were kept, as its flow may be open elsewhere otherwise")
    {
        keep(packetOf(1, true), 1, start);
        early.update(start + 200ms); // drops it
        keep(packetOf(1, true, 1), 2, start + 201ms);
        keep(packetOf(2, true, 1), 3, start + 202ms);
        usable = true;
        early.update(start + 401ms);
        REQUIRE(processed == std::vector<std::uint8_t>{2, 3});
        CHECK(arrivals[0].waited == 200ms);
        CHECK(arrivals[0].allSynsHere);
        CHECK_FALSE(arrivals[1].allSynsHere);
    }
    SUBCASE("are dropped after a pause of the process")
    {
        keep(packetOf(1, true), 1, start);
        early.drop(start + 1ms);
        usable = true;
        early.update(start + 2ms);
        CHECK(processed.empty());
        CHECK(expired == std::vector<std::uint16_t>{1});
    }
    SUBCASE("take a bounded amount of memory")
    {
        for (std::size_t i = 0; i <= EarlyPackets::kMaxPackets; ++i) {
            keep(packetOf(static_cast<std::uint16_t>(i), false), 1, start);
        }
        CHECK(early.size() == EarlyPackets::kMaxPackets);
        CHECK(expired.size() == 1);
    }
    SUBCASE("are decided on without a further event")
    {
        keep(packetOf(1, true, 2), 1, monotonicNow());
        usable = true;
        context.run(); // returns once nothing is kept
        CHECK(processed == std::vector<std::uint8_t>{1});
    }
}
