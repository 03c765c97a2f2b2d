#include "proxy/datagram_service.h"

#include "base/errors.h"
#include "base/hash.h"
#include "proxy/service_runner.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <sys/socket.h>

namespace medlarway
{

namespace
{

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Consecutive datagrams received on one socket before it yields to others of the thread.
constexpr int kMaxDatagramsPerTurn = 64;
constexpr int kReceiveBufferBytes = 4 << 20;

// Limit for the datagrams of one flow that are queued while the flow's owner is looked up.
constexpr std::size_t kMaxQueuedPerFlow = 16;

FlowSettings flowSettings(const ServiceRunner &runner, const ProxyOptions &options)
{
    FlowSettings result;
    result.flowLimit = options.flows;
    result.idleTimeout = runner.service().limits.idleTimeout;
    return result;
}

} // namespace

struct DatagramService::Flow {
    Endpoint caller;
    Endpoint upstream;
    udp::socket socket;
    bool counted = false; ///< whether the dispatcher counts the flow as an open connection
};

DatagramService::DatagramService(ServiceRunner &runner)
    : runner_(runner)
    , service_(runner.service().address)
    , socket_(runner.thread().context())
    , router_(runner.thread().options().self, flowSettings(runner, runner.thread().options()), currentTime())
{
}

DatagramService::~DatagramService() = default;

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
    ErrorCode ignored; // the system limits the size; with a smaller buffer datagrams are only dropped earlier
    socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
    waitToReceive();
    return error;
}

void DatagramService::setView(const View &view)
{
    const auto self = runner_.thread().options().self;
    hasPeers_ = std::any_of(view.members.begin(), view.members.end(),
                            [self](const Member &member) { return member.id != self && member.state != HostState::Leaving; });
    router_.setView(view, currentTime());
    applyDecisions();
}

void DatagramService::refuseNewFlows()
{
    acceptNewFlows_ = false;
}

void DatagramService::beginLeave()
{
    leaving_ = true;
    router_.beginLeave(currentTime());
}

void DatagramService::stop()
{
    if (stopped_) {
        return;
    }
    stopped_ = true;
    queued_.clear();
    while (!flows_.empty()) {
        closeFlow(flows_.begin()->first, false);
    }
    ErrorCode error;
    socket_.close(error);
}

void DatagramService::sweep(Time now)
{
    if (stopped_) {
        return;
    }
    const auto next = router_.nextTick();
    if (next && *next <= now) {
        router_.tick(now, outbox_, decisions_);
        applyDecisions();
    }
    if (!acceptNewFlows_ && flows_.empty()) {
        stop();
    }
}

std::size_t DatagramService::openFlows() const
{
    return flows_.size();
}

// Flows that were handed over to other hosts no longer depend on this host.
bool DatagramService::finished() const
{
    return flows_.empty() || stopped_ || (leaving_ && hasPeers_ && router_.handedOver());
}

Endpoint DatagramService::address() const
{
    ErrorCode error;
    const auto local = socket_.local_endpoint(error);
    return error ? Endpoint{} : endpointFrom(local);
}

FlowKey DatagramService::keyOf(const Endpoint &caller) const
{
    return FlowKey{caller, service_};
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
    for (int turn = 0; turn < kMaxDatagramsPerTurn && !stopped_; ++turn) {
        ErrorCode error;
        udp::endpoint from;
        const auto size = socket_.receive_from(asio::buffer(scratch.data(), scratch.size()), from, 0, error);
        if (isWouldBlock(error)) {
            break;
        }
        // Other errors report responses that a caller's host rejected; they don't affect the next datagram.
        if (!error) {
            onCallerDatagram(endpointFrom(from), 0, scratch.first(size));
        }
    }
    if (!stopped_) {
        waitToReceive();
    }
}

