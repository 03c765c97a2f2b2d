#include "proxy/datagram_service.h"

#include "base/errors.h"
#include "base/hash.h"
#include "proxy/service_runner.h"

#include <boost/asio/buffer.hpp>
#include <sys/socket.h>

namespace medlarway
{

namespace
{

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Datagrams taken in a row before others of the thread get their turn.
constexpr int kDatagramsPerTurn = 64;
constexpr int kReceiveBufferBytes = 4 << 20;

} // namespace

struct DatagramService::Flow {
    Endpoint caller;
    Endpoint upstream;
    udp::socket socket;
    Time lastUsed;
};

DatagramService::DatagramService(ServiceRunner &runner)
    : runner_(runner)
    , socket_(runner.thread().context())
{
}

ErrorCode DatagramService::open(const Endpoint &address)
{
    ErrorCode error;
    socket_.open(udp::v4(), error);
    if (!error) {
        socket_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        socket_.set_option(ReusePort(true), error);
    }
    if (!error) {
        socket_.bind(udpEndpointOf(address), error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        return error;
    }
    ErrorCode ignored; // the system bounds it; a smaller buffer only drops earlier
    socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
    waitToReceive();
    return error;
}

void DatagramService::refuseNewFlows()
{
    newFlows_ = false;
    if (flows_.empty()) {
        stop();
    }
}

void DatagramService::stop()
{
    if (stopped_) {
        return;
    }
    stopped_ = true;
    while (!flows_.empty()) {
        closeFlow(flows_.begin()->first, false);
    }
    ErrorCode error;
    socket_.close(error);
}

void DatagramService::sweep(Time now)
{
    std::vector<Endpoint> silent;
    for (const auto &[caller, flow] : flows_) {
        if (now - flow->lastUsed > runner_.service().limits.idleTimeout) {
            silent.push_back(caller);
        }
    }
    for (const auto &caller : silent) {
        closeFlow(caller, false);
    }
    if (!newFlows_ && flows_.empty()) {
        stop();
    }
}

std::size_t DatagramService::openFlows() const
{
    return flows_.size();
}

Endpoint DatagramService::address() const
{
    ErrorCode error;
    const auto local = socket_.local_endpoint(error);
    return error ? Endpoint{} : endpointFrom(local);
}

void DatagramService::waitToReceive()
{
    socket_.async_wait(udp::socket::wait_read, [self = shared_from_this()](const ErrorCode &error) {
        if (!error && !self->stopped_) {
            self->receiveFromCallers();
        }
    });
}

void DatagramService::receiveFromCallers()
{
    const auto scratch = runner_.thread().scratch();
    for (int turn = 0; turn < kDatagramsPerTurn && !stopped_; ++turn) {
        ErrorCode error;
        udp::endpoint from;
        const auto size = socket_.receive_from(asio::buffer(scratch.data(), scratch.size()), from, 0, error);
        if (isWouldBlock(error)) {
            break;
        }
        // Other errors tell of answers that a caller refused; the next datagram is not concerned.
        if (!error) {
            onCallerDatagram(endpointFrom(from), scratch.first(size));
        }
    }
    if (!stopped_) {
        waitToReceive();
    }
}

void DatagramService::onCallerDatagram(const Endpoint &caller, std::span<const char> payload)
{
    const auto found = flows_.find(caller);
    const auto flow = found != flows_.end() ? found->second : openFlow(caller);
    if (!flow) {
        return;
    }
    flow->lastUsed = currentTime();
    ErrorCode error;
    flow->socket.send(asio::buffer(payload.data(), payload.size()), 0, error);
    count(error ? Counter::DatagramsDropped : Counter::DatagramsForwarded);
}

std::shared_ptr<DatagramService::Flow> DatagramService::openFlow(const Endpoint &caller)
{
    if (!newFlows_) {
        count(Counter::DatagramsDropped);
        return nullptr;
    }
    if (flows_.size() >= runner_.thread().options().flows) {
        reportError(ErrorKind::FlowTableFull, runner_.service().name);
        return nullptr;
    }
    const auto upstream = runner_.openConnection(std::hash<Endpoint>{}(caller));
    if (!upstream) {
        count(Counter::FlowsRefused);
        return nullptr;
    }
    auto flow = std::make_shared<Flow>(Flow{caller, *upstream, udp::socket(runner_.thread().context()), currentTime()});
    ErrorCode error;
    flow->socket.open(udp::v4(), error);
    if (!error) {
        flow->socket.connect(udpEndpointOf(*upstream), error);
    }
    if (!error) {
        flow->socket.non_blocking(true, error);
    }
    if (error) {
        runner_.closeConnection(*upstream, false);
        reportError(ErrorKind::FlowTableFull, error.message());
        return nullptr;
    }
    flows_.emplace(caller, flow);
    count(Counter::FlowsOpened);
    waitForAnswer(flow);
    return flow;
}

void DatagramService::waitForAnswer(const std::shared_ptr<Flow> &flow)
{
    flow->socket.async_wait(udp::socket::wait_read, [self = shared_from_this(), flow](const ErrorCode &error) {
        if (!error && !self->stopped_) {
            self->receiveFromUpstream(flow);
        }
    });
}

// Answers leave by the service's own socket, so that the caller sees the address it sent to.
void DatagramService::receiveFromUpstream(const std::shared_ptr<Flow> &flow)
{
    const auto scratch = runner_.thread().scratch();
    for (int turn = 0; turn < kDatagramsPerTurn; ++turn) {
        ErrorCode error;
        const auto size = flow->socket.receive(asio::buffer(scratch.data(), scratch.size()), 0, error);
        if (isWouldBlock(error)) {
            break;
        }
        if (error) {
            // The upstream's host says that nobody listens: the flow ends, its next datagram opens a new one.
            closeFlow(flow->caller, true);
            return;
        }
        flow->lastUsed = currentTime();
        socket_.send_to(asio::buffer(scratch.data(), size), udpEndpointOf(flow->caller), 0, error);
        count(error ? Counter::DatagramsDropped : Counter::DatagramsForwarded);
    }
    waitForAnswer(flow);
}

void DatagramService::closeFlow(const Endpoint &caller, bool failed)
{
    const auto found = flows_.find(caller);
    if (found == flows_.end()) {
        return;
    }
    const auto flow = found->second;
    flows_.erase(found);
    runner_.closeConnection(flow->upstream, failed);
    ErrorCode error;
    flow->socket.close(error);
}

void DatagramService::deliverRelayed(HostId /*from*/, const RelayedDatagram &datagram)
{
    if (datagram.payload.size() > kRelayedPayloadBytes) {
        reportError(ErrorKind::DatagramTooLarge, runner_.service().name);
        return;
    }
    if (datagram.hops > kRelayHops) {
        reportError(ErrorKind::HopLimit, runner_.service().name);
        return;
    }
    onCallerDatagram(datagram.caller, std::span(datagram.payload.data(), datagram.payload.size()));
}

} // namespace medlarway
