#include "standin/platform/packets.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/endian/conversion.hpp>
#include <chrono>
#include <thread>
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
constexpr std::size_t kHeadBytes = 36;
constexpr std::size_t kBufferBytes = 2048;
constexpr std::uint8_t kSyn = 2;
constexpr std::uint8_t kAck = 16;
constexpr std::uint8_t kRst = 32;
constexpr std::uint32_t kUpstreamSequence = 5000;
constexpr std::uint32_t kClientSequence = 900;
constexpr std::chrono::milliseconds kSendAgain{200};
constexpr int kMostSends = 10;
constexpr std::uint16_t kFirstPort = 40000;

// A packet of either end, written and read apart from the adapter, so that a fault in one shows.
struct Packet {
    std::uint32_t echo = 0;
    Endpoint source;
    Endpoint destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint8_t flags = 0;
    std::string data;
};

std::string write(const Packet &packet)
{
    std::array<std::uint8_t, kHeadBytes> head{};
    endian::store_big_u32(&head[0], packet.echo);
    endian::store_big_u16(&head[8], packet.source.port);
    endian::store_big_u32(&head[10], packet.destination.address);
    endian::store_big_u32(&head[14], packet.source.address);
    endian::store_big_u16(&head[18], packet.destination.port);
    endian::store_big_u32(&head[20], packet.sequence);
    endian::store_big_u32(&head[24], packet.acknowledged);
    endian::store_big_u16(&head[28], static_cast<std::uint16_t>(packet.data.size()));
    head[30] = packet.flags;
    return std::string(head.begin(), head.end()) + packet.data;
}

std::optional<Packet> read(const std::uint8_t *bytes, std::size_t size)
{
    if (size < kHeadBytes) {
        return std::nullopt;
    }
    Packet packet;
    packet.echo = endian::load_big_u32(bytes);
    packet.source = {endian::load_big_u32(bytes + 14), endian::load_big_u16(bytes + 8)};
    packet.destination = {endian::load_big_u32(bytes + 10), endian::load_big_u16(bytes + 18)};
    packet.sequence = endian::load_big_u32(bytes + 20);
    packet.acknowledged = endian::load_big_u32(bytes + 24);
    packet.flags = bytes[30];
    packet.data.assign(bytes + kHeadBytes, bytes + size);
    return packet;
}

udp::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace

struct StandinPacketUpstream::Impl {
    Impl(std::string givenName, std::uint64_t givenNumber, const Endpoint &listen, std::uint16_t port)
        : name(std::move(givenName))
        , number(givenNumber)
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
            answer(size);
            receive();
        });
    }

    void answer(std::size_t size)
    {
        const auto packet = size < kPrefixBytes ? std::nullopt : read(buffer.data() + kPrefixBytes, size - kPrefixBytes);
        if (!packet) {
            return;
        }
        if (endian::load_big_u64(buffer.data()) != number) {
            ++foreign;
            return;
        }
        const bool opens = (packet->flags & kSyn) != 0;
        openings += opens ? 1 : 0;
        if (!opens && packet->data.empty()) {
            return;
        }
        Packet reply;
        reply.echo = packet->echo;
        reply.source = packet->destination;
        reply.destination = packet->source;
        reply.sequence = opens ? kUpstreamSequence : packet->acknowledged;
        reply.acknowledged = packet->sequence + (opens ? 1 : static_cast<std::uint32_t>(packet->data.size()));
        reply.flags = opens ? kSyn | kAck : kAck;
        reply.data = opens ? "" : name + ": " + packet->data;
        ErrorCode ignored;
        socket.send_to(asio::buffer(write(reply)), toAsio({packet->source.address, clientPort}), 0, ignored);
    }

    std::string name;
    std::uint64_t number;
    std::uint16_t clientPort;
    asio::io_context context{1};
    udp::socket socket;
    tcp::acceptor acceptor;
    std::array<std::uint8_t, kBufferBytes> buffer{};
    std::atomic<std::size_t> foreign{0};
    std::atomic<std::size_t> openings{0};
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
    return impl_->foreign;
}

std::size_t StandinPacketUpstream::openings() const
{
    return impl_->openings;
}

struct StandinPacketClient::Impl {
    explicit Impl(const Endpoint &listen)
        : address(listen.address)
        , socket(context, toAsio(listen))
    {
    }

    // Sends until something of the flow comes that ends the wait.
    ClientEvent converse(const HostOfPacket &host, const std::string &bytes)
    {
        for (int sends = 0; sends < kMostSends; ++sends) {
            ErrorCode ignored;
            socket.send_to(asio::buffer(bytes), toAsio(host(flow.source.port)), 0, ignored);
            const auto event = listen(SteadyClock::now() + kSendAgain);
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
            bool done = false;
            socket.async_receive_from(asio::buffer(buffer), sender, [&](const ErrorCode &error, std::size_t bytes) {
                size = error ? 0 : bytes;
                done = true;
            });
            context.restart();
            context.run_until(until);
            if (!done) {
                socket.cancel();
                context.restart();
                context.run();
            }
            const auto event = take(size);
            if (event != ClientEvent::Nothing) {
                return event;
            }
        }
        return ClientEvent::Nothing;
    }

    ClientEvent take(std::size_t size)
    {
        const auto packet = read(buffer.data(), size);
        if (!packet || packet->destination != flow.source) {
            return ClientEvent::Nothing;
        }
        if ((packet->flags & kRst) != 0) {
            return ClientEvent::Reset;
        }
        flow.echo = packet->echo;
        if ((packet->flags & kSyn) != 0) {
            flow.acknowledged = packet->sequence + 1;
            return opening ? ClientEvent::Opened : ClientEvent::Nothing;
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
    udp::endpoint sender; ///< of what is in the buffer
    Packet flow; ///< what the flow's next packet says
    std::uint16_t nextPort = kFirstPort;
    bool opening = false;
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

ClientEvent StandinPacketClient::open(const HostOfPacket &host, const Endpoint &route)
{
    auto &flow = impl_->flow;
    flow = {};
    flow.source = {impl_->address, impl_->nextPort++};
    flow.destination = route;
    flow.sequence = kClientSequence;
    flow.flags = kSyn;
    impl_->opening = true;
    const auto event = impl_->converse(host, write(flow));
    impl_->opening = false;
    flow.flags = kAck;
    flow.sequence = kClientSequence + 1;
    if (event == ClientEvent::Opened) {
        ErrorCode ignored;
        impl_->socket.send_to(asio::buffer(write(flow)), toAsio(host(flow.source.port)), 0, ignored);
    }
    return event;
}

ClientEvent StandinPacketClient::exchange(const HostOfPacket &host, const std::string &request)
{
    auto packet = impl_->flow;
    packet.data = request;
    impl_->flow.sequence += static_cast<std::uint32_t>(request.size());
    return impl_->converse(host, write(packet));
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