// The router decides on this datagram immediately; it may also decide on queued ones.
void DatagramService::onCallerDatagram(const Endpoint &caller, std::uint8_t hops, std::span<const char> payload)
{
    if (stopped_) {
        return;
    }
    const auto key = keyOf(caller);
    router_.onPacket(key, hops, currentTime(), outbox_, decisions_);
    const auto own = std::find_if(decisions_.packets.rbegin(), decisions_.packets.rend(),
                                  [&key](const auto &decision) { return decision.key == key; });
    if (own != decisions_.packets.rend()) {
        const auto decision = *own;
        decisions_.packets.erase(std::next(own).base());
        applyDecision(decision, hops, payload);
    }
    applyDecisions();
}

// Carries out the router's decisions: forwards queued datagrams, closes released flows and sends messages.
void DatagramService::applyDecisions()
{
    const auto decided = std::exchange(decisions_, FlowDecisions{});
    const auto messages = std::exchange(outbox_, {});
    for (const auto &decision : decided.packets) {
        flushQueue(decision);
    }
    for (const auto &binding : decided.released) {
        closeFlow(binding.caller, false);
    }
    const auto &send = runner_.thread().ports().sendFlowMessage;
    if (send) {
        for (const auto &outgoing : messages) {
            send(runner_.service().name, outgoing.to, outgoing.message);
        }
    }
}

void DatagramService::applyDecision(const FlowDecision &decision, std::uint8_t hops, std::span<const char> payload)
{
    switch (decision.action) {
    case FlowAction::Forward:
        forward(decision.key.caller, decision.upstream, payload);
        break;
    case FlowAction::New:
        startFlow(decision, payload);
        break;
    case FlowAction::Relay:
        relay(decision, hops, payload);
        break;
    case FlowAction::Hold:
        enqueue(decision.key.caller, hops, payload);
        break;
    case FlowAction::Drop:
        reportError(decision.error, runner_.service().name);
        break;
    }
}

void DatagramService::enqueue(const Endpoint &caller, std::uint8_t hops, std::span<const char> payload)
{
    auto &queue = queued_[caller];
    if (queue.size() >= kMaxQueuedPerFlow) {
        count(Counter::DatagramsDropped);
        return;
    }
    queue.push_back(QueuedDatagram{hops, std::string(payload.data(), payload.size())});
}

// The first datagram may open the flow; the following ones are then routed to the same upstream.
void DatagramService::flushQueue(const FlowDecision &decision)
{
    const auto found = queued_.find(decision.key.caller);
    if (found == queued_.end()) {
        return;
    }
    const auto queue = std::move(found->second);
    queued_.erase(found);
    for (std::size_t index = 0; index < queue.size(); ++index) {
        const auto &datagram = queue[index];
        if (index > 0 && decision.action == FlowAction::New) {
            onCallerDatagram(decision.key.caller, datagram.hops, datagram.payload);
        } else {
            applyDecision(decision, datagram.hops, datagram.payload);
        }
    }
}

void DatagramService::startFlow(const FlowDecision &decision, std::span<const char> payload)
{
    const auto upstream = acceptNewFlows_ ? runner_.openConnection(decision.hint) : std::nullopt;
    if (!upstream) {
        count(Counter::FlowsRefused);
        return;
    }
    const auto error = router_.bind(decision.key, *upstream, currentTime());
    if (error) {
        runner_.closeConnection(*upstream, false);
        reportError(*error, runner_.service().name);
        return;
    }
    count(Counter::FlowsOpened);
    openSocket(decision.key.caller, *upstream, true);
    forward(decision.key.caller, *upstream, payload);
}

void DatagramService::forward(const Endpoint &caller, const Endpoint &upstream, std::span<const char> payload)
{
    const auto found = flows_.find(caller);
    if (found != flows_.end() && found->second->upstream != upstream) {
        closeFlow(caller, false);
    }
    const auto open = flows_.find(caller);
    const auto flow = open != flows_.end() ? open->second : openSocket(caller, upstream, false);
    if (!flow) {
        count(Counter::DatagramsDropped);
        return;
    }
    ErrorCode error;
    flow->socket.send(asio::buffer(payload.data(), payload.size()), 0, error);
    count(error ? Counter::DatagramsDropped : Counter::DatagramsForwarded);
}

