#include "balance/dispatcher_impl.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace medlarway
{

namespace
{

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Why the upstream gets no new requests now; empty if it may get them.
std::string_view blockReason(const UpstreamState &state, Time now)
{
    if (!state.listed) {
        return "removed";
    }
    if (state.upstream.draining) {
        return "draining";
    }
    if (isEjected(state.outlier, now)) {
        return "ejected";
    }
    if (state.shedUntil && now < *state.shedUntil) {
        return "asked to be left alone";
    }
    return "";
}

nlohmann::json upstreamAsJson(const UpstreamState &state, Time now)
{
    return {{"address", endpointToString(state.upstream.address)},
            {"zone", state.upstream.zone.name},
            {"running", state.running},
            {"runningLong", state.runningLong},
            {"connections", state.connections},
            {"blocked", blockReason(state, now)},
            {"probing", isProbing(state.outlier, now)},
            {"cold", state.warmUpResponses < kWarmUpResponses},
            {"failuresInRow", state.outlier.consecutiveFailures}};
}

} // namespace

std::vector<std::string> Dispatcher::explain(const Request &request, Time now) const
{
    const Impl &impl = *impl_;
    const bool isLong = impl.serviceTimes.isLong(request.path);
    const ChoiceContext context = impl.choiceContext(now);
    std::vector<std::string> lines;
    lines.push_back(fmt::format("a request of this path is expected to be {} ({:.1f} ms)", isLong ? "long" : "short",
                                milliseconds(impl.serviceTimes.expected(request.path))));

    // Works on copies of the random state and the round-robin index, so that explaining changes no later decision.
    Random random = impl.random;
    std::size_t roundRobinNext = impl.roundRobinNext;
    const std::optional<SlotIndex> chosen = chooseSlot(impl.upstreams, context, isLong, std::nullopt, roundRobinNext, random, now);
    if (chosen) {
        lines.push_back(fmt::format("it would start at {}", endpointToString(impl.upstreams.all()[chosen->upstream].upstream.address)));
    } else {
        lines.push_back(fmt::format("it would wait, about {:.1f} ms behind {} requests",
                                    milliseconds(impl.expectedWait(isLong, request.deadline)), impl.queue.size(isLong)));
    }
    for (const UpstreamState &state : impl.upstreams.all()) {
        const std::string_view block = blockReason(state, now);
        const bool isFree = freeSlot(state, context, isLong, now).has_value();
        lines.push_back(fmt::format("{} zone {}: {} running, cost {:.2f}, {}", endpointToString(state.upstream.address),
                                    state.upstream.zone.name, state.running, choiceCost(state, context, now),
                                    !block.empty() ? block : (isFree ? "free" : "no slot")));
    }
    return lines;
}

std::string Dispatcher::stateAsJson(Time now) const
{
    const Impl &impl = *impl_;
    nlohmann::json upstreams = nlohmann::json::array();
    for (const UpstreamState &state : impl.upstreams.all()) {
        upstreams.push_back(upstreamAsJson(state, now));
    }
    const nlohmann::json result = {{"service", impl.service.name},
                                   {"hostsInView", impl.hosts()},
                                   {"running", impl.running.size()},
                                   {"waitingShort", impl.queue.size(false)},
                                   {"waitingLong", impl.queue.size(true)},
                                   {"callersWaiting", impl.queue.callerCount()},
                                   {"meanServiceMs", milliseconds(impl.serviceTimes.mean())},
                                   {"retryBudget", impl.retryBudget.available()},
                                   {"upstreams", upstreams}};
    return result.dump();
}

} // namespace medlarway
