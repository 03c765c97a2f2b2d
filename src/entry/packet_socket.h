#pragma once

#include "base/endpoint.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <optional>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace medlarway
{

/// A datagram to send: an optional prefix and a body. The body's memory must stay valid until the batch has been sent.
struct OutgoingPacket {
    Endpoint to;
    std::array<std::uint8_t, 8> prefix{};
    std::size_t prefixBytes = 0; ///< number of prefix bytes to send
    std::span<const std::uint8_t> body;
};

/// Counters of a socket since its creation.
struct PacketSocketCounts {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    std::uint64_t sendFailures = 0; ///< datagrams that the kernel refused
};

/// Sends and receives datagrams in batches, without allocations per packet. To be used only on the thread that runs the context.
class PacketSocket
{
public:
    /// Maximum number of datagrams in a batch. A smaller batch means that the socket is drained.
    static constexpr std::size_t kBatchSize = 32;

    /// Called for each batch with its datagrams in order of arrival, which may be modified in place. The packets appended to outgoing are
    /// sent after the call returns or throws.
    using Handler = std::function<void(std::span<std::span<std::uint8_t>> datagrams, std::vector<OutgoingPacket> &outgoing)>;

    /// Binds the socket. Throws Error(AddressTaken) on failure.
    PacketSocket(boost::asio::io_context &context, const Endpoint &listen, Handler handler);

    /// Starts receiving.
    void start();

    /// Sends packets at once, outside of a batch.
    void send(std::vector<OutgoingPacket> &outgoing);

    const PacketSocketCounts &counts() const
    {
        return counts_;
    }

private:
    static constexpr std::size_t kBufferBytes = 1536; ///< larger than any valid packet, so that oversized ones are detected

    void awaitReadable();
    void retryReceive();
    bool receiveAll();
    std::optional<std::size_t> receiveBatch();
    void recordRefusal(const Endpoint &to, int systemError);

    Handler handler_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::steady_timer pause_; ///< before receiving again after an error
    PacketSocketCounts counts_;
    std::vector<OutgoingPacket> outgoing_;
    std::array<std::array<std::uint8_t, kBufferBytes>, kBatchSize> buffers_{};
    std::array<std::span<std::uint8_t>, kBatchSize> datagrams_{};
};

} // namespace medlarway
