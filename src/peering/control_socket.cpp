#include "peering/control_socket.h"

#include "base/errors.h"
#include "peering/codec.h"
#include "peering/envelope.h"

#include <chrono>
#include <future>
#include <memory>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <utility>
#include <vector>

namespace medlarway
{

namespace
{

constexpr int kSendQueueMessages = 64;
constexpr int kReceiveQueueMessages = 256;
constexpr nng_duration kReconnectMinMilliseconds = 50;
constexpr nng_duration kReconnectMaxMilliseconds = 1000;
constexpr nng_duration kReceiveTimeoutMilliseconds = 100;
constexpr std::chrono::milliseconds kCloseTimeout{1000};

std::string urlOf(const Endpoint &endpoint)
{
    return "tcp://" + endpointToString(endpoint);
}

nng_socket socketOf(std::uint32_t id)
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    socket.id = id;
    return socket;
}

// nng_close sometimes blocks forever while a peer is establishing a connection. A planned shutdown must not hang,
// so a separate thread closes the sockets and is abandoned after the timeout.
void closeWithTimeout(std::vector<std::uint32_t> sockets, std::chrono::milliseconds timeout)
{
    auto closed = std::make_shared<std::promise<void>>();
    auto done = closed->get_future();
    std::thread([closed, sockets = std::move(sockets)] {
        for (const auto socket : sockets) {
            nng_close(socketOf(socket));
        }
        closed->set_value();
    }).detach();
    if (done.wait_for(timeout) != std::future_status::ready) {
        logEvent(Event::InternalFault, {field("detail", "the peers' sockets did not close in time and are left to the operating system")});
    }
}

} // namespace

ControlSocket::ControlSocket(const Endpoint &listen, Handler handler)
    : handler_(std::move(handler))
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_pull0_open(&socket) != 0) {
        throw Error(ErrorKind::Internal, "the peers' socket can't be opened");
    }
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes + kEnvelopeBytes);
    nng_socket_set_int(socket, NNG_OPT_RECVBUF, kReceiveQueueMessages);
    nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, kReceiveTimeoutMilliseconds);
    if (const int failure = nng_listen(socket, urlOf(listen).c_str(), nullptr, 0); failure != 0) {
        nng_close(socket);
        throw Error(ErrorKind::AddressTaken, "peers' port " + endpointToString(listen) + ": " + nng_strerror(failure));
    }
    pullSocket_ = socket.id;
    thread_ = std::thread([this] { receiveLoop(); });
}

ControlSocket::~ControlSocket()
{
    stopping_ = true;
    thread_.join();
    std::vector<std::uint32_t> sockets;
    for (const auto &[host, connection] : connections_) {
        sockets.push_back(connection.socket);
    }
    sockets.push_back(pullSocket_);
    closeWithTimeout(std::move(sockets), kCloseTimeout);
}

void ControlSocket::receiveLoop()
{
    while (!stopping_) {
        nng_msg *message = nullptr;
        const int result = nng_recvmsg(socketOf(pullSocket_), &message, 0);
        if (result == NNG_ECLOSED) {
            return;
        }
        if (result != 0) {
            continue;
        }
        handler_(std::string_view(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message)));
        nng_msg_free(message);
    }
}

void ControlSocket::closeLeastRecentlyUsed()
{
    const auto leastRecent = recentlyUsed_.back();
    nng_close(socketOf(connections_.at(leastRecent).socket));
    connections_.erase(leastRecent);
    recentlyUsed_.pop_back();
}

// Returns the socket that sends to the host, 0 on failure. Dials without blocking; nng keeps reconnecting while the
// socket is open, so a host that was down becomes reachable again without further action.
std::uint32_t ControlSocket::socketFor(HostId to)
{
    if (const auto found = connections_.find(to); found != connections_.end()) {
        recentlyUsed_.splice(recentlyUsed_.begin(), recentlyUsed_, found->second.position);
        return found->second.socket;
    }
    if (connections_.size() >= kMaxConnections) {
        closeLeastRecentlyUsed();
    }
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_push0_open(&socket) != 0) {
        return 0;
    }
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendQueueMessages);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kReconnectMinMilliseconds);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kReconnectMaxMilliseconds);
    if (nng_dial(socket, urlOf(endpointOf(to)).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
        nng_close(socket);
        return 0;
    }
    recentlyUsed_.push_front(to);
    connections_.emplace(to, Connection{socket.id, recentlyUsed_.begin()});
    return socket.id;
}

bool ControlSocket::send(HostId to, std::string_view sealed)
{
    const auto socket = socketFor(to);
    if (socket == 0) {
        return false;
    }
    nng_msg *message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0) {
        return false;
    }
    if (nng_msg_append(message, sealed.data(), sealed.size()) != 0 || nng_sendmsg(socketOf(socket), message, NNG_FLAG_NONBLOCK) != 0) {
        nng_msg_free(message);
        return false;
    }
    return true;
}

} // namespace medlarway
