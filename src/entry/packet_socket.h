#pragma once

#include "base/endpoint.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace medlarway
{

/// A datagram to send: up to two pieces, which must stay valid until the batch has been sent.
struct OutgoingPacket {
    Endpoint to;
    std::array<std::uint8_t, 8> prefix{};
    std::size_t prefixBytes = 0; ///< how much of the prefix is sent
    std::span<const std::uint8_t> body;
};

/// What a socket did, since the start.
struct PacketSocketCounts {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    std::uint64_t sendFailures = 0; ///< the kernel did not take them
};

/// Sends and receives datagrams in batches, with no allocation for a packet. Lives on the thread that runs the context.
class PacketSocket
{
public:
    /// Datagrams in one batch at most; one with fewer has emptied the socket.
    static constexpr std::size_t kBatch = 32;

    /// Called for each batch with the datagrams in it, in the order in which they came; they may be changed in place.
    /// What is put into the second argument is sent once the call returns.
    using Handler = std::function<void(std::span<std::span<std::uint8_t>> datagrams, std::vector<OutgoingPacket> &outgoing)>;

    /// Binds at once. Throws Error(AddressTaken) where it can't.
    PacketSocket(boost::asio::io_context &context, const Endpoint &listen, Handler handler);

    /// Begins to receive.
    void start();

    /// Sends outside of a batch.
    void send(std::vector<OutgoingPacket> &outgoing);

    const PacketSocketCounts &counts() const
    {
        return counts_;
    }

private:
    static constexpr std::size_t kBufferBytes = 1536; ///< above the largest packet, so that a longer one is noticed

    void awaitReadable();
    void receiveAll();
    std::size_t receiveBatch();

    Handler handler_;
    boost::asio::ip::udp::socket socket_;
    PacketSocketCounts counts_;
    std::vector<OutgoingPacket> outgoing_;
    std::array<std::array<std::uint8_t, kBufferBytes>, kBatch> buffers_{};
    std::array<std::span<std::uint8_t>, kBatch> datagrams_{};
};

} // namespace medlarway
