#include "balance/connections.h"

#include "base/hash.h"

#include <algorithm>

namespace medlarway
{

namespace
{

std::uint64_t rank(const Endpoint &upstream, std::uint64_t hint)
{
    return combineHash(hint, (std::uint64_t{upstream.address} << 16U) | upstream.port);
}

bool acceptsConnections(const UpstreamState &state, std::uint32_t share, Time now)
{
    if (!state.listed || state.upstream.draining || isEjected(state.outlier, now)) {
        return false;
    }
    return state.connections < share;
}

} // namespace

// If every upstream is ejected, one of them is tried anyway: a refusal is no better for the caller than a failed
// attempt, and a successful connection ends the ejection.
std::optional<std::size_t> rendezvousUpstream(const UpstreamTable &table, std::uint64_t hint, std::uint32_t shareOfConnections, Time now)
{
    std::optional<std::size_t> best;
    std::optional<std::size_t> lastResort;
    const auto better = [&table, hint](const std::optional<std::size_t> &current, std::size_t candidate) {
        return !current || rank(table.all()[candidate].upstream.address, hint) > rank(table.all()[*current].upstream.address, hint);
    };
    for (std::size_t i = 0; i < table.all().size(); ++i) {
        const UpstreamState &state = table.all()[i];
        if (acceptsConnections(state, shareOfConnections, now) && better(best, i)) {
            best = i;
        }
        const bool mayTry = state.listed && !state.upstream.draining && state.connections < shareOfConnections;
        if (mayTry && better(lastResort, i)) {
            lastResort = i;
        }
    }
    return best ? best : lastResort;
}

std::uint32_t connectionShare(std::uint32_t limit, std::size_t hosts)
{
    const auto divisor = static_cast<std::uint32_t>(std::max<std::size_t>(hosts, 1));
    return limit == 0 ? 0 : std::max<std::uint32_t>(limit / divisor, 1);
}

} // namespace medlarway
