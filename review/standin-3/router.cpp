#include "router.h"

#include <algorithm>

namespace standin
{

namespace
{

constexpr Span kProbeInterval = std::chrono::milliseconds{500};
constexpr Span kProbeTimeout = std::chrono::milliseconds{400};

std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 33U)) * 0xff51afd7ed558ccdULL;
    value = (value ^ (value >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

std::uint64_t weightOf(const FlowId &flow, std::size_t host)
{
    const auto client = (std::uint64_t{flow.client.ip} << 16U) | flow.client.port;
    const auto route = (std::uint64_t{flow.route.ip} << 16U) | flow.route.port;
    return mixed(mixed(mixed(client) + route) + host);
}

} // namespace

Router::Router(Loop &loop, std::vector<RoutedHost> hosts, Time start, Note note)
    : loop_(loop)
    , hosts_(std::move(hosts))
    , note_(std::move(note))
{
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        loop_.at(start + hosts_[index].phase, [this, index, due = start + hosts_[index].phase] { probe(index, due); });
    }
}

void Router::probe(std::size_t index, Time due)
{
    loop_.at(due + kProbeInterval, [this, index, due] { probe(index, due + kProbeInterval); });
    fetchStatus(loop_, hosts_[index].ready, "/v1/ready", kProbeTimeout, [this, index](int status) {
        auto &host = hosts_[index];
        const bool before = host.isInRotation();
        host.misses = status == 200 ? 0 : host.misses + 1;
        if (host.isInRotation() != before) {
            note_("host " + std::to_string(index + 1) + (before ? " leaves the rotation" : " joins the rotation"));
        }
    });
}

std::size_t Router::countInRotation() const
{
    return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(), [](const auto &host) { return host.isInRotation(); }));
}

// With fewer than half of the zone's hosts in rotation, all of them are used.
const Address &Router::hostOf(const FlowId &flow) const
{
    const bool all = 2 * countInRotation() < hosts_.size();
    std::size_t best = hosts_.size();
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        const bool used = all || hosts_[index].isInRotation();
        if (used && (best == hosts_.size() || weightOf(flow, index) > weightOf(flow, best))) {
            best = index;
        }
    }
    return hosts_[best].packets;
}

} // namespace standin
