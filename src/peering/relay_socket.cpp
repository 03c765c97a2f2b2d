#include "peering/relay_socket.h"

#include "base/contained.h"
#include "base/errors.h"

#include <boost/asio/buffer.hpp>

namespace medlarway
{

namespace
{

using boost::asio::ip::udp;

constexpr int kSocketBufferBytes = 4 << 20;

// Receiving may fail repeatedly, for example without memory; the delay avoids a busy loop.
constexpr std::chrono::milliseconds kReceiveRetryDelay{100};

udp::endpoint asioEndpoint(const Endpoint &endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace

RelaySocket::RelaySocket(boost::asio::io_context &context, const Endpoint &listen, Handler handler)
    : handler_(std::move(handler))
    , socket_(context)
    , pause_(context)
{
    boost::system::error_code error;
    socket_.open(udp::v4(), error);
    if (!error) {
        socket_.bind(asioEndpoint(listen), error);
    }
    if (error) {
        throw Error(ErrorKind::AddressTaken, "peers' datagram port " + endpointToString(listen) + ": " + error.message());
    }
    socket_.non_blocking(true);
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(kSocketBufferBytes), error);
}

void RelaySocket::start()
{
    receiveNext();
}

void RelaySocket::receiveNext()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            retryReceive(error);
            return;
        }
        if (size <= kMaxRelayBytes) {
            contain("datagram of a peer", [this, size] { handler_(std::string_view(buffer_.data(), size)); });
        }
        receiveNext();
    });
}

void RelaySocket::retryReceive(const boost::system::error_code &failure)
{
    reportError(ErrorKind::Internal, "receiving datagrams of peers: " + failure.message());
    pause_.expires_after(kReceiveRetryDelay);
    pause_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            receiveNext();
        }
    });
}

bool RelaySocket::send(HostId to, std::string_view sealed)
{
    if (sealed.size() > kMaxRelayBytes) {
        return false;
    }
    boost::system::error_code error;
    socket_.send_to(boost::asio::buffer(sealed.data(), sealed.size()), asioEndpoint(endpointOf(to)), 0, error);
    return !error;
}

} // namespace medlarway
