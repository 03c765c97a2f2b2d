#include "endpoint.h"

#include <algorithm>
#include <utility>

namespace standin
{

namespace
{

using std::chrono::milliseconds;

constexpr Span kToClient = milliseconds{3};
constexpr Span kWork = milliseconds{25};
constexpr Span kFirstRetransmission = milliseconds{200};
constexpr Span kLongestRetransmission = milliseconds{1600};
constexpr int kMaxRetransmissions = 8;
constexpr std::size_t kAnswerBytes = 600;

Span retransmissionAfter(int tries)
{
    return std::min(kLongestRetransmission, kFirstRetransmission * (1 << std::min(tries, 4)));
}

} // namespace

Endpoint::Endpoint(Loop &loop, Network &network, int index, std::uint64_t number, const Address &address, std::uint16_t clientPort,
                   Report report)
    : loop_(loop)
    , network_(network)
    , index_(index)
    , number_(number)
    , clientPort_(clientPort)
    , report_(std::move(report))
    , socket_(openDatagramSocket(address))
    , server_(loop, address, [](const auto & /*target*/, const auto &connection) { connection->answer(200, "{}"); })
{
    if (socket_ >= 0) {
        loop_.watch(socket_, false, [this] { receiveAll(socket_, [this](auto datagram) { receive(datagram); }); });
    }
}

// Each datagram begins with the recipient's number. An endpoint that is not meant stays silent.
void Endpoint::receive(std::string_view datagram)
{
    constexpr std::size_t kPrefixBytes = 8;
    std::uint64_t recipient = 0;
    for (const char byte : datagram.substr(0, kPrefixBytes)) {
        recipient = (recipient << 8U) | static_cast<std::uint8_t>(byte);
    }
    const auto packet = datagram.size() < kPrefixBytes ? std::nullopt : decode(datagram.substr(kPrefixBytes));
    if (!packet) {
        ++invalid_;
    } else if (recipient == number_ || recipient == 0) {
        onPacket(*packet);
    }
}

void Endpoint::onPacket(const Packet &packet)
{
    const FlowId id{packet.source, packet.destination};
    auto known = flows_.find(id);
    Arrival arrival{index_, id, false, (packet.flags & kSyn) != 0, false, packet.data.size()};
    if (arrival.isSyn) {
        report_(arrival);
        if (known == flows_.end()) {
            Flow flow;
            flow.first = network_.number();
            flow.next = packet.sequence + 1;
            flow.echo = packet.echo;
            flows_[id] = flow;
            sendSynAck(id, flow.first);
        } else {
            known->second.echo = packet.echo;
        }
        return;
    }
    // Step 1. A packet of no flow of this endpoint gets a reset. One that acknowledges another endpoint's SYN-ACK does not open the flow
    // here, and is left unanswered as long as this endpoint's own SYN-ACK may still be accepted.
    if (known == flows_.end()) {
        report_(arrival);
        if ((packet.flags & (kRst | kFin)) == 0) {
            Flow none;
            none.echo = packet.echo;
            send(id, none, packet.acknowledged, kRst, 0);
        }
        return;
    }
    auto &flow = known->second;
    if (!flow.open && packet.acknowledged != flow.first + 1) {
        report_(arrival);
        return;
    }
    // Step 2. A packet of a flow that is open here.
    arrival.opens = !std::exchange(flow.open, true);
    flow.echo = packet.echo;
    const auto end = packet.sequence + static_cast<std::uint32_t>(packet.data.size());
    arrival.ran = !packet.data.empty() && packet.sequence == flow.next;
    report_(arrival);
    if (arrival.ran) {
        flow.next = end;
        loop_.after(kWork, [this, id, first = flow.first] { sendAnswer(id, first, 0); });
    }
    if ((packet.flags & (kFin | kRst)) != 0) {
        flows_.erase(known);
    }
}

void Endpoint::sendSynAck(const FlowId &id, std::uint32_t first)
{
    const auto known = flows_.find(id);
    if (known == flows_.end() || known->second.open || known->second.first != first) {
        return;
    }
    auto &flow = known->second;
    if (flow.tries > kMaxRetransmissions) {
        flows_.erase(known);
        return;
    }
    send(id, flow, first, kSyn | kAck, 0);
    loop_.after(retransmissionAfter(flow.tries++), [this, id, first] { sendSynAck(id, first); });
}

// Until the client closes the flow, which it does when it has the answer.
void Endpoint::sendAnswer(const FlowId &id, std::uint32_t first, int tries)
{
    const auto known = flows_.find(id);
    if (known == flows_.end() || known->second.first != first) {
        return;
    }
    if (tries > kMaxRetransmissions) {
        flows_.erase(known);
        return;
    }
    send(id, known->second, first + 1, kAck, kAnswerBytes);
    loop_.after(retransmissionAfter(tries), [this, id, first, tries] { sendAnswer(id, first, tries + 1); });
}

void Endpoint::send(const FlowId &id, const Flow &flow, std::uint32_t sequence, std::uint8_t flags, std::size_t bytes)
{
    Packet packet;
    packet.echo = flow.echo;
    packet.source = id.route;
    packet.destination = id.client;
    packet.sequence = sequence;
    packet.acknowledged = flow.next;
    packet.flags = flags;
    packet.data = std::string(bytes, static_cast<char>('a' + index_));
    network_.send(socket_, {id.client.ip, clientPort_}, encode(packet), kToClient);
}

} // namespace standin
