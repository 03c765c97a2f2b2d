#include "client.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lab
{

namespace
{

constexpr std::array<Milliseconds, 3> kSynTimes{Milliseconds{0}, Milliseconds{200}, Milliseconds{600}};
constexpr Milliseconds kOpeningTime{1400};
constexpr Milliseconds kFirstRepeat{200};
constexpr Milliseconds kLongestRepeat{1600};
constexpr std::uint32_t kResetWindow = 76'800;
constexpr std::size_t kBodyBytes = 900;

} // namespace

Client::Client(Loop &loop, const Address &listen, Router router, Observer observer)
    : loop_(loop)
    , listen_(listen)
    , router_(std::move(router))
    , observer_(std::move(observer))
    , udp_(bindUdp(listen))
{
    loop_.onReadable(udp_, [this] {
        while (const auto received = receive(udp_)) {
            if (const auto packet = decode(received->bytes)) {
                onPacket(*packet, received->from);
            }
        }
    });
}

Address Client::open(const Address &route, const std::string &id, Milliseconds deadline)
{
    const Address client{listen_.ip, nextPort_++};
    Flow flow;
    flow.client = client;
    flow.route = route;
    flow.firstSequence = nextSequence_ += 7'654'321;
    flow.sent = flow.firstSequence + 1;
    flow.acknowledgedByPeer = flow.firstSequence;
    flow.losesSynAck = lossInterval_ != 0 && client.port % lossInterval_ == 0;
    flows_[client] = flow;
    requests_[client] = {client, route, id, Clock::now(), {}, Outcome::Pending};
    for (std::uint32_t copy = 0; copy < kSynTimes.size(); ++copy) {
        loop_.after(kSynTimes.at(copy), [this, client, copy] { sendSyn(client, copy); });
    }
    loop_.after(kOpeningTime, [this, client] {
        if (!flows_[client].open) {
            finish(client, Outcome::NotOpened);
        }
    });
    loop_.after(deadline, [this, client, id] {
        if (requests_[client].id == id) {
            finish(client, Outcome::Expired);
        }
    });
    return client;
}

void Client::request(const Address &client, const std::string &id, Milliseconds deadline)
{
    auto &flow = flows_[client];
    if (!flow.open || flow.ended) {
        return;
    }
    requests_[client] = {client, flow.route, id, Clock::now(), Clock::now(), Outcome::Pending};
    sendRequest(flow);
    loop_.after(deadline, [this, client, id] {
        if (requests_[client].id == id) {
            finish(client, Outcome::Expired);
        }
    });
}

void Client::close(const Address &client)
{
    auto &flow = flows_[client];
    if (flow.open && !std::exchange(flow.ended, true)) {
        send(flow, kAck | kFin, flow.sent, "");
    }
}

void Client::sendSyn(const Address &client, std::uint32_t copy)
{
    const auto &flow = flows_[client];
    if (flow.open || flow.ended) {
        return;
    }
    Packet packet;
    packet.source = flow.client;
    packet.destination = flow.route;
    packet.sequence = flow.firstSequence;
    packet.acknowledged = copy;
    packet.flags = kSyn;
    if (const auto host = router_(client, flow.route)) {
        sendTo(udp_, *host, encode(packet));
    }
}

void Client::onPacket(const Packet &packet, const Address &from)
{
    const auto found = flows_.find(packet.destination);
    if (found == flows_.end() || packet.source != found->second.route) {
        return;
    }
    auto &flow = found->second;
    if ((packet.flags & kRst) != 0) {
        onReset(flow, packet, from);
        return;
    }
    if (flow.ended || !hasValidSum(packet) || ((packet.flags & kSyn) != 0 && std::exchange(flow.losesSynAck, false))) {
        return;
    }
    flow.echo = packet.echo;
    if ((packet.flags & kSyn) != 0) {
        if (!std::exchange(flow.open, true)) {
            flow.received = packet.sequence + 1;
            requests_[flow.client].openedAt = Clock::now();
            send(flow, kAck, flow.sent, "");
            if (!requests_[flow.client].id.empty()) {
                sendRequest(flow);
            }
        }
        return;
    }
    flow.acknowledgedByPeer = isAfter(packet.acknowledged, flow.acknowledgedByPeer) ? packet.acknowledged : flow.acknowledgedByPeer;
    if (packet.data.empty()) {
        return;
    }
    if (packet.sequence == flow.received) {
        flow.received += static_cast<std::uint32_t>(packet.data.size());
        flow.response += packet.data;
    }
    send(flow, kAck, flow.sent, "");
    if (flow.response.find("\r\n\r\n") != std::string::npos) {
        flow.response.clear();
        finish(flow.client, Outcome::Answered);
    }
}

// A reset whose sequence number is out of the window does not end an open flow.
void Client::onReset(Flow &flow, const Packet &packet, const Address &from)
{
    const bool fromSystem = packet.sum == 0 && packet.data.empty();
    observer_.gotReset({flow.client, from, packet.sequence, flow.received, fromSystem, flow.open && !flow.ended});
    const auto distance = std::min(packet.sequence - flow.received, flow.received - packet.sequence);
    if (!flow.ended && (!fromSystem || !flow.open || distance <= kResetWindow)) {
        finish(flow.client, flow.open ? Outcome::Reset : Outcome::NotOpened);
        flow.ended = true;
    }
}

void Client::sendRequest(Flow &flow)
{
    const auto &request = requests_[flow.client];
    const auto data = "POST /records HTTP/1.1\r\nAttempt-Id: " + request.id + "\r\nContent-Length: " + std::to_string(kBodyBytes)
                      + "\r\n\r\n" + std::string(kBodyBytes, 'b');
    const auto first = flow.sent;
    flow.sent += static_cast<std::uint32_t>(data.size());
    send(flow, kAck, first, data);
    repeatData(flow.client, first, data, kFirstRepeat);
}

void Client::repeatData(const Address &client, std::uint32_t sequence, const std::string &data, Milliseconds wait)
{
    loop_.after(wait, [this, client, sequence, data, wait] {
        const auto &flow = flows_[client];
        if (flow.ended || isAfter(flow.acknowledgedByPeer, sequence) || requests_[client].outcome != Outcome::Pending) {
            return;
        }
        send(flow, kAck, sequence, data);
        repeatData(client, sequence, data, std::min(wait * 2, kLongestRepeat));
    });
}

void Client::finish(const Address &client, Outcome outcome)
{
    auto &request = requests_[client];
    if (request.outcome == Outcome::Pending) {
        request.outcome = outcome;
        observer_.finished(request);
    }
}

void Client::send(const Flow &flow, std::uint8_t flags, std::uint32_t sequence, const std::string &data)
{
    Packet packet;
    packet.echo = flow.echo;
    packet.source = flow.client;
    packet.destination = flow.route;
    packet.sequence = sequence;
    packet.acknowledged = flow.received;
    packet.flags = flags;
    packet.data = data;
    if (const auto host = router_(flow.client, flow.route)) {
        sendTo(udp_, *host, encode(packet));
    }
}

} // namespace lab
