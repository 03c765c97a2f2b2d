#include "client.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::array<Millis, 3> kSynTimes{Millis{0}, Millis{200}, Millis{600}};
constexpr Millis kOpenLimit{1400};
constexpr Millis kFirstRetry{200};
constexpr Millis kLongestRetry{1600};
constexpr int kMaxCopies = 8;
constexpr std::uint32_t kResetWindow = 76'800;

} // namespace

Client::Client(Loop &loop, Record &record, Address listen, Route route)
    : loop_(loop)
    , record_(record)
    , listen_(listen)
    , route_(std::move(route))
    , datagrams_(bindDatagrams(listen_))
{
    loop_.watch(datagrams_, POLLIN, [this](short) { onDatagrams(); });
}

Client::~Client()
{
    loop_.unwatch(datagrams_);
    ::close(datagrams_);
}

FlowPointer Client::open(const Address &destination)
{
    auto flow = std::make_shared<ClientFlow>();
    flow->client = {listen_.ip, nextPort_++};
    flow->destination = destination;
    flow->synAt = Clock::now();
    flow->sequence = 900 + flow->client.port;
    flows_[flow->client.port] = flow;
    const auto turn = flow->turn;
    for (const auto time : kSynTimes) {
        loop_.after(time, [this, flow, turn] {
            if (flow->turn == turn) {
                sendSyn(flow);
            }
        });
    }
    loop_.after(kOpenLimit, [this, flow, turn] {
        if (flow->turn == turn) {
            ++flow->turn;
            flow->state = FlowState::Unanswered;
            flow->endedAt = Clock::now();
            record_.line("client " + toText(flow->client) + " got no SYN-ACK");
        }
    });
    return flow;
}

void Client::sendSyn(const FlowPointer &flow)
{
    const auto copies = static_cast<std::uint32_t>(flow->sent++);
    record_.line("client " + toText(flow->client) + " sends SYN " + std::to_string(copies) + " to " + toText(flow->destination)
                 + " through " + toText(route_(flow->client, flow->destination)));
    send(flow, Packet::kSyn, flow->sequence, copies, "");
}

void Client::request(const FlowPointer &flow, const std::string &text)
{
    if (flow->state != FlowState::Open || !flow->request.empty()) {
        return;
    }
    flow->request = text;
    flow->sent = 0;
    ++flow->turn;
    record_.line("client " + toText(flow->client) + " sends " + text + " through " + toText(route_(flow->client, flow->destination)));
    sendRequest(flow);
}

void Client::sendRequest(const FlowPointer &flow)
{
    send(flow, Packet::kAck, flow->sequence, flow->acknowledged, flow->request);
    const auto wait = std::min(kLongestRetry, kFirstRetry * (1 << std::min(flow->sent, 3)));
    if (++flow->sent > kMaxCopies) {
        return;
    }
    loop_.after(wait, [this, flow, turn = flow->turn] {
        if (flow->turn == turn && flow->state == FlowState::Open) {
            sendRequest(flow);
        }
    });
}

void Client::finish(const FlowPointer &flow)
{
    if (flow->state == FlowState::Open) {
        send(flow, Packet::kFin | Packet::kAck, flow->sequence, flow->acknowledged, "");
        flow->state = FlowState::Closed;
        flow->endedAt = Clock::now();
        ++flow->turn;
    }
}

void Client::send(const FlowPointer &flow, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged, const std::string &data)
{
    Packet packet;
    packet.echo = flow->echo;
    packet.source = flow->client;
    packet.destination = flow->destination;
    packet.sequence = sequence;
    packet.acknowledged = acknowledged;
    packet.flags = flags;
    packet.data = data;
    sendDatagram(datagrams_, route_(flow->client, flow->destination), encodeSigned(packet));
}

void Client::onDatagrams()
{
    std::string bytes;
    Address from;
    while (receiveDatagram(datagrams_, bytes, from)) {
        auto packet = decode(bytes);
        if (packet) {
            packet->sentFrom = from;
        }
        if (packet && isLost && isLost(*packet)) {
            record_.line("a datagram to client " + toText(packet->destination) + " is lost");
            continue;
        }
        if (packet && (isSystemReset(*packet) || sumMatches(*packet))) {
            onPacket(*packet);
        } else {
            ++wrongPackets_;
            record_.note("RULE MIXED: a client got a packet that its sender didn't write so");
        }
    }
}

void Client::onPacket(const Packet &packet)
{
    const auto found = flows_.find(packet.destination.port);
    if (found == flows_.end() || packet.source != found->second->destination || packet.destination != found->second->client) {
        return;
    }
    const auto flow = found->second;
    if (packet.has(Packet::kRst)) {
        onReset(flow, packet);
        return;
    }
    // The last echo received on the flow, whatever the packet.
    if (flow->state == FlowState::Opening || flow->state == FlowState::Open) {
        flow->echo = packet.echo;
    }
    if (packet.has(Packet::kSyn)) {
        if (flow->state == FlowState::Opening) {
            flow->state = FlowState::Open;
            ++flow->turn;
            ++flow->sequence;
            flow->acknowledged = packet.sequence + 1;
            record_.line("client " + toText(flow->client) + " opened its flow");
            send(flow, Packet::kAck, flow->sequence, flow->acknowledged, "");
        }
        return;
    }
    if (flow->state != FlowState::Open) {
        return;
    }
    if (flow->request.empty() || packet.data.empty() || packet.sequence != flow->acknowledged
        || packet.acknowledged != flow->sequence + flow->request.size()) {
        return;
    }
    if (!packet.data.ends_with(": " + flow->request)) {
        ++wrongPackets_;
        record_.note("RULE MIXED: the answer \"" + packet.data + "\" to " + flow->request);
    }
    flow->acknowledged += static_cast<std::uint32_t>(packet.data.size());
    flow->sequence += static_cast<std::uint32_t>(flow->request.size());
    record_.line("client " + toText(flow->client) + " got \"" + packet.data + "\"");
    flow->endpoint = packet.data.substr(8, packet.data.find(':') - 8);
    flow->request.clear();
    ++flow->turn;
    ++flow->answered;
    if (onAnswer) {
        onAnswer(flow);
    }
}

void Client::onReset(const FlowPointer &flow, const Packet &packet)
{
    const bool bySystem = isSystemReset(packet);
    const auto distance = static_cast<std::int32_t>(packet.sequence - flow->acknowledged);
    if (flow->state == FlowState::Opening) {
        flow->state = FlowState::ResetBeforeOpen;
    } else if (flow->state == FlowState::Open && static_cast<std::uint32_t>(std::abs(distance)) <= kResetWindow) {
        flow->state = bySystem ? FlowState::ResetBySystem : FlowState::ResetByEndpoint;
    } else {
        return;
    }
    ++flow->turn;
    flow->endedAt = Clock::now();
    flow->resetFrom = packet.sentFrom;
    record_.line("client " + toText(flow->client) + " got a reset "
                 + (bySystem ? "of the system" : "of the endpoint at " + toText(packet.sentFrom)) + " on its flow to "
                 + toText(flow->destination) + ", last answered by " + flow->endpoint);
}

} // namespace review
