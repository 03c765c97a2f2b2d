#pragma once

#include "base/random.h"
#include "flows/flow_router.h"
#include "flows/relayed_datagram.h"
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

/// What the upstreams received, over all flows.
struct FlowRecord {
    std::map<FlowKey, Endpoint> upstreams; ///< by flow: the upstream that received its last packet
    std::size_t delivered = 0;
    std::size_t dropped = 0;
    std::size_t changed = 0; ///< packets that reached another upstream than the previous packet of their flow
    std::size_t wrongService = 0; ///< packets that reached an upstream of another service
    std::uint8_t maxHops = 0;
};

/// Flow routers of several hosts on a simulated, seeded network. Hosts join, leave and crash; each other host receives
/// the membership update after a random delay. Upstreams are picked from a list by the flow's hint, as a dispatcher does.
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

    /// Upstreams by service, that is, by the port of the service address.
    std::map<std::uint16_t, std::vector<Endpoint>> &upstreams()
    {
        return upstreams_;
    }

    /// Sets the maximum delay after which a membership update reaches a host.
    void setMaxUpdateDelay(Duration delay)
    {
        maxUpdateDelay_ = delay;
    }

    void join(std::size_t host)
    {
        if (isUp(host)) {
            return;
        }
        hosts_[host] = Host{};
        hosts_[host].router = std::make_unique<FlowRouter>(idOf(host), settings_, now_);
        const MemberState state{HostState::Alive, ++lastIncarnation_};
        members_[idOf(host)] = state;
        hosts_[host].members = members_;
        hosts_[host].router->setView(viewOf(host), now_);
        broadcast(idOf(host), state);
    }

    /// Starts a planned stop; the host exits once its flows are handed over and the updates have reached all hosts.
    void leave(std::size_t host)
    {
        if (isUp(host) && !hosts_[host].leaving && upCount() > 1) {
            hosts_[host].leaving = true;
            hosts_[host].earliestRemoval = now_ + 2 * maxUpdateDelay_;
            hosts_[host].router->beginLeave(now_);
            members_[idOf(host)].first = HostState::Leaving;
            broadcast(idOf(host), members_[idOf(host)]);
        }
    }

    void crash(std::size_t host)
    {
        if (isUp(host)) {
            hosts_[host].router.reset();
            hosts_[host].leaving = false;
            members_.erase(idOf(host));
            broadcast(idOf(host), std::nullopt);
        }
    }

    /// Delivers a packet from a caller to the host, if it is up.
    void packet(std::size_t host, const FlowKey &key)
    {
        if (isUp(host)) {
            receivePacket(host, {key.caller, key.service, 0, {}});
        }
    }

    /// Delivers a packet from a caller to a random host that is up.
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
    using MemberState = std::pair<HostState, std::uint64_t>;
    using Members = std::map<HostId, MemberState>;

    struct Host {
        std::unique_ptr<FlowRouter> router;
        bool leaving = false;
        Time earliestRemoval;
        std::optional<Time> exitAt;
        Members members;
        std::map<FlowKey, std::vector<RelayedDatagram>> queued;
    };

    struct MembershipUpdate {
        Time at;
        std::size_t host;
        HostId member;
        std::optional<MemberState> state;
    };

    View viewOf(std::size_t host) const
    {
        View view;
        for (const auto &[id, state] : hosts_[host].members) {
            view.members.push_back({id, {}, state.first, state.second});
        }
        return view;
    }

    void broadcast(HostId member, std::optional<MemberState> state)
    {
        for (std::size_t host = 0; host < size(); ++host) {
            const Duration delay{static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(maxUpdateDelay_.count()) + 1))};
            updates_.push_back({now_ + delay, host, member, state});
        }
    }

    void step()
    {
        for (std::size_t index = 0; index < updates_.size();) {
            if (updates_[index].at <= now_) {
                const auto update = updates_[index];
                updates_.erase(updates_.begin() + static_cast<std::ptrdiff_t>(index));
                applyUpdate(update);
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
                execute(host, outbox, decisions);
            }
        }
        for (const auto &delivery : datagrams_.arrived(now_)) {
            if (isUp(delivery.to.value - 1)) {
                receivePacket(delivery.to.value - 1, delivery.message);
            }
        }
        for (std::size_t host = 0; host < size(); ++host) {
            if (!isUp(host)) {
                continue;
            }
            Outbox<FlowMessage> outbox;
            FlowDecisions decisions;
            router(host).tick(now_, outbox, decisions);
            execute(host, outbox, decisions);
            exitWhenDone(host);
        }
    }

    // A leaving host broadcasts its removal once its flows are handed over, and keeps handling packets until the
    // update has reached all hosts.
    void exitWhenDone(std::size_t host)
    {
        auto &state = hosts_[host];
        if (state.exitAt && now_ >= *state.exitAt) {
            state.router.reset();
            state.leaving = false;
        } else if (state.leaving && !state.exitAt && now_ >= state.earliestRemoval && state.router->handoverComplete()) {
            state.exitAt = now_ + maxUpdateDelay_ + std::chrono::milliseconds{50};
            members_.erase(idOf(host));
            broadcast(idOf(host), std::nullopt);
        }
    }

    void applyUpdate(const MembershipUpdate &update)
    {
        auto &host = hosts_[update.host];
        const auto actual = members_.find(update.member);
        if (update.member == idOf(update.host) && !update.state) {
            return;
        }
        const bool isStale = update.state ? actual == members_.end() || actual->second != *update.state : actual != members_.end();
        if (!host.router || isStale) {
            return;
        }
        if (update.state) {
            host.members[update.member] = *update.state;
        } else {
            host.members.erase(update.member);
        }
        host.router->setView(viewOf(update.host), now_);
    }

    void receivePacket(std::size_t host, const RelayedDatagram &datagram)
    {
        record_.maxHops = std::max(record_.maxHops, datagram.hops);
        Outbox<FlowMessage> outbox;
        FlowDecisions decisions;
        const FlowKey key{datagram.caller, datagram.service};
        router(host).onPacket(key, datagram.hops, now_, outbox, decisions);
        const auto decision = decisions.packets.back();
        if (decision.action == FlowAction::Hold) {
            auto &queue = hosts_[host].queued[key];
            if (queue.size() < 8) {
                queue.push_back(datagram);
            } else {
                ++record_.dropped;
            }
        } else {
            executeOne(host, decision, datagram);
        }
        decisions.packets.pop_back();
        execute(host, outbox, decisions);
    }

    void execute(std::size_t host, Outbox<FlowMessage> &outbox, const FlowDecisions &decisions)
    {
        messages_.send(idOf(host), outbox, now_);
        for (const auto &decision : decisions.packets) {
            bool isBound = false;
            for (const auto &datagram : std::exchange(hosts_[host].queued[decision.key], {})) {
                if (isBound) {
                    receivePacket(host, datagram);
                } else {
                    executeOne(host, decision, datagram);
                }
                isBound = decision.action == FlowAction::New;
            }
        }
    }

    void executeOne(std::size_t host, const FlowDecision &decision, RelayedDatagram datagram)
    {
        switch (decision.action) {
        case FlowAction::Forward:
            deliver(decision.key, decision.upstream);
            break;
        case FlowAction::New: {
            const auto upstream = pick(decision.key, decision.hint);
            if (router(host).bind(decision.key, upstream, now_)) {
                ++record_.dropped;
            } else {
                deliver(decision.key, upstream);
            }
            break;
        }
        case FlowAction::Relay:
            if (datagram.hops >= kMaxRelayHops) {
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

    void deliver(const FlowKey &key, const Endpoint &upstream)
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
    Duration maxUpdateDelay_ = std::chrono::seconds{1};
    Time now_{std::chrono::seconds{1}};
    std::vector<Host> hosts_;
    Members members_;
    std::uint64_t lastIncarnation_ = 0;
    std::vector<MembershipUpdate> updates_;
    std::map<std::uint16_t, std::vector<Endpoint>> upstreams_;
    FlowRecord record_;
};

} // namespace medlarway
