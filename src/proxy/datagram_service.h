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

/// One datagram service: its socket towards callers, the router that places its flows on hosts, and for each flow
/// that this host holds a connected socket towards its upstream.
class DatagramService : public std::enable_shared_from_this<DatagramService>
{
public:
    /// The runner must outlive it or call stop() first.
    explicit DatagramService(ServiceRunner &runner);
    ~DatagramService();
    DatagramService(const DatagramService &) = delete;
    DatagramService &operator=(const DatagramService &) = delete;

    /// Takes datagrams at the address; the error where it can't.
    ErrorCode open(const Endpoint &address);

    void setView(const View &view);

    /// Flows that are open go on; datagrams of others are dropped.
    void refuseNewFlows();

    /// A planned stop: flows are handed to other hosts, where there are any.
    void beginLeave();

    /// Ends all flows and closes.
    void stop();

    /// Time passed.
    void sweep(Time now);

    void receive(HostId from, const FlowMessage &message);
    void deliverRelayed(const RelayedDatagram &datagram);

    std::size_t openFlows() const;
    bool finished() const; ///< no flow depends on this host any more
    Endpoint address() const;

private:
    struct Flow;

    FlowKey keyOf(const Endpoint &caller) const;
    void waitToReceive();
    void receiveFromCallers();
    void onCallerDatagram(const Endpoint &caller, std::uint8_t hops, std::span<const char> payload);
    void applyDecisions();
    void carry(const FlowDecision &decision, std::uint8_t hops, std::span<const char> payload);
    void hold(const Endpoint &caller, std::uint8_t hops, std::span<const char> payload);
    void releaseHeld(const FlowDecision &decision);
    void forward(const Endpoint &caller, const Endpoint &upstream, std::span<const char> payload);
    void startFlow(const FlowDecision &decision, std::span<const char> payload);
    void relay(const FlowDecision &decision, std::uint8_t hops, std::span<const char> payload);
    std::shared_ptr<Flow> openSocket(const Endpoint &caller, const Endpoint &upstream, bool counted);
    void waitForAnswer(const std::shared_ptr<Flow> &flow);
    void receiveFromUpstream(const std::shared_ptr<Flow> &flow);
    void closeFlow(const Endpoint &caller, bool failed);

    struct HeldDatagram {
        std::uint8_t hops = 0;
        std::string payload;
    };

    ServiceRunner &runner_;
    const Endpoint service_; ///< as the catalogue names it, the same on every host
    udp::socket socket_;
    FlowRouter router_;
    Outbox<FlowMessage> outbox_;
    FlowDecisions decisions_;
    std::unordered_map<Endpoint, std::shared_ptr<Flow>> flows_;
    std::unordered_map<Endpoint, std::vector<HeldDatagram>> held_;
    bool hasPeers_ = false;
    bool newFlows_ = true;
    bool leaving_ = false;
    bool stopped_ = false;
};

} // namespace medlarway
