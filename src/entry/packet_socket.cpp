#include "entry/packet_socket.h"

#include "base/contained.h"
#include "base/errors.h"

#include <algorithm>
#include <cerrno>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

using boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

// Maximum number of batches read before other work of the thread gets its turn.
constexpr int kMaxBatches = 8;

// Receiving may fail repeatedly, for example without memory; the delay avoids a busy loop.
constexpr std::chrono::milliseconds kRetryDelay{10};

// Holds the packets that arrive while the process has used up its CPU quota.
constexpr int kReceiveBufferBytes = 1 << 20;

std::string textOf(int systemError)
{
    return ErrorCode(systemError, boost::system::system_category()).message();
}

sockaddr_in toSocketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    return address;
}

} // namespace

PacketSocket::PacketSocket(boost::asio::io_context &context, const Endpoint &listen, Handler handler)
    : handler_(std::move(handler))
    , socket_(context)
    , pause_(context)
{
    ErrorCode error;
    socket_.open(udp::v4(), error);
    if (!error) {
        socket_.bind(udp::endpoint(boost::asio::ip::address_v4(listen.address), listen.port), error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        throw Error(ErrorKind::AddressTaken, fmt::format("can't listen for packets at {}: {}", endpointToString(listen), error.message()));
    }
    ErrorCode ignored; // a smaller buffer only loses packets in a burst
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
    outgoing_.reserve(kBatchSize);
}

void PacketSocket::start()
{
    awaitReadable();
}

void PacketSocket::awaitReadable()
{
    socket_.async_wait(udp::socket::wait_read, [this](const ErrorCode &error) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            reportError(ErrorKind::Internal, "waiting for packets: " + error.message());
        }
        if (error || !receiveAll()) {
            retryReceive();
            return;
        }
        awaitReadable();
    });
}

// Looks for packets without a wait, as the wait itself may have failed.
void PacketSocket::retryReceive()
{
    pause_.expires_after(kRetryDelay);
    pause_.async_wait([this](const ErrorCode &error) {
        if (error) {
            return;
        }
        receiveAll();
        awaitReadable();
    });
}

// Returns false if the socket can't be read. The packets of a batch that were handled before an exception are sent.
bool PacketSocket::receiveAll()
{
    for (int batch = 0; batch < kMaxBatches; ++batch) {
        const auto received = receiveBatch();
        if (!received) {
            return false;
        }
        outgoing_.clear();
        if (*received > 0) {
            contain("packets", [this, received] { handler_(std::span(datagrams_).first(*received), outgoing_); });
        }
        send(outgoing_);
        if (*received < kBatchSize) {
            break;
        }
    }
    return true;
}

// Returns nullopt if the socket can't be read.
std::optional<std::size_t> PacketSocket::receiveBatch()
{
    std::array<mmsghdr, kBatchSize> messages{};
    std::array<iovec, kBatchSize> pieces{};
    for (std::size_t row = 0; row < kBatchSize; ++row) {
        pieces.at(row) = {buffers_.at(row).data(), kBufferBytes};
        messages.at(row).msg_hdr.msg_iov = &pieces.at(row);
        messages.at(row).msg_hdr.msg_iovlen = 1;
    }
    const int received = ::recvmmsg(socket_.native_handle(), messages.data(), kBatchSize, MSG_DONTWAIT, nullptr);
    if (received < 0 && errno != EAGAIN && errno != EINTR) {
        reportError(ErrorKind::Internal, "receiving packets: " + textOf(errno));
        return std::nullopt;
    }
    if (received <= 0) {
        return 0;
    }
    const auto count = static_cast<std::size_t>(received);
    for (std::size_t row = 0; row < count; ++row) {
        datagrams_.at(row) = std::span(buffers_.at(row)).first(messages.at(row).msg_len);
    }
    counts_.received += count;
    return count;
}

// A datagram that the kernel refuses is lost, as on any network; the endpoints retransmit.
void PacketSocket::send(std::vector<OutgoingPacket> &outgoing)
{
    std::array<mmsghdr, kBatchSize> messages{};
    std::array<std::array<iovec, 2>, kBatchSize> pieces{};
    std::array<sockaddr_in, kBatchSize> addresses{};
    std::size_t next = 0;
    while (next < outgoing.size()) {
        const auto count = std::min(kBatchSize, outgoing.size() - next);
        for (std::size_t row = 0; row < count; ++row) {
            auto &packet = outgoing[next + row];
            addresses.at(row) = toSocketAddress(packet.to);
            auto &piece = pieces.at(row);
            std::size_t used = 0;
            if (packet.prefixBytes > 0) {
                piece.at(used++) = {packet.prefix.data(), packet.prefixBytes};
            }
            piece.at(used++) = {const_cast<std::uint8_t *>(packet.body.data()), packet.body.size()};
            auto &header = messages.at(row).msg_hdr;
            header = {};
            header.msg_name = &addresses.at(row);
            header.msg_namelen = sizeof(sockaddr_in);
            header.msg_iov = piece.data();
            header.msg_iovlen = used;
        }
        const int sent = ::sendmmsg(socket_.native_handle(), messages.data(), static_cast<unsigned>(count), MSG_DONTWAIT);
        if (sent > 0) {
            counts_.sent += static_cast<std::size_t>(sent);
            next += static_cast<std::size_t>(sent);
        } else {
            recordRefusal(outgoing[next].to, errno);
            ++next;
        }
    }
}

void PacketSocket::recordRefusal(const Endpoint &to, int systemError)
{
    ++counts_.sendFailures;
    count(Counter::DatagramsDropped);
    if (logTakes(Event::DatagramDropped)) {
        logEvent(Event::DatagramDropped, {field("detail", textOf(systemError)), field("to", endpointToString(to))});
    }
}

} // namespace medlarway
