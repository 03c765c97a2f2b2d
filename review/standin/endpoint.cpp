#include "endpoint.h"

#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::size_t kPrefixBytes = 8;
constexpr Millis kFirstRetry{200};
constexpr Millis kLongestRetry{1600};
constexpr int kMaxCopies = 8;

std::uint64_t numberOfId(const std::string &id)
{
    return std::stoull(id.substr(id.rfind('-') + 1), nullptr, 16);
}

} // namespace

Endpoint::Endpoint(Loop &loop, Record &record, const EndpointOptions &options)
    : loop_(loop)
    , record_(record)
    , options_(options)
    , number_(numberOfId(options.id))
{
    datagrams_ = bindDatagrams(options_.address);
    listener_ = bindListener(options_.address);
    loop_.watch(datagrams_, POLLIN, [this](short) { onDatagrams(); });
    loop_.watch(listener_, POLLIN, [this](short) { onStatusCheck(); });
    record_.line(options_.id + " starts: " + options_.service + " at " + toText(options_.address) + " born "
                 + std::to_string(options_.born));
}

Endpoint::~Endpoint()
{
    *alive_ = false;
    loop_.unwatch(datagrams_);
    loop_.unwatch(listener_);
    ::close(datagrams_);
    ::close(listener_);
    record_.line(options_.id + " ends");
}

std::string Endpoint::entry(const std::string &state) const
{
    return nlohmann::json{{"service", options_.service},
                          {"address", toText(options_.address)},
                          {"zone", options_.zone},
                          {"version", "v1"},
                          {"concurrency", 2},
                          {"state", state},
                          {"warmup-left-ms", 0},
                          {"sequence", 1},
                          {"born", options_.born}}
        .dump();
}

// A status check: the connection is accepted, answered and closed.
void Endpoint::onStatusCheck()
{
    const int connection = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
        return;
    }
    const std::string response = "HTTP/1.1 200 OK\r\nInstance-Id: " + options_.id + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    ::send(connection, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::close(connection);
}

void Endpoint::onDatagrams()
{
    std::string bytes;
    Address from;
    while (receiveDatagram(datagrams_, bytes, from)) {
        if (bytes.size() < kPrefixBytes) {
            continue;
        }
        std::uint64_t intended = 0;
        for (std::size_t row = 0; row < kPrefixBytes; ++row) {
            intended = (intended << 8U) | static_cast<unsigned char>(bytes[row]);
        }
        const auto packet = decode(bytes.substr(kPrefixBytes));
        if (!packet || (intended != 0 && intended != number_)) {
            record_.line(options_.id + " ignores a packet for " + std::to_string(intended));
            continue;
        }
        if (!sumMatches(*packet)) {
            record_.note("RULE UNASKED: " + options_.id + " got a packet that its sender didn't write so");
            continue;
        }
        onPacket(*packet);
    }
}

void Endpoint::onPacket(const Packet &packet)
{
    if (packet.has(Packet::kSyn)) {
        if (!packet.has(Packet::kAck)) {
            onSyn(packet);
        }
        return;
    }
    const FlowKey key{packet.source, packet.destination};
    const auto found = flows_.find(key);
    if (packet.has(Packet::kRst)) {
        flows_.erase(key);
        return;
    }
    if (found == flows_.end() || (!found->second.open && packet.acknowledged != found->second.sequence)) {
        Flow none;
        none.echo = packet.echo;
        record_.line(options_.id + " resets a packet of a flow that it does not hold, " + toText(packet.source));
        send(key, none, Packet::kRst, packet.acknowledged, "");
        return;
    }
    auto &flow = found->second;
    flow.echo = packet.echo;
    if (!flow.open) {
        flow.open = true;
        opened_.push_back({packet.source, packet.destination, flow.synAt, Clock::now()});
        record_.line(options_.id + " opened flow " + toText(packet.source) + " > " + toText(packet.destination));
    }
    if (!packet.data.empty()) {
        onData(packet, flow);
    }
    if (packet.has(Packet::kFin)) {
        send(key, flow, Packet::kFin | Packet::kAck, flow.sequence, "");
        flows_.erase(key);
    }
}

void Endpoint::onSyn(const Packet &packet)
{
    const FlowKey key{packet.source, packet.destination};
    auto &flow = flows_[key];
    const bool isNew = flow.expected == 0 || flow.clientSequence != packet.sequence;
    if (isNew) {
        flow = Flow{};
        flow.clientSequence = packet.sequence;
        flow.expected = packet.sequence + 1;
        flow.sequence = static_cast<std::uint32_t>(number_ % 1'000'000U) * 1000U + key.first.port + 1U;
        flow.synAt = Clock::now();
    }
    flow.echo = packet.echo;
    send(key, flow, Packet::kSyn | Packet::kAck, flow.sequence - 1, "");
    if (isNew && options_.repeatsSynAck) {
        repeatSynAck(key, packet.sequence, 1);
    }
}

// After 200 ms, then doubled up to 1.6 s; given up after 8 copies.
void Endpoint::repeatSynAck(const FlowKey &key, std::uint32_t clientSequence, int copies)
{
    const auto wait = std::min(kLongestRetry, kFirstRetry * (1 << std::min(copies - 1, 3)));
    loop_.after(wait, [this, alive = alive_, key, clientSequence, copies] {
        if (!*alive || !flows_.contains(key)) {
            return;
        }
        auto &flow = flows_[key];
        if (flow.open || flow.clientSequence != clientSequence) {
            return;
        }
        if (copies > kMaxCopies) {
            flows_.erase(key);
            return;
        }
        record_.line(options_.id + " repeats its SYN-ACK to " + toText(key.first));
        send(key, flow, Packet::kSyn | Packet::kAck, flow.sequence - 1, "");
        repeatSynAck(key, clientSequence, copies + 1);
    });
}

void Endpoint::onData(const Packet &packet, Flow &flow)
{
    const FlowKey key{packet.source, packet.destination};
    if (packet.sequence + packet.data.size() == flow.expected) {
        if (!flow.working && !flow.lastResponse.empty()) {
            send(key, flow, Packet::kAck, flow.lastResponseAt, flow.lastResponse);
        }
        return;
    }
    if (packet.sequence != flow.expected || flow.working) {
        return;
    }
    flow.expected += static_cast<std::uint32_t>(packet.data.size());
    flow.working = true;
    loop_.after(options_.work, [this, alive = alive_, key, request = packet.data] {
        if (*alive) {
            finishRequest(key, request);
        }
    });
}

void Endpoint::finishRequest(const FlowKey &key, const std::string &request)
{
    const auto found = flows_.find(key);
    if (found == flows_.end()) {
        return;
    }
    auto &flow = found->second;
    ++requestsRun_;
    record_.line(options_.id + " (" + options_.service + ") ran " + request);
    flow.working = false;
    flow.lastResponse = "done by " + options_.id + ": " + request;
    flow.lastResponseAt = flow.sequence;
    flow.sequence += static_cast<std::uint32_t>(flow.lastResponse.size());
    send(key, flow, Packet::kAck, flow.lastResponseAt, flow.lastResponse);
}

void Endpoint::send(const FlowKey &key, const Flow &flow, std::uint8_t flags, std::uint32_t sequence, const std::string &data)
{
    Packet packet;
    packet.echo = flow.echo;
    packet.source = key.second;
    packet.destination = key.first;
    packet.sequence = sequence;
    packet.acknowledged = flow.expected;
    packet.flags = flags;
    packet.data = data;
    sendDatagram(datagrams_, {key.first.ip, options_.clientPort}, encodeSigned(packet));
}

} // namespace review
