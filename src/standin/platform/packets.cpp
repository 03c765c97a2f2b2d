#include "standin/platform/packets.h"

#include "standin/platform/packet.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/endian/conversion.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;
namespace endian = boost::endian;
using asio::ip::tcp;
using asio::ip::udp;
using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kPrefixBytes = 8;
constexpr std::size_t kBufferBytes = 2048;
constexpr std::uint32_t kUpstreamSequence = 5000;
constexpr std::uint32_t kClientSequence = 900;
constexpr std::chrono::milliseconds kRetransmitInterval{200};
constexpr std::chrono::milliseconds kSynAckInterval{250}; // doubles; the client has repeated its SYN by then
constexpr int kMaxSends = 10;
constexpr int kMaxSynAcks = 8;
constexpr std::uint32_t kSequenceDistance = 1'000'000;
constexpr std::uint16_t kFirstPort = 40000;

udp::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace

struct StandinPacketUpstream::Impl {
    // A flow whose SYN was received.
    struct Flow {
        std::uint32_t clientSequence = 0; ///< of the SYN
        std::uint32_t echo = 0; ///< the last one received
        bool open = false; ///< the client acknowledged the SYN-ACK
    };

    Impl(std::string upstreamName, std::uint64_t upstreamNumber, const Endpoint &listen, std::uint16_t port)
        : name(std::move(upstreamName))
        , number(upstreamNumber)
        , clientPort(port)
        , socket(context, toAsio(listen))
        , acceptor(context, tcp::endpoint(asio::ip::address_v4(listen.address), socket.local_endpoint().port()))
    {
        receive();
        accept();
        thread = std::thread([this] { context.run(); });
    }

    void accept()
    {
        acceptor.async_accept([this](const ErrorCode &error, tcp::socket /*closed at once*/) {
            if (!error) {
                accept();
            }
        });
    }

    void receive()
    {
        socket.async_receive(asio::buffer(buffer), [this](const ErrorCode &error, std::size_t size) {
            if (error) {
                return;
            }
            respond(size);
            receive();
        });
    }

    void respond(std::size_t size)
    {
        const auto packet = size < kPrefixBytes ? std::nullopt : decodeStandinPacket(buffer.data() + kPrefixBytes, size - kPrefixBytes);
        if (!packet) {
            return;
        }
        if (endian::load_big_u64(buffer.data()) != number) {
            ++foreignPacketCount;
            return;
        }
        if ((packet->flags & kSynFlag) != 0) {
            onSyn(*packet);
        } else {
            onFlowPacket(*packet);
        }
    }

    void onSyn(const StandinPacket &packet)
    {
        ++synCount;
        auto &flow = flows[{packet.source, packet.destination}];
        if (flow.clientSequence != packet.sequence) {
            flow = {packet.sequence, 0, false};
            repeatSynAck(packet, kSynAckInterval, 1);
        }
        flow.echo = packet.echo;
        sendSynAck(packet, flow);
    }

    void sendSynAck(const StandinPacket &syn, const Flow &flow)
    {
        send(syn, flow.echo, synAckSequence(), kSynFlag | kAckFlag, "");
    }

    void repeatSynAck(const StandinPacket &syn, std::chrono::milliseconds wait, int copies)
    {
        auto timer = std::make_shared<asio::steady_timer>(context, wait);
        timer->async_wait([this, syn, wait, copies, timer](const ErrorCode & /*error*/) {
            const auto &flow = flows[{syn.source, syn.destination}];
            if (flow.open || flow.clientSequence != syn.sequence || copies > kMaxSynAcks) {
                return;
            }
            sendSynAck(syn, flow);
            repeatSynAck(syn, wait * 2, copies + 1);
        });
    }

    void onFlowPacket(const StandinPacket &packet)
    {
        const auto found = flows.find({packet.source, packet.destination});
        const bool held = found != flows.end() && (found->second.open || packet.acknowledged == synAckSequence() + 1);
        if (!held && (packet.flags & kRstFlag) == 0) {
            ++resetCount;
            send(packet, packet.echo, packet.acknowledged, kRstFlag, "");
        }
        if (!held) {
            return;
        }
        found->second.open = true;
        if (!packet.data.empty()) {
            send(packet, packet.echo, packet.acknowledged, kAckFlag, name + ": " + packet.data);
        }
    }

