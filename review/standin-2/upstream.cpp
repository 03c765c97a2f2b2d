#include "upstream.h"

#include <algorithm>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace lab
{

namespace
{

constexpr Milliseconds kFirstRepeat{200};
constexpr Milliseconds kLongestRepeat{1600};
constexpr int kRepeats = 8;
constexpr std::uint32_t kSequenceStep = 1'000'003;

std::string prefixOf(const std::string &id)
{
    const auto number = std::strtoull(id.substr(id.rfind('-') + 1).c_str(), nullptr, 16);
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes += static_cast<char>((number >> static_cast<unsigned>(shift)) & 255U);
    }
    return bytes;
}

// The requests of the clients end with an empty line or, with a body, after "Content-Length" bytes.
bool isComplete(const std::string &request)
{
    const auto end = request.find("\r\n\r\n");
    const auto length = request.find("Content-Length: ");
    const auto body = length == std::string::npos ? 0UL : std::strtoul(request.c_str() + length + 16, nullptr, 10);
    return end != std::string::npos && request.size() >= end + 4 + body;
}

} // namespace

Upstream::Upstream(Loop &loop, Options options, Observer observer)
    : loop_(loop)
    , options_(std::move(options))
    , observer_(std::move(observer))
    , prefix_(prefixOf(options_.id))
    , nextSequence_(static_cast<std::uint32_t>(options_.address.ip) * kSequenceStep)
    , udp_(bindUdp(options_.address))
    , tcp_(listenTcp(options_.address))
{
    loop_.onReadable(udp_, [this] {
        while (udp_ >= 0) {
            const auto received = receive(udp_);
            if (!received) {
                break;
            }
            onDatagram(received->bytes);
        }
    });
    loop_.onReadable(tcp_, [this] { ::close(::accept4(tcp_, nullptr, nullptr, SOCK_CLOEXEC)); });
}

Upstream::~Upstream()
{
    crash();
}

void Upstream::crash()
{
    *alive_ = false;
    flows_.clear();
    for (int *descriptor : {&udp_, &tcp_}) {
        if (*descriptor >= 0) {
            loop_.forget(*descriptor);
            ::close(std::exchange(*descriptor, -1));
        }
    }
}

void Upstream::onDatagram(const std::string &bytes)
{
    const auto prefix = bytes.substr(0, 8);
    if (prefix != prefix_ && prefix != std::string(8, '\0')) {
        return; // not intended for this endpoint
    }
    const auto packet = decode(bytes.size() < 8 ? "" : bytes.substr(8));
    if (!packet) {
        return;
    }
    if (!hasValidSum(*packet)) {
        observer_.gotForged(*this, *packet);
    } else if ((packet->flags & kSyn) != 0) {
        onSyn(*packet);
    } else {
        onPacket(*packet);
    }
}

void Upstream::onSyn(const Packet &packet)
{
    const auto known = flows_.find(packet.source);
    if (known == flows_.end() || known->second.clientSequence != packet.sequence) {
        Flow flow;
        flow.client = packet.source;
        flow.route = packet.destination;
        flow.clientSequence = packet.sequence;
        flow.received = packet.sequence + 1;
        flow.sequence = nextSequence_ += kSequenceStep;
        flow.sent = flow.sequence + 1;
        flow.acknowledged = flow.sequence;
        flows_[packet.source] = flow;
        observer_.tookSyn(*this, packet);
        repeatSynAck(packet.source, flow.sequence, kFirstRepeat, 0);
    }
    auto &flow = flows_[packet.source];
    flow.echo = packet.echo;
    if (!flow.open) {
        send(flow, kSyn | kAck, flow.sequence, "");
    }
}

void Upstream::repeatSynAck(const Address &client, std::uint32_t sequence, Milliseconds wait, int copies)
{
    loop_.after(wait, [this, alive = alive_, client, sequence, wait, copies] {
        const auto found = *alive ? flows_.find(client) : flows_.end();
        if (!*alive || found == flows_.end() || found->second.open || found->second.sequence != sequence || copies >= kRepeats) {
            return;
        }
        send(found->second, kSyn | kAck, sequence, "");
        repeatSynAck(client, sequence, std::min(wait * 2, kLongestRepeat), copies + 1);
    });
}

