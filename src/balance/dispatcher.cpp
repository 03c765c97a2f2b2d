#include "balance/dispatcher.h"

#include "balance/connections.h"
#include "balance/dispatcher_impl.h"

#include <algorithm>
#include <chrono>

namespace medlarway
{

Dispatcher::Impl::Impl(Service newService, HostId newSelf, AvailabilityZone newZone, std::uint64_t seed,
                       const DispatcherOptions &newOptions)
    : service(std::move(newService))
    , self(newSelf)
    , zone(std::move(newZone))
    , options(newOptions)
    , random(seed)
    , serviceTimes(service.limits.shortBound)
    , leases(newSelf)
{
    upstreams.setService(service, self);
}

std::size_t Dispatcher::Impl::hosts() const
{
    const auto present
        = std::count_if(view.members.begin(), view.members.end(), [this](const Member &member) { return member.id != self; });
    return static_cast<std::size_t>(present) + 1;
}

Dispatcher::Dispatcher(Service service, HostId self, AvailabilityZone zone, std::uint64_t seed, const DispatcherOptions &options)
    : impl_(std::make_unique<Impl>(std::move(service), self, std::move(zone), seed, options))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;

void Dispatcher::setService(Service service, Time now, Decisions &decisions)
{
    impl_->service = std::move(service);
    impl_->serviceTimes.setShortBound(impl_->service.limits.shortBound);
    impl_->upstreams.setService(impl_->service, impl_->self);
    impl_->assignSlots(now, decisions);
    impl_->schedule(now, decisions);
}

void Dispatcher::setView(const View &view, Time now, Decisions &decisions)
{
    impl_->view = view;
    impl_->assignSlots(now, decisions);
    impl_->schedule(now, decisions);
}

void Dispatcher::submit(const Request &request, Time now, Decisions &decisions)
{
    Impl &impl = *impl_;
    impl.retryBudget.deposit();
    const bool isLong = impl.serviceTimes.isLong(request.path);
    if (!isLong) {
        impl.lastShortArrival = now;
    }
    impl.enqueue(QueuedRequest{.request = request,
                               .latestStart = request.deadline - impl.serviceTimes.lowEstimate(request.path),
                               .readyAt = now,
                               .avoid = {},
                               .isLong = isLong},
                 now, decisions);
    impl.schedule(now, decisions);
}

void Dispatcher::finish(RequestId request, AttemptResult result, Duration retryAfter, Time now, Decisions &decisions)
{
    Impl &impl = *impl_;
    const auto found = impl.running.find(request);
    if (found == impl.running.end()) {
        return;
    }
    const RunningRequest run = found->second;
    impl.running.erase(found);
    impl.releaseSlot(run, now);
    impl.recordResult(run, result, retryAfter, now, decisions);
    impl.retryOrRefuse(run, result, now, decisions);
    impl.upstreams.removeUnused();
    impl.schedule(now, decisions);
}

void Dispatcher::cancel(RequestId request, Time now, Decisions &decisions)
{
    impl_->queue.remove(request);
    impl_->schedule(now, decisions);
}

void Dispatcher::tick(Time now, Decisions &decisions)
{
    impl_->schedule(now, decisions);
}

// Ejections, Retry-After periods and loans expire without an event of their own, so the dispatcher polls
// while requests are running, waiting or slots are on loan.
std::optional<Time> Dispatcher::nextTick() const
{
    constexpr Duration kPollInterval = std::chrono::milliseconds{10};
    const std::optional<Time> next = impl_->queue.nextEvent(impl_->lastUpdate);
    if (!next && impl_->running.empty() && !impl_->leases.hasLoans(impl_->upstreams)) {
        return std::nullopt;
    }
    const Time poll = impl_->lastUpdate + kPollInterval;
    return next ? std::min(*next, poll) : poll;
}

void Dispatcher::receive(HostId from, const SlotMessage &message, Time now, Decisions &decisions)
{
    Impl &impl = *impl_;
    if (impl.options.strategy == Strategy::Leases) {
        impl.leases.receive(impl.upstreams, from, message, now, decisions.messages);
    }
    if (impl.options.strategy == Strategy::Gossip && message.kind == static_cast<std::uint8_t>(SlotMessageKind::LoadReport)) {
        impl.gossip.receive(impl.upstreams, from, message);
    }
    impl_->schedule(now, decisions);
}

void Dispatcher::reportHealth(const Endpoint &upstream, bool healthy, Time now)
{
    UpstreamState *state = impl_->upstreams.find(upstream);
    if (state == nullptr) {
        return;
    }
    state->reportedUnhealthy = !healthy;
    state->reportedAt = now;
}

std::optional<Endpoint> Dispatcher::openConnection(std::uint64_t hint, Time now)
{
    const std::uint32_t share = connectionShare(impl_->service.limits.connectionsPerUpstream, impl_->hosts());
    const std::optional<std::size_t> chosen = rendezvousUpstream(impl_->upstreams, hint, share, now);
    if (!chosen) {
        return std::nullopt;
    }
    UpstreamState &state = impl_->upstreams.all()[*chosen];
    ++state.connections;
    return state.upstream.address;
}

// A connection that reached the upstream counts as a success and ends an ejection.
void Dispatcher::closeConnection(const Endpoint &upstream, bool failed, Time now)
{
    UpstreamState *state = impl_->upstreams.find(upstream);
    if (state == nullptr) {
        return;
    }
    if (state->connections > 0) {
        --state->connections;
    }
    if (failed) {
        const bool mayEject = mayEjectMore(impl_->upstreams.ejectedCount(now), impl_->upstreams.listedCount());
        recordFailure(state->outlier, mayEject, impl_->random, now);
    } else {
        recordSuccess(state->outlier, now);
    }
    impl_->upstreams.removeUnused();
}

std::size_t Dispatcher::openRequests() const
{
    return impl_->queue.size() + impl_->running.size();
}

} // namespace medlarway