    // The packets of different upstreams have different sequence numbers, so that a client's acknowledgement fits one upstream only.
    std::uint32_t synAckSequence() const
    {
        return kUpstreamSequence + static_cast<std::uint32_t>(number) * kSequenceDistance;
    }

    void send(const StandinPacket &request, std::uint32_t echo, std::uint32_t sequence, std::uint8_t flags, std::string data)
    {
        StandinPacket reply;
        reply.echo = echo;
        reply.source = request.destination;
        reply.destination = request.source;
        reply.sequence = sequence;
        reply.acknowledged = request.sequence + ((flags & kSynFlag) != 0 ? 1 : static_cast<std::uint32_t>(request.data.size()));
        reply.flags = flags;
        reply.data = std::move(data);
        ErrorCode ignored;
        socket.send_to(asio::buffer(encodeStandinPacket(reply)), toAsio({request.source.address, clientPort}), 0, ignored);
    }

    std::string name;
    std::uint64_t number;
    std::uint16_t clientPort;
    asio::io_context context{1};
    udp::socket socket;
    tcp::acceptor acceptor;
    std::array<std::uint8_t, kBufferBytes> buffer{};
    std::atomic<std::size_t> foreignPacketCount{0};
    std::atomic<std::size_t> synCount{0};
    std::atomic<std::size_t> resetCount{0};
    std::map<std::pair<Endpoint, Endpoint>, Flow> flows; ///< by client and destination
    std::thread thread;
};

StandinPacketUpstream::StandinPacketUpstream(std::string name, std::uint64_t number, const Endpoint &listen, std::uint16_t clientPort)
    : impl_(std::make_unique<Impl>(std::move(name), number, listen, clientPort))
{
}

StandinPacketUpstream::~StandinPacketUpstream()
{
    impl_->context.stop();
    impl_->thread.join();
}

Endpoint StandinPacketUpstream::address() const
{
    const auto local = impl_->socket.local_endpoint();
    return {local.address().to_v4().to_uint(), local.port()};
}

std::size_t StandinPacketUpstream::foreignPackets() const
{
    return impl_->foreignPacketCount;
}

std::size_t StandinPacketUpstream::synCount() const
{
    return impl_->synCount;
}

std::size_t StandinPacketUpstream::resetCount() const
{
    return impl_->resetCount;
}

struct StandinPacketClient::Impl {
    explicit Impl(const Endpoint &listen)
        : address(listen.address)
        , socket(context, toAsio(listen))
    {
    }

    // Sends the packet, with retransmissions, until an event of the flow is received or the attempts are used up.
    ClientEvent sendUntilEvent(const HostSelector &host, const std::string &bytes)
    {
        for (int sends = 0; sends < kMaxSends; ++sends) {
            ErrorCode ignored;
            socket.send_to(asio::buffer(bytes), toAsio(host(flow.source.port)), 0, ignored);
            const auto event = listen(SteadyClock::now() + kRetransmitInterval);
            if (event != ClientEvent::Nothing) {
                return event;
            }
        }
        return ClientEvent::Nothing;
    }

    ClientEvent listen(SteadyClock::time_point until)
    {
        while (SteadyClock::now() < until) {
            std::size_t size = 0;
            bool completed = false;
            socket.async_receive_from(asio::buffer(buffer), sender, [&](const ErrorCode &error, std::size_t bytes) {
                size = error ? 0 : bytes;
                completed = true;
            });
            context.restart();
            context.run_until(until);
            if (!completed) {
                socket.cancel();
                context.restart();
                context.run();
            }
            const auto event = handlePacket(size);
            if (event != ClientEvent::Nothing) {
                return event;
            }
        }
        return ClientEvent::Nothing;
    }

