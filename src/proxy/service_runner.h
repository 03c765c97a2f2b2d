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

/// A caller's connection as seen by its service, which stops and sweeps it.
class CallerConnection
{
public:
    virtual ~CallerConnection() = default;

    /// Called when a planned stop begins: accept no further requests.
    virtual void beginDrain() = 0;

    /// Aborts the connection immediately.
    virtual void abort() = 0;

    /// Called several times per second.
    virtual void sweep() = 0;

    /// Whether it is a feed or stream, to which ProxyOptions::feedGrace applies.
    virtual bool isFeed() const = 0;
};

/// A request that waits for the dispatcher's decision.
class RequestWaiter
{
public:
    virtual ~RequestWaiter() = default;
    virtual void onStart(const Endpoint &upstream) = 0;
    virtual void onRefusal(const Refusal &refusal) = 0;
};

/// One service on its data thread: its listener, dispatcher and open connections. Used only on that thread.
class ServiceRunner : public std::enable_shared_from_this<ServiceRunner>
{
public:
    ServiceRunner(DataThread &thread, Service service);
    ~ServiceRunner();
    ServiceRunner(const ServiceRunner &) = delete;
    ServiceRunner &operator=(const ServiceRunner &) = delete;

    // Lifecycle, for the data thread.

    void start();
    void setService(const Service &service);
    void setView(const View &view);
    void retire(); ///< stops listening after removal from the catalogue; open connections continue
    void beginDrain();
    void abort();
    void sweep(Time now);
    bool retired() const;
    bool draining() const;
    bool idle() const; ///< whether there are no open connections and no flows that depend on this host
    Endpoint listeningOn() const;
    std::string stateAsJson() const;
    std::vector<std::string> explain(const std::string &path, const Endpoint &caller) const;
    void receive(HostId from, const SlotMessage &message);
    void receive(HostId from, const FlowMessage &message);
    void deliverRelayed(const RelayedDatagram &datagram);

    // For the connections of the service.

    DataThread &thread();
    const Service &service() const;
    const std::shared_ptr<const Service> &sharedService() const;
    bool add(CallerConnection &connection); ///< returns false if the service is at its connection limit
    void remove(CallerConnection &connection);
    RequestId submit(RequestWaiter &waiter, Request request);
    void finish(RequestId id, AttemptResult result, Duration retryAfter);
    void cancel(RequestId id);
    void removeWaiter(RequestId id); ///< the waiter of the request is not called again
    std::optional<Endpoint> openConnection(std::uint64_t hint);
    /// Opens a connection to an upstream that is not in `unreachable`; nullopt if none is found.
    std::optional<Endpoint> openConnectionExcluding(std::uint64_t hint, const std::vector<Endpoint> &unreachable);
    void closeConnection(const Endpoint &upstream, bool failed);
    UpstreamPool &pool();
    ResponseStore &responses();

private:
    void openListener();
    void closeListener();
    void closeGracefully(std::shared_ptr<TcpListener> listener);
    View viewOrSelf() const;
    void onAccepted(tcp::socket socket);
    void applyDecisions();
    void scheduleTick();
    void abortExpired(Time now);

    DataThread &thread_;
    std::shared_ptr<const Service> service_;
    Dispatcher dispatcher_;
    Decisions decisions_;
    asio::steady_timer tickTimer_;
    std::optional<Time> scheduledTick_;
    std::shared_ptr<TcpListener> listener_;
    std::vector<std::shared_ptr<TcpListener>> closingListeners_;
    std::shared_ptr<DatagramService> datagrams_;
    std::optional<Time> nextListenAttempt_;
    std::unordered_set<CallerConnection *> connections_;
    std::unordered_map<RequestId, RequestWaiter *> waiters_;
    RequestId nextRequest_ = 1;
    UpstreamPool pool_;
    ResponseStore responses_;
    bool retired_ = false;
    std::optional<Time> drainStart_;
    std::optional<View> view_;
};

} // namespace medlarway
