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

/// Why an upstream gets no new work now, or "" where it may.
std::string_view blockOf(const UpstreamState &state, Time now)
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
            {"blocked", blockOf(state, now)},
            {"probing", isProbing(state.outlier, now)},
            {"cold", state.warmAnswers < kWarmAnswers},
            {"failuresInRow", state.outlier.failuresInRow}};
}

} // namespace

std::vector<std::string> Dispatcher::explain(const Request &request, Time now) const
{
    const Impl &impl = *impl_;
    const bool isLong = impl.times.isLong(request.path);
    const ChoiceRules rules = impl.rules(now);
    std::vector<std::string> lines;
    lines.push_back(fmt::format("a request of this path is expected to be {} ({:.1f} ms)", isLong ? "long" : "short",
                                milliseconds(impl.times.expected(request.path))));

    // Copies of the random state and the turn: to explain must not change what happens next.
    Random random = impl.random;
    std::size_t turn = impl.turn;
    const std::optional<SlotPlace> place = chooseSlot(impl.upstreams, rules, isLong, std::nullopt, turn, random, now);
    if (place) {
        lines.push_back(fmt::format("it would start at {}", endpointToString(impl.upstreams.all()[place->upstream].upstream.address)));
    } else {
        lines.push_back(fmt::format("it would wait, about {:.1f} ms behind {} requests",
                                    milliseconds(impl.expectedWait(isLong, request.deadline)), impl.queue.size(isLong)));
    }
    for (const UpstreamState &state : impl.upstreams.all()) {
        const std::string_view block = blockOf(state, now);
        const bool isFree = freeSlot(state, rules, isLong, now).has_value();
        lines.push_back(fmt::format("{} zone {}: {} running, cost {:.2f}, {}", endpointToString(state.upstream.address),
                                    state.upstream.zone.name, state.running, choiceCost(state, rules, now),
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
                                   {"callersWaiting", impl.queue.callers()},
                                   {"meanServiceMs", milliseconds(impl.times.mean())},
                                   {"retryBudget", impl.budget.left()},
                                   {"upstreams", upstreams}};
    return result.dump();
}

} // namespace medlarway