    ClientEvent handlePacket(std::size_t size)
    {
        const auto packet = decodeStandinPacket(buffer.data(), size);
        if (!packet || packet->destination != flow.source) {
            return ClientEvent::Nothing;
        }
        if ((packet->flags & kRstFlag) != 0) {
            return ClientEvent::Reset;
        }
        if ((packet->flags & kSynFlag) != 0 && awaitingSynAck && synAcksToLose > 0) {
            --synAcksToLose;
            return ClientEvent::Nothing;
        }
        flow.echo = packet->echo;
        if ((packet->flags & kSynFlag) != 0) {
            if (awaitingSynAck) {
                flow.acknowledged = packet->sequence + 1;
            }
            lateSynAcks += awaitingSynAck ? 0 : 1;
            return awaitingSynAck ? ClientEvent::Opened : ClientEvent::Nothing;
        }
        if (packet->data.empty() || packet->acknowledged != flow.sequence) {
            return ClientEvent::Nothing;
        }
        flow.acknowledged = packet->sequence + static_cast<std::uint32_t>(packet->data.size());
        received = packet->data;
        return ClientEvent::Data;
    }

    std::uint32_t address;
    asio::io_context context{1};
    udp::socket socket;
    std::array<std::uint8_t, kBufferBytes> buffer{};
    udp::endpoint sender; ///< sender of the packet in the buffer
    StandinPacket flow; ///< header of the flow's next packet
    std::uint16_t nextPort = kFirstPort;
    bool awaitingSynAck = false;
    std::size_t synAcksToLose = 0;
    std::size_t lateSynAcks = 0; ///< SYN-ACKs received on the open flow
    std::string received;
};

StandinPacketClient::StandinPacketClient(const Endpoint &listen)
    : impl_(std::make_unique<Impl>(listen))
{
}

StandinPacketClient::~StandinPacketClient() = default;

ClientEvent StandinPacketClient::open(const Endpoint &host, const Endpoint &route)
{
    return open([&host](std::uint16_t /*port*/) { return host; }, route);
}

ClientEvent StandinPacketClient::exchange(const Endpoint &host, const std::string &request)
{
    return exchange([&host](std::uint16_t /*port*/) { return host; }, request);
}

ClientEvent StandinPacketClient::open(const HostSelector &host, const Endpoint &route)
{
    auto &flow = impl_->flow;
    flow = {};
    flow.source = {impl_->address, impl_->nextPort++};
    flow.destination = route;
    flow.sequence = kClientSequence;
    flow.flags = kSynFlag;
    impl_->lateSynAcks = 0;
    impl_->awaitingSynAck = true;
    const auto event = impl_->sendUntilEvent(host, encodeStandinPacket(flow));
    impl_->awaitingSynAck = false;
    flow.flags = kAckFlag;
    flow.sequence = kClientSequence + 1;
    if (event == ClientEvent::Opened) {
        ErrorCode ignored;
        impl_->socket.send_to(asio::buffer(encodeStandinPacket(flow)), toAsio(host(flow.source.port)), 0, ignored);
    }
    return event;
}

ClientEvent StandinPacketClient::exchange(const HostSelector &host, const std::string &request)
{
    auto packet = impl_->flow;
    packet.data = request;
    impl_->flow.sequence += static_cast<std::uint32_t>(request.size());
    return impl_->sendUntilEvent(host, encodeStandinPacket(packet));
}

void StandinPacketClient::loseSynAcks(std::size_t count)
{
    impl_->synAcksToLose = count;
}

bool StandinPacketClient::awaitLateSynAck(std::chrono::milliseconds limit)
{
    const auto until = SteadyClock::now() + limit;
    impl_->lateSynAcks = 0;
    while (impl_->lateSynAcks == 0 && SteadyClock::now() < until) {
        impl_->listen(std::min(until, SteadyClock::now() + kRetransmitInterval));
    }
    return impl_->lateSynAcks > 0;
}

const std::string &StandinPacketClient::received() const
{
    return impl_->received;
}

std::uint32_t StandinPacketClient::lastSender() const
{
    return impl_->sender.address().to_v4().to_uint();
}

} // namespace medlarway
