#include "entry/early_packets.h"

#include "base/contained.h"
#include "base/counters.h"

#include <algorithm>
#include <array>
#include <utility>

namespace medlarway
{

namespace
{

// The intervals at which a client sends its SYN again, and the time after the last one at which it gives up.
constexpr std::array<Duration, 3> kSynIntervals{std::chrono::milliseconds{200}, std::chrono::milliseconds{400},
                                                std::chrono::milliseconds{800}};

// Shortest interval at which a client sends other packets again.
constexpr Duration kRetransmission = std::chrono::milliseconds{200};

// Delay between the arrival of the platform's data and the packets' decisions at most; small against a target latency.
constexpr Duration kUpdateInterval = std::chrono::milliseconds{5};

} // namespace

// The acknowledgement number of a SYN counts the copies sent before it. Any other value is not a client's of this protocol; such a SYN is
// taken for the first.
Duration earlyPacketLifetime(const FlowPacket &packet)
{
    if (!packet.syn) {
        return kRetransmission;
    }
    return packet.acknowledged < kSynIntervals.size() ? kSynIntervals.at(packet.acknowledged) : kSynIntervals.front();
}

EarlyPackets::EarlyPackets(boost::asio::io_context &context, Callbacks callbacks)
    : callbacks_(std::move(callbacks))
    , timer_(context)
{
}

void EarlyPackets::keep(const FlowPacket &packet, std::span<const std::uint8_t> datagram, Time now)
{
    if (packet.syn) {
        // Two copies of one SYN would count as a retransmission that the upstream did not answer.
        std::erase_if(packets_, [&packet](const Kept &kept) { return kept.packet.syn && kept.packet.flow == packet.flow; });
    }
    if (packets_.size() >= kMaxPackets) {
        count(Counter::EarlyPacketsDropped);
        callbacks_.expired(packet, Duration{});
        return;
    }
    count(Counter::EarlyPacketsKept);
    if (packet.syn) {
        const auto [known, isFirst] = syns_.try_emplace(packet.flow, firstArrival(packet, now));
        known->second = isFirst ? known->second : addArrival(known->second, packet, now);
    }
    const auto arrivedAt = now - packet.waited;
    packets_.push_back({packet, {datagram.begin(), datagram.end()}, arrivedAt, arrivedAt + earlyPacketLifetime(packet)});
    startTimer();
}

void EarlyPackets::update(Time now)
{
    for (const auto &kept : packets_) {
        if (now >= kept.expiresAt) {
            count(Counter::EarlyPacketsDropped);
            callbacks_.expired(kept.packet, now - kept.since);
        }
    }
    std::erase_if(packets_, [now](const Kept &kept) { return now >= kept.expiresAt; });
    boost::unordered::erase_if(syns_, [now](const auto &item) { return now - item.second.latest >= kSynIntervals.back(); });
    if (!packets_.empty() && callbacks_.usable()) {
        processAll(now);
    }
}

void EarlyPackets::processAll(Time now)
{
    auto packets = std::exchange(packets_, {}); // processing may keep some of them again
    std::vector<std::span<std::uint8_t>> datagrams;
    std::vector<Arrival> arrivals;
    datagrams.reserve(packets.size());
    arrivals.reserve(packets.size());
    for (auto &kept : packets) {
        const auto syn = kept.packet.syn ? syns_.find(kept.packet.flow) : syns_.end();
        datagrams.emplace_back(kept.datagram);
        arrivals.push_back({now - kept.since, syn != syns_.end() && syn->second.complete});
    }
    syns_.clear();
    callbacks_.process(datagrams, arrivals);
}

void EarlyPackets::drop(Time now)
{
    for (const auto &kept : std::exchange(packets_, {})) {
        count(Counter::EarlyPacketsDropped);
        callbacks_.expired(kept.packet, now - kept.since);
    }
}

// Runs only while packets are kept.
void EarlyPackets::startTimer()
{
    if (timerRuns_ || packets_.empty()) {
        return;
    }
    timerRuns_ = true;
    timer_.expires_after(toSteady(kUpdateInterval));
    timer_.async_wait([this](const boost::system::error_code &error) {
        timerRuns_ = false;
        if (error) {
            return;
        }
        contain("early packets", [this] {
            callbacks_.beforeUse();
            update(monotonicNow());
        });
        startTimer();
    });
}

} // namespace medlarway