void Upstream::onPacket(const Packet &packet)
{
    const auto found = flows_.find(packet.source);
    const bool holds = found != flows_.end() && (found->second.open || packet.acknowledged == found->second.sequence + 1);
    if ((packet.flags & kRst) != 0) {
        if (holds) {
            flows_.erase(found);
        }
        return;
    }
    if (!holds) {
        observer_.sentReset(*this, packet);
        send({packet.source, packet.destination, 0, packet.sequence, 0, 0, 0, packet.echo, false, ""}, kRst, packet.acknowledged, "");
        return;
    }
    auto &flow = found->second;
    flow.echo = packet.echo;
    if (!std::exchange(flow.open, true)) {
        observer_.opened(*this, packet);
    }
    flow.acknowledged = isAfter(packet.acknowledged, flow.acknowledged) ? packet.acknowledged : flow.acknowledged;
    if ((packet.flags & kFin) != 0) {
        ++flow.received;
        send(flow, kAck | kFin, flow.sent, "");
        flows_.erase(found);
        return;
    }
    if (packet.data.empty()) {
        return;
    }
    if (packet.sequence != flow.received) {
        send(flow, kAck, flow.sent, ""); // a packet that it has already
        return;
    }
    flow.received += static_cast<std::uint32_t>(packet.data.size());
    flow.request += packet.data;
    if (isComplete(flow.request)) {
        flow.request.clear();
        observer_.runs(*this, packet);
        loop_.after(options_.work, [this, alive = alive_, client = packet.source, sequence = flow.sequence] {
            if (*alive) {
                finishRequest(client, sequence);
            }
        });
    }
}

void Upstream::finishRequest(const Address &client, std::uint32_t sequence)
{
    const auto found = flows_.find(client);
    if (found == flows_.end() || found->second.sequence != sequence) {
        return;
    }
    auto &flow = found->second;
    const std::string body(options_.responseBytes, 'x');
    const auto data = "HTTP/1.1 200 OK\r\nResponse-Signature: " + options_.id + "\r\nContent-Length: " + std::to_string(body.size())
                      + "\r\n\r\n" + body;
    const auto first = flow.sent;
    flow.sent += static_cast<std::uint32_t>(data.size());
    send(flow, kAck, first, data);
    repeatResponse(client, first, data, kFirstRepeat, 0);
}

void Upstream::repeatResponse(const Address &client, std::uint32_t sequence, const std::string &data, Milliseconds wait, int copies)
{
    loop_.after(wait, [this, alive = alive_, client, sequence, data, wait, copies] {
        const auto found = *alive ? flows_.find(client) : flows_.end();
        if (!*alive || found == flows_.end() || isAfter(found->second.acknowledged, sequence) || copies >= kRepeats) {
            return;
        }
        send(found->second, kAck, sequence, data);
        repeatResponse(client, sequence, data, std::min(wait * 2, kLongestRepeat), copies + 1);
    });
}

void Upstream::send(const Flow &flow, std::uint8_t flags, std::uint32_t sequence, const std::string &data)
{
    Packet packet;
    packet.echo = flow.echo;
    packet.source = flow.route;
    packet.destination = flow.client;
    packet.sequence = sequence;
    packet.acknowledged = flow.received;
    packet.flags = flags;
    packet.data = data;
    sendTo(udp_, {flow.client.ip, options_.clientPort}, encode(packet));
}

std::string entryOf(const Upstream &upstream, const std::string &service, const std::string &zone, const std::string &state, long long born)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + toText(upstream.options().address) + "\",\"zone\":\"" + zone
           + "\",\"version\":\"v1\",\"concurrency\":16,\"state\":\"" + state
           + "\",\"warmup-left-ms\":0,\"sequence\":1,\"born\":" + std::to_string(born) + "}";
}

std::string configOf(int version, const std::vector<Route> &routes)
{
    std::string services;
    std::string text;
    for (const auto &route : routes) {
        const auto at = toText(route.address);
        const auto colon = at.find(':');
        const auto service = "{\"name\":\"" + route.service + "\",\"health-path\":\"/health\",\"max-connections\":2000}";
        services += services.find(service) == std::string::npos ? (services.empty() ? "" : ",") + service : "";
        text += (text.empty() ? "" : ",") + ("{\"name\":\"route-" + at + "\",\"host\":\"" + at.substr(0, colon) + "\",\"prefix\":\"/")
                + at.substr(colon + 1) + "/\",\"service\":\"" + route.service
                + "\",\"type\":\"non_idempotent\",\"timeout-ms\":2000,\"target-latency-ms\":200,\"priority\":1}";
    }
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + text + "],\"services\":[" + services
           + "],\"limits\":{\"idle-timeout-ms\":15000}}";
}

} // namespace lab
