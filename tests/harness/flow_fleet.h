#pragma once

#include "base/random.h"
#include "flows/flow_router.h"
#include "flows/relay.h"
#include "harness/message_network.h"
#include "placement/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace medlarway
{

/// What the upstreams saw of the flows.
struct FlowRecord {
    std::map<FlowKey, Endpoint> upstreams; ///< the last one of each flow
    std::size_t delivered = 0;
    std::size_t dropped = 0;
    std::size_t changed = 0; ///< a flow's packet reached another upstream than the one before
    std::size_t wrongService = 0; ///< a packet reached an upstream of another service
    std::uint8_t mostHops = 0;
};

/// Flow routers of several hosts on one seeded network. Hosts join, leave and crash; each learns of it after
/// its own delay. Upstreams are chosen from a list by the flow's hint, as a dispatcher would.
class FlowFleet
{
public:
    FlowFleet(std::size_t hosts, const FlowSettings &settings, std::uint64_t seed)
        : settings_(settings)
        , random_(seed)
        , messages_(seed + 1)
        , datagrams_(seed + 2)
        , hosts_(hosts)
    {
    }

    static HostId idOf(std::size_t host)
    {
        return HostId{host + 1};
    }

    std::size_t size() const
    {
        return hosts_.size();
    }

    bool isUp(std::size_t host) const
    {
        return hosts_[host].router != nullptr;
    }

    bool isLeaving(std::size_t host) const
    {
        return hosts_[host].leaving;
    }

    std::size_t upCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(hosts_.begin(), hosts_.end(), [](const Host &host) { return host.router && !host.leaving; }));
    }

    FlowRouter &router(std::size_t host)
    {
        return *hosts_[host].router;
    }

    const FlowRecord &record() const
    {
        return record_;
    }

    MessageNetwork<FlowMessage> &messages()
    {
        return messages_;
    }

    MessageNetwork<RelayedDatagram> &datagrams()
    {
        return datagrams_;
    }

    Random &random()
    {
        return random_;
    }

    /// Upstreams of a service, found by the port of the flow's service address.
    std::map<std::uint16_t, std::vector<Endpoint>> &upstreams()
    {
        return upstreams_;
    }

    /// How long news of a member take to reach a host, at most.
    void setNewsDelay(Duration longest)
    {
        newsDelay_ = longest;
    }

    void join(std::size_t host)
    {
        if (isUp(host)) {
            return;
        }
        hosts_[host] = Host{};
        hosts_[host].router = std::make_unique<FlowRouter>(idOf(host), settings_, now_);
        const Standing standing{HostState::Alive, ++lastIncarnation_};
        truth_[idOf(host)] = standing;
        hosts_[host].known = truth_;
        hosts_[host].router->setView(viewOf(host), now_);
        tellAll(idOf(host), standing);
    }

    /// A planned stop; the host exits once its flows are handed over and everybody had time to hear of it.
    void leave(std::size_t host)
    {
        if (isUp(host) && !hosts_[host].leaving && upCount() > 1) {
            hosts_[host].leaving = true;
            hosts_[host].leavesAt = now_ + 2 * newsDelay_;
            hosts_[host].router->beginLeave(now_);
            truth_[idOf(host)].first = HostState::Leaving;
            tellAll(idOf(host), truth_[idOf(host)]);
        }
    }

    void crash(std::size_t host)
    {
        if (isUp(host)) {
            hosts_[host].router.reset();
            hosts_[host].leaving = false;
            truth_.erase(idOf(host));
            tellAll(idOf(host), std::nullopt);
        }
    }

    /// The fabric hands a caller's packet to the host.
    void packet(std::size_t host, const FlowKey &key)
    {
        if (isUp(host)) {
            takePacket(host, {key.caller, key.service, 0, {}});
        }
    }

    /// The fabric hands it to any host that is up.
    void packet(const FlowKey &key)
    {
        auto host = random_.below(size());
        while (!isUp(host)) {
            host = (host + 1) % size();
        }
        packet(host, key);
    }

    void advance(Duration duration)
    {
        for (const auto end = now_ + duration; now_ < end;) {
            now_ = std::min(end, now_ + std::chrono::milliseconds{5});
            step();
        }
    }

