#pragma once

#include "flows/flow_router.h"
#include "proxy/engine.h"
#include "proxy/net.h"

#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarway
{

class ServiceRunner;

/// One datagram service: its socket towards callers, the router that assigns its flows to hosts, and a connected socket
/// towards the upstream for each flow that this host owns.
class DatagramService : public std::enable_shared_from_this<DatagramService>
{
public:
    /// The runner must outlive it or call stop() first.
    explicit DatagramService(ServiceRunner &runner);
    ~DatagramService();
    DatagramService(const DatagramService &) = delete;
    DatagramService &operator=(const DatagramService &) = delete;

    /// Starts receiving datagrams at the address; returns the error if that fails.
    ErrorCode open(const Endpoint &address);

    void setView(const View &view);

    /// Continues open flows and drops datagrams of new ones.
    void refuseNewFlows();

    /// Begins a planned stop: hands flows over to other hosts, if there are any.
    void beginLeave();

    /// Closes all flows and the socket.
    void stop();

    /// Performs the router's due work. Called several times per second.
    void sweep(Time now);

    void receive(HostId from, const FlowMessage &message);
    void deliverRelayed(const RelayedDatagram &datagram);

    std::size_t openFlows() const;
    bool finished() const; ///< whether no flow depends on this host any longer
    Endpoint address() const;

private:
    struct Flow;

    FlowKey keyOf(const Endpoint &caller) const;
    void waitToReceive();
    void receiveFromCallers();
    void onCallerDatagram(const Endpoint &caller, std::uint8_t hops, std::span<const char> payload);
    void applyDecisions();
    void applyDecision(const FlowDecision &decision, std::uint8_t hops, std::span<const char> payload);
    void enqueue(const Endpoint &caller, std::uint8_t hops, std::span<const char> payload);
    void flushQueue(const FlowDecision &decision);
    void forward(const Endpoint &caller, const Endpoint &upstream, std::span<const char> payload);
    void startFlow(const FlowDecision &decision, std::span<const char> payload);
    void relay(const FlowDecision &decision, std::uint8_t hops, std::span<const char> payload);
    std::shared_ptr<Flow> openSocket(const Endpoint &caller, const Endpoint &upstream, bool counted);
    void waitForUpstream(const std::shared_ptr<Flow> &flow);
    void receiveFromUpstream(const std::shared_ptr<Flow> &flow);
    void closeFlow(const Endpoint &caller, bool failed);

    struct QueuedDatagram {
        std::uint8_t hops = 0;
        std::string payload;
    };

    ServiceRunner &runner_;
    const Endpoint service_; ///< the service's address in the catalogue, the same on every host
    udp::socket socket_;
    FlowRouter router_;
    Outbox<FlowMessage> outbox_;
    FlowDecisions decisions_;
    std::unordered_map<Endpoint, std::shared_ptr<Flow>> flows_;
    std::unordered_map<Endpoint, std::vector<QueuedDatagram>> queued_;
    bool hasPeers_ = false;
    bool acceptNewFlows_ = true;
    bool leaving_ = false;
    bool stopped_ = false;
};

} // namespace medlarway
