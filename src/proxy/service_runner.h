#pragma once

#include "balance/dispatcher.h"
#include "proxy/data_thread.h"
#include "proxy/response_store.h"
#include "proxy/tcp_listener.h"
#include "proxy/upstream_pool.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace medlarway
{

class DatagramService;

/// A caller's connection that a planned stop and a full stop must reach.
class CallerConnection
{
public:
    virtual ~CallerConnection() = default;

    /// A planned stop began: take no further request.
    virtual void beginDrain() = 0;

    /// Cut it now.
    virtual void abort() = 0;

    /// Called some times a second.
    virtual void sweep() = 0;

    /// Whether it is a feed or stream, which gets the longer grace.
    virtual bool isFeed() const = 0;
};

/// One request that waits for its dispatcher's decision.
class RequestWaiter
{
public:
    virtual ~RequestWaiter() = default;
    virtual void onStart(const Endpoint &upstream) = 0;
    virtual void onRefusal(const Refusal &refusal) = 0;
};

/// One service on one data thread: its listener, its dispatcher and what is open. Only its data thread touches it.
class ServiceRunner : public std::enable_shared_from_this<ServiceRunner>
{
public:
    ServiceRunner(DataThread &thread, Service service);
    ~ServiceRunner();
    ServiceRunner(const ServiceRunner &) = delete;
    ServiceRunner &operator=(const ServiceRunner &) = delete;

    // The service's own life.

    void start();
    void setService(const Service &service);
    void setView(const View &view);
    void retire(); ///< removed from the catalogue: listens no more, what is open runs on
    void beginDrain();
    void abort();
    void sweep(Time now);
    bool retired() const;
    bool draining() const;
    bool idle() const; ///< nothing is open
    Endpoint listeningOn() const;
    std::string stateAsJson() const;
    std::vector<std::string> explain(const std::string &path, const Endpoint &caller) const;
    void receive(HostId from, const SlotMessage &message);
    void receive(HostId from, const FlowMessage &message);
    void deliverRelayed(const RelayedDatagram &datagram);

    // For its connections.

    DataThread &thread();
    const Service &service() const;
    const std::shared_ptr<const Service> &sharedService() const;
    bool add(CallerConnection &connection); ///< false where the service has its limit
    void remove(CallerConnection &connection);
    RequestId arrive(RequestWaiter &waiter, Request request);
    void finish(RequestId id, AttemptResult result, Duration retryAfter);
    void cancel(RequestId id);
    void forget(RequestId id); ///< the request has ended; its waiter is not called again
    std::optional<Endpoint> openConnection(std::uint64_t hint);
    /// One that isn't among those that could not be reached a moment ago, where there is one.
    std::optional<Endpoint> openConnectionExcluding(std::uint64_t hint, const std::vector<Endpoint> &unreachable);
    void closeConnection(const Endpoint &upstream, bool failed);
    UpstreamPool &pool();
    ResponseStore &responses();

private:
    void openListener();
    void closeListener();
    View viewOrSelf() const;
    void onAccepted(tcp::socket socket);
    void apply();
    void scheduleTick();
    void endGrace(Time now);

    DataThread &thread_;
    std::shared_ptr<const Service> service_;
    Dispatcher dispatcher_;
    Decisions decisions_;
    asio::steady_timer tickTimer_;
    std::optional<Time> tickAt_;
    std::shared_ptr<TcpListener> listener_;
    std::shared_ptr<DatagramService> datagrams_;
    std::optional<Time> listenAgainAt_;
    std::unordered_set<CallerConnection *> connections_;
    std::unordered_map<RequestId, RequestWaiter *> waiters_;
    RequestId nextRequest_ = 1;
    UpstreamPool pool_;
    ResponseStore responses_;
    bool retired_ = false;
    std::optional<Time> drainBegan_;
    std::optional<View> view_;
};

} // namespace medlarway