private:
    /// State and incarnation.
    using Standing = std::pair<HostState, std::uint64_t>;
    using Members = std::map<HostId, Standing>;

    struct Host {
        std::unique_ptr<FlowRouter> router;
        bool leaving = false;
        Time leavesAt;
        std::optional<Time> exitsAt;
        Members known;
        std::map<FlowKey, std::vector<RelayedDatagram>> held;
    };

    struct News {
        Time at;
        std::size_t host;
        HostId about;
        std::optional<Standing> state;
    };

    View viewOf(std::size_t host) const
    {
        View view;
        for (const auto &[id, standing] : hosts_[host].known) {
            view.members.push_back({id, {}, standing.first, standing.second});
        }
        return view;
    }

    void tellAll(HostId about, std::optional<Standing> state)
    {
        for (std::size_t host = 0; host < size(); ++host) {
            const Duration delay{static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(newsDelay_.count()) + 1))};
            news_.push_back({now_ + delay, host, about, state});
        }
    }

    void step()
    {
        for (std::size_t index = 0; index < news_.size();) {
            if (news_[index].at <= now_) {
                const auto news = news_[index];
                news_.erase(news_.begin() + static_cast<std::ptrdiff_t>(index));
                learn(news);
            } else {
                ++index;
            }
        }
        for (const auto &delivery : messages_.arrived(now_)) {
            const auto host = delivery.to.value - 1;
            if (isUp(host)) {
                Outbox<FlowMessage> outbox;
                FlowDecisions decisions;
                router(host).receive(delivery.from, delivery.message, now_, outbox, decisions);
                carryOut(host, outbox, decisions);
            }
        }
        for (const auto &delivery : datagrams_.arrived(now_)) {
            if (isUp(delivery.to.value - 1)) {
                takePacket(delivery.to.value - 1, delivery.message);
            }
        }
        for (std::size_t host = 0; host < size(); ++host) {
            if (!isUp(host)) {
                continue;
            }
            Outbox<FlowMessage> outbox;
            FlowDecisions decisions;
            router(host).tick(now_, outbox, decisions);
            carryOut(host, outbox, decisions);
            stopWhereDone(host);
        }
    }

    // A leaving host says that it is gone once its flows are handed over, and goes on with what still
    // reaches it until everybody has heard.
    void stopWhereDone(std::size_t host)
    {
        auto &state = hosts_[host];
        if (state.exitsAt && now_ >= *state.exitsAt) {
            state.router.reset();
            state.leaving = false;
        } else if (state.leaving && !state.exitsAt && now_ >= state.leavesAt && state.router->handedOver()) {
            state.exitsAt = now_ + newsDelay_ + std::chrono::milliseconds{50};
            truth_.erase(idOf(host));
            tellAll(idOf(host), std::nullopt);
        }
    }

    void learn(const News &news)
    {
        auto &host = hosts_[news.host];
        const auto truth = truth_.find(news.about);
        if (news.about == idOf(news.host) && !news.state) {
            return;
        }
        const bool isStale = news.state ? truth == truth_.end() || truth->second != *news.state : truth != truth_.end();
        if (!host.router || isStale) {
            return;
        }
        if (news.state) {
            host.known[news.about] = *news.state;
        } else {
            host.known.erase(news.about);
        }
        host.router->setView(viewOf(news.host), now_);
    }

    void takePacket(std::size_t host, const RelayedDatagram &datagram)
    {
        record_.mostHops = std::max(record_.mostHops, datagram.hops);
        Outbox<FlowMessage> outbox;
        FlowDecisions decisions;
        const FlowKey key{datagram.caller, datagram.service};
        router(host).onPacket(key, datagram.hops, now_, outbox, decisions);
        const auto decision = decisions.packets.back();
        if (decision.action == FlowAction::Hold) {
            auto &queue = hosts_[host].held[key];
            if (queue.size() < 8) {
                queue.push_back(datagram);
            } else {
                ++record_.dropped;
            }
        } else {
            carryOutOne(host, decision, datagram);
        }
        decisions.packets.pop_back();
        carryOut(host, outbox, decisions);
    }

    void carryOut(std::size_t host, Outbox<FlowMessage> &outbox, const FlowDecisions &decisions)
    {
        messages_.send(idOf(host), outbox, now_);
        for (const auto &decision : decisions.packets) {
            bool isBound = false;
            for (const auto &datagram : std::exchange(hosts_[host].held[decision.key], {})) {
                if (isBound) {
                    takePacket(host, datagram);
                } else {
                    carryOutOne(host, decision, datagram);
                }
                isBound = decision.action == FlowAction::New;
            }
        }
    }

    void carryOutOne(std::size_t host, const FlowDecision &decision, RelayedDatagram datagram)
    {
        switch (decision.action) {
        case FlowAction::Forward:
            arrive(decision.key, decision.upstream);
            break;
        case FlowAction::New: {
            const auto upstream = pick(decision.key, decision.hint);
            if (router(host).bind(decision.key, upstream, now_)) {
                ++record_.dropped;
            } else {
                arrive(decision.key, upstream);
            }
            break;
        }
        case FlowAction::Relay:
            if (datagram.hops >= kRelayHops) {
                ++record_.dropped;
                break;
            }
            ++datagram.hops;
            relay(host, decision.host, datagram);
            break;
        default:
            ++record_.dropped;
            break;
        }
    }

    void relay(std::size_t host, HostId to, const RelayedDatagram &datagram)
    {
        Outbox<RelayedDatagram> outbox;
        outbox.push_back({to, datagram});
        datagrams_.send(idOf(host), outbox, now_);
    }

    Endpoint pick(const FlowKey &key, std::uint64_t hint)
    {
        const auto &list = upstreams_[key.service.port];
        std::vector<std::uint64_t> candidates;
        for (const auto &upstream : list) {
            candidates.push_back(hostIdOf(upstream).value);
        }
        return list[rankCandidates(hint, candidates, 1)[0]];
    }

    void arrive(const FlowKey &key, const Endpoint &upstream)
    {
        ++record_.delivered;
        // The upstreams of a service listen on the port of its address.
        record_.wrongService += upstream.port != key.service.port ? 1 : 0;
        const auto [seen, isFirst] = record_.upstreams.try_emplace(key, upstream);
        if (!isFirst && seen->second != upstream) {
            ++record_.changed;
            seen->second = upstream;
        }
    }

    FlowSettings settings_;
    Random random_;
    MessageNetwork<FlowMessage> messages_;
    MessageNetwork<RelayedDatagram> datagrams_;
    Duration newsDelay_ = std::chrono::seconds{1};
    Time now_{std::chrono::seconds{1}};
    std::vector<Host> hosts_;
    Members truth_;
    std::uint64_t lastIncarnation_ = 0;
    std::vector<News> news_;
    std::map<std::uint16_t, std::vector<Endpoint>> upstreams_;
    FlowRecord record_;
};

} // namespace medlarway
