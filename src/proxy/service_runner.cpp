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

constexpr auto kListenAgain = std::chrono::seconds{1};

// Hints that are tried for an upstream other than those found unreachable.
constexpr int kPicks = 16;

Endpoint listenAddress(const Service &service, const ProxyOptions &options)
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

// A listener that can't be opened is tried again: the address may be another host's
// of this machine that is just leaving, and a service must not stay dead for that.
void ServiceRunner::openListener()
{
    listenAgainAt_.reset();
    const auto address = listenAddress(*service_, thread_.options());
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
        listenAgainAt_ = currentTime() + kListenAgain;
        return;
    }
    logEvent(Event::ServiceListening, {field("service", service_->name), field("address", endpointToString(listeningOn()))});
}

void ServiceRunner::closeListener()
{
    listenAgainAt_.reset();
    if (listener_) {
        // Taking what waits may use the listener, so it is kept until it is done.
        const auto closing = std::exchange(listener_, nullptr);
        closing->close();
        logEvent(Event::ServiceClosed, {field("service", service_->name)});
    }
}

// A moved service listens at its new address before the old one is closed.
void ServiceRunner::setService(const Service &service)
{
    const bool moved = listenAddress(service, thread_.options()) != listenAddress(*service_, thread_.options());
    const bool returns = std::exchange(retired_, false);
    service_ = std::make_shared<const Service>(service);
    dispatcher_.setService(service, currentTime(), decisions_);
    pool_.keepOnly(service.upstreams);
    if ((moved || returns) && !drainBegan_) {
        const auto formerListener = std::exchange(listener_, nullptr);
        const auto formerDatagrams = std::exchange(datagrams_, nullptr);
        openListener();
        if (formerListener) {
            formerListener->close();
        }
        if (formerDatagrams) {
            formerDatagrams->stop();
        }
    }
    apply();
}

void ServiceRunner::setView(const View &view)
{
    view_ = view;
    dispatcher_.setView(view, currentTime(), decisions_);
    if (datagrams_) {
        datagrams_->setView(view);
    }
    apply();
}

// A host without a view is alone.
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
    if (drainBegan_) {
        return;
    }
    drainBegan_ = currentTime();
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
    pool_.sweep(now);
    responses_.sweep(now);
    if (datagrams_) {
        datagrams_->sweep(now);
    }
    if (listenAgainAt_ && now >= *listenAgainAt_) {
        openListener();
    }
    for (auto *connection : connections_) {
        connection->sweep();
    }
    if (drainBegan_) {
        endGrace(now);
    }
}

// What outlives its grace is cut, which its caller sees as a reset.
void ServiceRunner::endGrace(Time now)
{
    const bool requestsEnd = now - *drainBegan_ >= thread_.options().requestGrace;
    const bool feedsEnd = now - *drainBegan_ >= thread_.options().feedGrace;
    const std::vector<CallerConnection *> open(connections_.begin(), connections_.end());
    for (auto *connection : open) {
        if (connection->isFeed() ? feedsEnd : requestsEnd) {
            connection->abort();
        }
    }
    if (feedsEnd && datagrams_) {
        datagrams_->stop();
    }
}

bool ServiceRunner::retired() const
{
    return retired_;
}

bool ServiceRunner::draining() const
{
    return drainBegan_.has_value() || retired_;
}

bool ServiceRunner::idle() const
{
    return connections_.empty() && (!datagrams_ || datagrams_->finished());
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
        retired_, drainBegan_.has_value(), dispatcher_.stateAsJson(currentTime()));
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
    apply();
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

RequestId ServiceRunner::arrive(RequestWaiter &waiter, Request request)
{
    request.id = nextRequest_++;
    waiters_.emplace(request.id, &waiter);
    dispatcher_.submit(request, currentTime(), decisions_);
    apply();
    return request.id;
}

void ServiceRunner::finish(RequestId id, AttemptResult result, Duration retryAfter)
{
    dispatcher_.finish(id, result, retryAfter, currentTime(), decisions_);
    apply();
}

void ServiceRunner::cancel(RequestId id)
{
    dispatcher_.cancel(id, currentTime(), decisions_);
    apply();
}

void ServiceRunner::forget(RequestId id)
{
    waiters_.erase(id);
}

std::optional<Endpoint> ServiceRunner::openConnection(std::uint64_t hint)
{
    return dispatcher_.openConnection(hint, currentTime());
}

// Another hint may give the same upstream again; it counts as failed again, which also
// moves the dispatcher on to others.
std::optional<Endpoint> ServiceRunner::openConnectionExcluding(std::uint64_t hint, const std::vector<Endpoint> &unreachable)
{
    for (int pick = 0; pick < kPicks; ++pick) {
        const auto upstream = openConnection(pick == 0 ? hint : combineHash(hint, static_cast<std::uint64_t>(pick)));
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

// Hands out what the dispatcher decided. A waiter only notes its decision and goes on
// later, so nothing here calls back into the dispatcher.
void ServiceRunner::apply()
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

// The timer is only set anew for an earlier moment: most requests move the next tick
// back, and a timer that fires early costs less than one that is set for each request.
void ServiceRunner::scheduleTick()
{
    const auto next = dispatcher_.nextTick();
    if (!next || (tickAt_ && *tickAt_ <= *next)) {
        return;
    }
    tickAt_ = next;
    tickTimer_.expires_at(*next);
    tickTimer_.async_wait([weak = weak_from_this()](const ErrorCode &error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        self->tickAt_.reset();
        self->dispatcher_.tick(currentTime(), self->decisions_);
        self->apply();
    });
}

} // namespace medlarway
