#include "client.h"

#include <algorithm>
#include <array>
#include <utility>

namespace standin
{

namespace
{

using std::chrono::milliseconds;

constexpr Span kToHost = milliseconds{3};
constexpr std::array<Span, 3> kSynIntervals{milliseconds{200}, milliseconds{400}, milliseconds{800}};
constexpr Span kDeadline = milliseconds{2000};
constexpr std::size_t kRequestBytes = 900;

} // namespace

ClientMachine::ClientMachine(Loop &loop, Network &network, const Router &router, const Address &address, Span pause, Report report)
    : loop_(loop)
    , network_(network)
    , router_(router)
    , ip_(address.ip)
    , pause_(pause)
    , report_(std::move(report))
    , socket_(openDatagramSocket(address))
{
    if (socket_ >= 0) {
        loop_.watch(socket_, false, [this] { receiveAll(socket_, [this](auto datagram) { receive(datagram); }); });
    }
}

FlowId ClientMachine::open(const Address &route)
{
    const auto port = ++lastPort_;
    auto &flow = flows_[port];
    flow.id = {{ip_, port}, route};
    flow.first = network_.number();
    loop_.after(kDeadline, [this, port] { end(flows_.at(port), FlowEnd::NotAnswered); });
    sendSyn(port);
    return flow.id;
}

void ClientMachine::sendSyn(std::uint16_t port)
{
    auto &flow = flows_.at(port);
    if (flow.open || flow.ended) {
        return;
    }
    if (static_cast<std::size_t>(flow.syns) == kSynIntervals.size()) {
        end(flow, FlowEnd::NotOpened);
        return;
    }
    Packet packet;
    packet.source = flow.id.client;
    packet.destination = flow.id.route;
    packet.sequence = flow.first;
    packet.acknowledged = static_cast<std::uint32_t>(flow.syns);
    packet.flags = kSyn;
    network_.send(socket_, router_.hostOf(flow.id), encode(packet), kToHost);
    loop_.after(kSynIntervals.at(static_cast<std::size_t>(flow.syns++)), [this, port] { sendSyn(port); });
}

void ClientMachine::sendRequest(std::uint16_t port, int tries)
{
    auto &flow = flows_.at(port);
    if (flow.ended) {
        return;
    }
    send(flow, flow.first + 1, kAck, std::string(kRequestBytes, 'r'));
    loop_.after(std::min<Span>(milliseconds{1600}, milliseconds{200} * (1 << tries)),
                [this, port, tries] { sendRequest(port, tries + 1); });
}

// Each packet goes through whichever host the router selects at that time.
void ClientMachine::send(const Flow &flow, std::uint32_t sequence, std::uint8_t flags, const std::string &data)
{
    Packet packet;
    packet.echo = flow.echo;
    packet.source = flow.id.client;
    packet.destination = flow.id.route;
    packet.sequence = sequence;
    packet.acknowledged = flow.acknowledged;
    packet.flags = flags;
    packet.data = data;
    network_.send(socket_, router_.hostOf(flow.id), encode(packet), kToHost);
}

void ClientMachine::receive(std::string_view datagram)
{
    const auto packet = decode(datagram);
    const auto known = packet ? flows_.find(packet->destination.port) : flows_.end();
    if (known == flows_.end() || packet->source != known->second.id.route) {
        return;
    }
    auto &flow = known->second;
    const auto port = flow.id.client.port;
    if ((packet->flags & kRst) != 0) {
        const bool ownReset = datagram.substr(4, 4) == std::string_view("\0\0\0\0", 4);
        constexpr std::uint32_t kWindow = 76'800;
        if (!flow.open || !ownReset || packet->sequence - flow.acknowledged + kWindow <= 2 * kWindow) {
            end(flow, flow.open ? FlowEnd::Reset : FlowEnd::NotOpened, ownReset);
        }
        return;
    }
    flow.echo = packet->echo;
    if ((packet->flags & kSyn) != 0) {
        if (!flow.open && !flow.ended) {
            flow.open = true;
            flow.acknowledged = packet->sequence + 1;
            send(flow, flow.first + 1, kAck, "");
            loop_.after(pause_, [this, port] { sendRequest(port, 0); });
        }
        return;
    }
    if (flow.open && packet->sequence == flow.acknowledged && !packet->data.empty() && !flow.ended) {
        flow.acknowledged += static_cast<std::uint32_t>(packet->data.size());
        end(flow, FlowEnd::Answered);
    }
    if (flow.ended && flow.open) {
        send(flow, flow.first + 1 + kRequestBytes, kAck | kFin, "");
    }
}

void ClientMachine::end(Flow &flow, FlowEnd how, bool ownReset)
{
    if (!std::exchange(flow.ended, true)) {
        report_({flow.id, how, ownReset});
    }
}

} // namespace standin
