#pragma once

#include "balance/dispatcher.h"
#include "base/host.h"
#include "base/time.h"
#include "catalogue/service.h"
#include "flows/flow_message.h"
#include "flows/relay.h"
#include "guard/key_guard.h"
#include "guard/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// Options of one host's data path. A duration of zero expires immediately.
struct ProxyOptions {
    HostId self; ///< must not be 0, which identifies no host
    AvailabilityZone zone;
    std::uint32_t bindAddress = 0; ///< replaces a service's address 0.0.0.0; host byte order
    unsigned threads = 1; ///< number of data threads; each service is pinned to one of them
    Duration requestGrace = std::chrono::seconds{30}; ///< drain timeout of running requests at a planned stop
    Duration feedGrace = std::chrono::seconds{60}; ///< drain timeout of open feeds, streams and flows at a planned stop
    Duration headTimeout = std::chrono::seconds{10}; ///< limit for receiving a request's head, from its first byte
    Duration bodyTimeout = std::chrono::seconds{20}; ///< limit for a pause within a request's body
    Duration connectTimeout = std::chrono::seconds{2}; ///< limit for connecting to an upstream
    std::size_t headBytes = 16U << 10U; ///< largest head of a request or response
    std::size_t connections = 200'000; ///< maximum number of callers' connections per service
    std::size_t flows = 500'000; ///< maximum number of datagram flows per service
    std::size_t storedResponseBytes = 64U << 20U; ///< limit for stored responses to protected requests with a key, per service
    std::size_t ringCapacity = 8192; ///< maximum number of tasks queued for one data thread
    std::uint64_t seed = 1;
};

/// The functions through which the data path uses the cluster. Any of them may be empty; the host then decides alone.
/// They are called on data threads and must not block. `reply` must be called once, on any thread.
struct ProxyPorts {
    /// Claims the key of a protected request. After the verdict Run the request must be sent before `runBefore` or not at all.
    std::function<void(const GuardKey &key, Duration window, Time deadline, std::function<void(GuardVerdict, Time runBefore)> reply)>
        claimKey;
    /// Reports the result of a run, once for each verdict Run. The same key may be claimed again afterwards.
    std::function<void(const GuardKey &key, RunResult result)> finishRun;
    std::function<void(const std::string &service, HostId to, const SlotMessage &message)> sendSlotMessage;
    std::function<void(const std::string &service, HostId to, const FlowMessage &message)> sendFlowMessage;
    std::function<void(HostId to, const RelayedDatagram &datagram)> relayDatagram;
};

/// The data path of one host: listens for every service of the catalogue and forwards its requests, streams and
/// datagrams. Thread-safe. Only listeningOn(), stateAsJson() and explain() block.
class ProxyEngine
{
public:
    ProxyEngine(ProxyOptions options, ProxyPorts ports);
    ~ProxyEngine(); ///< aborts open connections; for a planned stop wait for drained() first
    ProxyEngine(const ProxyEngine &) = delete;
    ProxyEngine &operator=(const ProxyEngine &) = delete;

    /// Applies a catalogue. Open streams and running requests of removed services and upstreams continue.
    void applyCatalogue(const std::shared_ptr<const Catalogue> &catalogue);

    /// Applies a new view of the hosts.
    void applyView(const std::shared_ptr<const View> &view);

    /// Handles a message from another host's dispatcher of the service.
    void deliverSlotMessage(const std::string &service, HostId from, const SlotMessage &message);

    /// Handles a message from another host's flow router of the service.
    void deliverFlowMessage(const std::string &service, HostId from, const FlowMessage &message);

    /// Handles a datagram that another host has relayed to this one.
    void deliverRelayedDatagram(HostId from, const RelayedDatagram &datagram);

    /// Begins the planned stop: accepts nothing new and lets running work finish within its drain timeout.
    void beginDrain();

    /// Begins the planned stop with other drain timeouts than those of the options. Call at most once.
    void beginDrain(Duration requestGrace, Duration feedGrace);

    /// Whether a planned stop is complete.
    bool drained() const;

    /// The endpoint that the service listens on; nullopt if it doesn't listen. Blocks for at most one second.
    std::optional<Endpoint> listeningOn(const std::string &service) const;

    /// The state of all services as one JSON object. Blocks for at most one second per data thread.
    std::string stateAsJson() const;

    /// Explains, one line per fact, which upstream a request would get. Blocks for at most one second.
    std::vector<std::string> explain(const std::string &service, const std::string &path, const Endpoint &caller) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
