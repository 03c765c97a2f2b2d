#pragma once

#include "proxy/engine.h"
#include "proxy/net.h"

#include <memory>
#include <unordered_map>

namespace medlarway
{

class ServiceRunner;

/// One datagram service: its socket towards callers and, for each flow, a connected socket towards the upstream.
class DatagramService : public std::enable_shared_from_this<DatagramService>
{
public:
    /// The runner must outlive it or call stop() first.
    explicit DatagramService(ServiceRunner &runner);

    /// Takes datagrams at the address; the error where it can't.
    ErrorCode open(const Endpoint &address);

    /// Flows that are open go on; datagrams of others are dropped.
    void refuseNewFlows();

    /// Ends all flows and closes.
    void stop();

    /// Ends flows that were silent for the service's idle timeout.
    void sweep(Time now);

    void deliverRelayed(HostId from, const RelayedDatagram &datagram);

    std::size_t openFlows() const;
    Endpoint address() const;

private:
    struct Flow;

    void waitToReceive();
    void receiveFromCallers();
    void onCallerDatagram(const Endpoint &caller, std::span<const char> payload);
    std::shared_ptr<Flow> openFlow(const Endpoint &caller);
    void waitForAnswer(const std::shared_ptr<Flow> &flow);
    void receiveFromUpstream(const std::shared_ptr<Flow> &flow);
    void closeFlow(const Endpoint &caller, bool failed);

    ServiceRunner &runner_;
    udp::socket socket_;
    std::unordered_map<Endpoint, std::shared_ptr<Flow>> flows_;
    bool newFlows_ = true;
    bool stopped_ = false;
};

} // namespace medlarway
