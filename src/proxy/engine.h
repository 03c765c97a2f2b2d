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

/// How one host's data path runs. Times of zero mean at once.
struct ProxyOptions {
    HostId self; ///< never 0, which names no host
    AvailabilityZone zone;
    std::uint32_t bindAddress = 0; ///< taken where a service's address is 0.0.0.0; host byte order
    unsigned threads = 1; ///< data threads; each service belongs to one of them
    Duration requestGrace = std::chrono::seconds{30}; ///< of running requests at a planned stop
    Duration feedGrace = std::chrono::seconds{60}; ///< of open feeds, streams and flows at a planned stop
    Duration headTimeout = std::chrono::seconds{10}; ///< from the first byte of a request's head to its last
    Duration bodyTimeout = std::chrono::seconds{20}; ///< between two parts of a request's body
    Duration connectTimeout = std::chrono::seconds{2}; ///< of one connection to an upstream
    std::size_t headBytes = 16U << 10U; ///< largest head of a request or an answer
    std::size_t connections = 200'000; ///< callers' connections of one service
    std::size_t flows = 500'000; ///< datagram flows of one service
    std::size_t storedResponseBytes = 64U << 20U; ///< kept answers to protected requests with a key, per service
    std::size_t ringCapacity = 8192; ///< values that wait for one data thread
    std::uint64_t seed = 1;
};

/// What the data path asks of the cluster. Every function may be empty: the host then decides alone.
/// They are called on data threads and must not block; a reply may be called on any thread, once.
struct ProxyPorts {
    /// Asks whether a protected request with a key may run. `runBefore`: of Run, it is sent before this moment or not at all.
    std::function<void(const GuardKey &key, Duration window, Time deadline, std::function<void(GuardVerdict, Time runBefore)> reply)>
        claimKey;
    /// Called once for each Run. The same key may then be asked for again.
    std::function<void(const GuardKey &key, RunResult result)> finishRun;
    std::function<void(const std::string &service, HostId to, const SlotMessage &message)> sendSlotMessage;
    std::function<void(const std::string &service, HostId to, const FlowMessage &message)> sendFlowMessage;
    std::function<void(HostId to, const RelayedDatagram &datagram)> relayDatagram;
};

/// The data path of one host: listens for every service of the catalogue and carries its requests, streams and
/// datagrams. Every function may be called from any thread; none blocks but the two that answer an operator.
class ProxyEngine
{
public:
    ProxyEngine(ProxyOptions options, ProxyPorts ports);
    ~ProxyEngine(); ///< cuts what is still open; for a planned stop wait for drained() first
    ProxyEngine(const ProxyEngine &) = delete;
    ProxyEngine &operator=(const ProxyEngine &) = delete;

    /// Puts a catalogue in force. Open streams and running requests of removed services and upstreams run on.
    void applyCatalogue(const std::shared_ptr<const Catalogue> &catalogue);

    /// Takes a new view of the hosts.
    void applyView(const std::shared_ptr<const View> &view);

    /// A message of another host's dispatcher of the service.
    void deliverSlotMessage(const std::string &service, HostId from, const SlotMessage &message);

    /// A message of another host's flow router of the service.
    void deliverFlowMessage(const std::string &service, HostId from, const FlowMessage &message);

    /// A datagram that another host handed over.
    void deliverRelayedDatagram(HostId from, const RelayedDatagram &datagram);

    /// Begins the planned stop: nothing new is taken, what runs is finished within its grace.
    void beginDrain();

    /// The same with graces other than those of the options. Call it once.
    void beginDrain(Duration requestGrace, Duration feedGrace);

    /// Whether a planned stop is over.
    bool drained() const;

    /// The endpoint that the service listens on; nullopt where it doesn't. Waits up to a second.
    std::optional<Endpoint> listeningOn(const std::string &service) const;

    /// All services' state as one JSON object. Waits up to a second for the data threads.
    std::string stateAsJson() const;

    /// Which upstream a request would get, and why, a line each. Waits up to a second.
    std::vector<std::string> explain(const std::string &service, const std::string &path, const Endpoint &caller) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