void DatagramService::relay(const FlowDecision &decision, std::uint8_t hops, std::span<const char> payload)
{
    const auto &send = runner_.thread().ports().relayDatagram;
    if (!fitsRelay(payload.size())) {
        reportError(ErrorKind::DatagramTooLarge, runner_.service().name);
        return;
    }
    if (!send) {
        count(Counter::DatagramsDropped);
        return;
    }
    const auto nextHops = static_cast<std::uint8_t>(hops + 1);
    send(decision.host, RelayedDatagram{decision.key.caller, service_, nextHops, std::string(payload.data(), payload.size())});
    count(Counter::DatagramsRelayed);
}

// A flow that was taken over from another host is already bound and is not counted by this host's dispatcher.
std::shared_ptr<DatagramService::Flow> DatagramService::openSocket(const Endpoint &caller, const Endpoint &upstream, bool counted)
{
    auto flow = std::make_shared<Flow>(Flow{caller, upstream, udp::socket(runner_.thread().context()), counted});
    ErrorCode error;
    flow->socket.open(udp::v4(), error);
    if (!error) {
        flow->socket.connect(udpEndpointOf(upstream), error);
    }
    if (!error) {
        flow->socket.non_blocking(true, error);
    }
    if (error) {
        reportError(ErrorKind::FlowTableFull, error.message());
        if (counted) {
            runner_.closeConnection(upstream, false);
        }
        return nullptr;
    }
    flows_.emplace(caller, flow);
    waitForUpstream(flow);
    return flow;
}

void DatagramService::waitForUpstream(const std::shared_ptr<Flow> &flow)
{
    flow->socket.async_wait(udp::socket::wait_read, [self = shared_from_this(), flow](const ErrorCode &error) {
        if (!error && !self->stopped_) {
            self->receiveFromUpstream(flow);
        }
    });
}

// Responses are sent from the service's own socket, so that the caller sees the address it sent to.
void DatagramService::receiveFromUpstream(const std::shared_ptr<Flow> &flow)
{
    const auto scratch = runner_.thread().scratch();
    for (int turn = 0; turn < kMaxDatagramsPerTurn; ++turn) {
        ErrorCode error;
        const auto size = flow->socket.receive(asio::buffer(scratch.data(), scratch.size()), 0, error);
        if (isWouldBlock(error)) {
            break;
        }
        if (error) {
            // The upstream's host reports that its port is closed. The flow is closed; its next datagram opens a new one.
            router_.forget(keyOf(flow->caller));
            closeFlow(flow->caller, true);
            return;
        }
        router_.touch(keyOf(flow->caller), currentTime());
        socket_.send_to(asio::buffer(scratch.data(), size), udpEndpointOf(flow->caller), 0, error);
        count(error ? Counter::DatagramsDropped : Counter::DatagramsForwarded);
    }
    waitForUpstream(flow);
}

void DatagramService::closeFlow(const Endpoint &caller, bool failed)
{
    const auto found = flows_.find(caller);
    if (found == flows_.end()) {
        return;
    }
    const auto flow = found->second;
    flows_.erase(found);
    if (flow->counted) {
        runner_.closeConnection(flow->upstream, failed);
    }
    ErrorCode error;
    flow->socket.close(error);
}

void DatagramService::receive(HostId from, const FlowMessage &message)
{
    if (!stopped_) {
        router_.receive(from, message, currentTime(), outbox_, decisions_);
        applyDecisions();
    }
}

void DatagramService::deliverRelayed(const RelayedDatagram &datagram)
{
    if (!fitsRelay(datagram.payload.size())) {
        reportError(ErrorKind::DatagramTooLarge, runner_.service().name);
        return;
    }
    onCallerDatagram(datagram.caller, datagram.hops, datagram.payload);
}

} // namespace medlarway
