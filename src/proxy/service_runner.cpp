#include "proxy/service_runner.h"

#include "base/errors.h"
#include "base/hash.h"
#include "proxy/datagram_service.h"
#include "proxy/http_session.h"
#include "proxy/stream_service.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarway
{

namespace
{

constexpr auto kListenRetryInterval = std::chrono::seconds{1};

// Number of hints tried to find an upstream that is not known to be unreachable.
constexpr int kMaxPicks = 16;

Endpoint listenEndpoint(const Service &service, const ProxyOptions &options)
{
    auto result = service.address;
    if (result.address == 0) {
        result.address = options.bindAddress;
    }
    return result;
}

} // namespace

ServiceRunner::ServiceRunner(DataThread &thread, Service service)
    : thread_(thread)
    , service_(std::make_shared<const Service>(std::move(service)))
    , dispatcher_(*service_, thread.options().self, thread.options().zone, combineHash(thread.options().seed, hashBytes(service_->name)))
    , tickTimer_(thread.context())
    , responses_(thread.options().storedResponseBytes)
{
}

ServiceRunner::~ServiceRunner()
{
    if (datagrams_) {
        datagrams_->stop();
    }
}

void ServiceRunner::start()
{
    openListener();
    scheduleTick();
}

// A failed attempt to listen is retried later: the address may still be in use by another host on this
// machine that is stopping.
void ServiceRunner::openListener()
{
    nextListenAttempt_.reset();
    const auto address = listenEndpoint(*service_, thread_.options());
    ErrorCode error;
    if (service_->kind == ServiceKind::Datagram) {
        auto opened = std::make_shared<DatagramService>(*this);
        error = opened->open(address);
        if (!error) {
            opened->setView(viewOrSelf());
            datagrams_ = std::move(opened);
        }
    } else {
        auto opened = std::make_shared<TcpListener>(thread_.context(), [weak = weak_from_this()](tcp::socket socket) {
            if (const auto self = weak.lock()) {
                self->onAccepted(std::move(socket));
            }
        });
        error = opened->listen(address);
        if (!error) {
            listener_ = std::move(opened);
        }
    }
    if (error) {
        logEvent(Event::ListenFailed,
                 {field("service", service_->name), field("address", endpointToString(address)), field("reason", error.message())});
        nextListenAttempt_ = currentTime() + kListenRetryInterval;
        return;
    }
    logEvent(Event::ServiceListening, {field("service", service_->name), field("address", endpointToString(listeningOn()))});
}

void ServiceRunner::closeListener()
{
    nextListenAttempt_.reset();
    if (listener_) {
        closeGracefully(std::exchange(listener_, nullptr));
        logEvent(Event::ServiceClosed, {field("service", service_->name)});
    }
}

// The listener still accepts connections for a while, and the service is not idle until it has closed.
void ServiceRunner::closeGracefully(std::shared_ptr<TcpListener> listener)
{
    closingListeners_.push_back(std::move(listener));
    closingListeners_.back()->close();
}

// A service that changes its address listens at the new one before the old listener is closed.
void ServiceRunner::setService(const Service &service)
{
    const bool moved = listenEndpoint(service, thread_.options()) != listenEndpoint(*service_, thread_.options());
    const bool reinstated = std::exchange(retired_, false);
    service_ = std::make_shared<const Service>(service);
    dispatcher_.setService(service, currentTime(), decisions_);
    pool_.retainOnly(service.upstreams);
    if ((moved || reinstated) && !drainStart_) {
        const auto oldListener = std::exchange(listener_, nullptr);
        const auto oldDatagrams = std::exchange(datagrams_, nullptr);
        openListener();
        if (oldListener) {
            closeGracefully(oldListener);
        }
        if (oldDatagrams) {
            oldDatagrams->stop();
        }
    }
    applyDecisions();
}

void ServiceRunner::setView(const View &view)
{
    view_ = view;
    dispatcher_.setView(view, currentTime(), decisions_);
    if (datagrams_) {
        datagrams_->setView(view);
    }
    applyDecisions();
}

// Without a view the host assumes that it is the only one.
View ServiceRunner::viewOrSelf() const
{
    const auto &options = thread_.options();
    return view_.value_or(View{0, {Member{options.self, options.zone, HostState::Alive, 0}}});
}

void ServiceRunner::retire()
{
    if (!retired_) {
        retired_ = true;
        closeListener();
        if (datagrams_) {
            datagrams_->refuseNewFlows();
        }
        pool_.clear();
    }
}

void ServiceRunner::beginDrain()
{
    if (drainStart_) {
        return;
    }
    drainStart_ = currentTime();
    closeListener();
    if (datagrams_) {
        datagrams_->beginLeave();
    }
    const std::vector<CallerConnection *> open(connections_.begin(), connections_.end());
    for (auto *connection : open) {
        connection->beginDrain();
    }
}

void ServiceRunner::abort()
{
    closeListener();
    for (const auto &listener : closingListeners_) {
        listener->abort();
    }
    const std::vector<CallerConnection *> open(connections_.begin(), connections_.end());
    for (auto *connection : open) {
        connection->abort();
    }
    if (datagrams_) {
        datagrams_->stop();
    }
}

void ServiceRunner::sweep(Time now)
{
    std::erase_if(closingListeners_, [](const auto &listener) { return !listener->isOpen(); });
    pool_.sweep(now);
    responses_.sweep(now);
    if (datagrams_) {
        datagrams_->sweep(now);
    }
    if (nextListenAttempt_ && now >= *nextListenAttempt_) {
        openListener();
    }
    for (auto *connection : connections_) {
        connection->sweep();
    }
    if (drainStart_) {
        abortExpired(now);
    }
}

// Aborts connections that exceed their drain timeout, which the caller sees as a reset.
void ServiceRunner::abortExpired(Time now)
{
    const bool requestsExpired = now - *drainStart_ >= thread_.options().requestGrace;
    const bool feedsExpired = now - *drainStart_ >= thread_.options().feedGrace;
    const std::vector<CallerConnection *> open(connections_.begin(), connections_.end());
    for (auto *connection : open) {
        if (connection->isFeed() ? feedsExpired : requestsExpired) {
            connection->abort();
        }
    }
    if (feedsExpired && datagrams_) {
        datagrams_->stop();
    }
}

bool ServiceRunner::retired() const
{
    return retired_;
}

bool ServiceRunner::draining() const
{
    return drainStart_.has_value() || retired_;
}

bool ServiceRunner::idle() const
{
    return connections_.empty() && closingListeners_.empty() && (!datagrams_ || datagrams_->finished());
}

Endpoint ServiceRunner::listeningOn() const
{
    if (listener_) {
        return listener_->address();
    }
    return datagrams_ ? datagrams_->address() : Endpoint{};
}

std::string ServiceRunner::stateAsJson() const
{
    return fmt::format(
        R"({{"name":"{}","address":"{}","connections":{},"flows":{},"idleUpstreamConnections":{},"retired":{},"draining":{},"dispatcher":{}}})",
        service_->name, endpointToString(listeningOn()), connections_.size(), datagrams_ ? datagrams_->openFlows() : 0, pool_.size(),
        retired_, drainStart_.has_value(), dispatcher_.stateAsJson(currentTime()));
}

std::vector<std::string> ServiceRunner::explain(const std::string &path, const Endpoint &caller) const
{
    const auto now = currentTime();
    Request request;
    request.caller = mixBits(caller.address);
    request.path = hashBytes(path);
    request.deadline = now + service_->limits.defaultDeadline;
    return dispatcher_.explain(request, now);
}

void ServiceRunner::receive(HostId from, const SlotMessage &message)
{
    dispatcher_.receive(from, message, currentTime(), decisions_);
    applyDecisions();
}

void ServiceRunner::receive(HostId from, const FlowMessage &message)
{
    if (datagrams_) {
        datagrams_->receive(from, message);
    }
}

void ServiceRunner::deliverRelayed(const RelayedDatagram &datagram)
{
    if (datagrams_) {
        datagrams_->deliverRelayed(datagram);
    }
}

void ServiceRunner::onAccepted(tcp::socket socket)
{
    if (service_->kind == ServiceKind::Stream) {
        startStream(shared_from_this(), std::move(socket));
    } else {
        startHttpSession(shared_from_this(), std::move(socket));
    }
}

DataThread &ServiceRunner::thread()
{
    return thread_;
}

const Service &ServiceRunner::service() const
{
    return *service_;
}

const std::shared_ptr<const Service> &ServiceRunner::sharedService() const
{
    return service_;
}

bool ServiceRunner::add(CallerConnection &connection)
{
    if (connections_.size() >= thread_.options().connections) {
        return false;
    }
    connections_.insert(&connection);
    return true;
}

void ServiceRunner::remove(CallerConnection &connection)
{
    connections_.erase(&connection);
}

RequestId ServiceRunner::submit(RequestWaiter &waiter, Request request)
{
    request.id = nextRequest_++;
    waiters_.emplace(request.id, &waiter);
    dispatcher_.submit(request, currentTime(), decisions_);
    applyDecisions();
    return request.id;
}

void ServiceRunner::finish(RequestId id, AttemptResult result, Duration retryAfter)
{
    dispatcher_.finish(id, result, retryAfter, currentTime(), decisions_);
    applyDecisions();
}

void ServiceRunner::cancel(RequestId id)
{
    dispatcher_.cancel(id, currentTime(), decisions_);
    applyDecisions();
}

void ServiceRunner::removeWaiter(RequestId id)
{
    waiters_.erase(id);
}

std::optional<Endpoint> ServiceRunner::openConnection(std::uint64_t hint)
{
    return dispatcher_.openConnection(hint, currentTime());
}

// A different hint may yield the same upstream again. It is then reported as failed again, which makes
// the dispatcher prefer others.
std::optional<Endpoint> ServiceRunner::openConnectionExcluding(std::uint64_t hint, const std::vector<Endpoint> &unreachable)
{
    for (int attempt = 0; attempt < kMaxPicks; ++attempt) {
        const auto upstream = openConnection(attempt == 0 ? hint : combineHash(hint, static_cast<std::uint64_t>(attempt)));
        if (!upstream || std::find(unreachable.begin(), unreachable.end(), *upstream) == unreachable.end()) {
            return upstream;
        }
        closeConnection(*upstream, true);
    }
    return std::nullopt;
}

void ServiceRunner::closeConnection(const Endpoint &upstream, bool failed)
{
    dispatcher_.closeConnection(upstream, failed, currentTime());
}

UpstreamPool &ServiceRunner::pool()
{
    return pool_;
}

ResponseStore &ServiceRunner::responses()
{
    return responses_;
}

// Carries out the dispatcher's decisions. A waiter only records its decision and resumes later, so nothing
// here calls back into the dispatcher.
void ServiceRunner::applyDecisions()
{
    const auto decided = std::exchange(decisions_, Decisions{});
    for (const auto &start : decided.starts) {
        const auto waiter = waiters_.find(start.request);
        if (waiter != waiters_.end()) {
            waiter->second->onStart(start.upstream);
        }
    }
    for (const auto &refusal : decided.refusals) {
        const auto waiter = waiters_.find(refusal.request);
        if (waiter != waiters_.end()) {
            waiter->second->onRefusal(refusal);
        }
    }
    const auto &send = thread_.ports().sendSlotMessage;
    if (send) {
        for (const auto &outgoing : decided.messages) {
            send(service_->name, outgoing.to, outgoing.message);
        }
    }
    scheduleTick();
}

// The timer is rearmed only for an earlier tick. Most requests postpone the next tick, and a timer that fires
// early costs less than rearming it for each request.
void ServiceRunner::scheduleTick()
{
    const auto next = dispatcher_.nextTick();
    if (!next || (scheduledTick_ && *scheduledTick_ <= *next)) {
        return;
    }
    scheduledTick_ = next;
    tickTimer_.expires_at(*next);
    tickTimer_.async_wait([weak = weak_from_this()](const ErrorCode &error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        self->scheduledTick_.reset();
        self->dispatcher_.tick(currentTime(), self->decisions_);
        self->applyDecisions();
    });
}

} // namespace medlarway
