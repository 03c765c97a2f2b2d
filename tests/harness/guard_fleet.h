#pragma once

#include "base/random.h"
#include "guard/key_guard.h"
#include "harness/message_network.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// A claim from its invocation to its verdict. Times are those of the test.
struct GuardInvocation {
    std::size_t host = 0;
    ClaimId claim = 0;
    GuardKey key;
    Time invoked;
    std::optional<Time> returned;
    GuardVerdict verdict = GuardVerdict::Refused;
    std::optional<Time> ran; ///< when the request was sent to the upstream
};

/// How the platform's host list changes.
enum class ListChanges : std::uint8_t {
    Sequential, ///< a change is made only once every running host has received the one before
    Concurrent, ///< changes are made at any time, so hosts may miss lists that others use
};

/// Simulates the key guards of several hosts on one seeded network, each with its own clock. Hosts can crash, restart
/// without their grants, and pause. Granted requests are sent after a short delay, as by a proxy.
class GuardFleet
{
public:
    /// listed: the hosts that guards are selected from; all if empty.
    GuardFleet(std::size_t hosts, const GuardSettings &settings, Duration window, std::uint64_t seed,
               const std::vector<std::size_t> &listed = {})
        : settings_(settings)
        , window_(window)
        , random_(seed)
        , network_(seed + 1)
        , hosts_(hosts)
    {
        for (std::size_t host = 0; host < hosts; ++host) {
            if (listed.empty() || std::find(listed.begin(), listed.end(), host) != listed.end()) {
                listed_.push_back(idOf(host));
            }
        }
        for (std::size_t host = 0; host < hosts; ++host) {
            start(host);
        }
    }

    static HostId idOf(std::size_t host)
    {
        return HostId{host + 1};
    }

    std::size_t size() const
    {
        return hosts_.size();
    }

    MessageNetwork<GuardMessage> &network()
    {
        return network_;
    }

    const std::vector<GuardInvocation> &history() const
    {
        return history_;
    }

    Time now() const
    {
        return now_;
    }

    Random &random()
    {
        return random_;
    }

    /// The guard of a host; nullptr if the host is down.
    KeyGuard *guard(std::size_t host)
    {
        return hosts_[host].guard.get();
    }

    Time localNow(std::size_t host) const
    {
        const auto &state = hosts_[host];
        const auto elapsed = static_cast<double>((now_ - state.startedAt).count()) * state.clockRate;
        return state.clockStart + Duration{static_cast<Duration::rep>(elapsed)};
    }

    /// A caller's request arrives at the host, which claims its key. Ignored if the host is down or paused.
    void request(std::size_t host, const GuardKey &key, Duration timeout = std::chrono::seconds{5})
    {
        auto &state = hosts_[host];
        if (!state.guard || state.paused) {
            return;
        }
        GuardDecisions decisions;
        Outbox<GuardMessage> outbox;
        const auto local = localNow(host);
        const auto index = history_.size();
        history_.push_back({host, 0, key, now_, std::nullopt, GuardVerdict::Refused, std::nullopt});
        history_[index].claim = state.guard->claim(key, window_, local + timeout, local, outbox, decisions);
        record(host, outbox, decisions);
    }

    void crash(std::size_t host)
    {
        hosts_[host].guard.reset();
        hosts_[host].mailbox.clear();
        hosts_[host].pendingSends.clear();
        hosts_[host].paused = false;
    }

    /// Starts a host that is down; it has lost all grants and host lists.
    void restart(std::size_t host)
    {
        if (!hosts_[host].guard) {
            start(host);
        }
    }

    void pause(std::size_t host)
    {
        hosts_[host].paused = hosts_[host].guard != nullptr;
    }

    /// Ends a pause and delivers the queued messages. Whether the host first notices the pause is random.
    void wake(std::size_t host)
    {
        auto &state = hosts_[host];
        if (!state.paused) {
            return;
        }
        state.paused = false;
        if (random_.below(2) == 0) {
            GuardDecisions decisions;
            Outbox<GuardMessage> outbox;
            state.guard->handlePause(localNow(host), outbox, decisions);
            record(host, outbox, decisions);
        }
        for (const auto &delivery : std::exchange(state.mailbox, {})) {
            deliver(host, delivery);
        }
    }

    /// Separates the hosts whose mask bit is 1 from the others. oneWay cuts only the messages sent by the hosts in the mask.
    void partition(std::uint64_t mask, bool oneWay)
    {
        for (std::size_t first = 0; first < size(); ++first) {
            for (std::size_t second = 0; second < size(); ++second) {
                if (((mask >> first) & 1U) == 1 && ((mask >> second) & 1U) == 0) {
                    network_.cut(idOf(first), idOf(second));
                    if (!oneWay) {
                        network_.cut(idOf(second), idOf(first));
                    }
                }
            }
        }
    }

    void setListChanges(ListChanges changes)
    {
        listChanges_ = changes;
    }

    /// Adds the host to the platform's list, or removes it if listed. Hosts receive the new list by learnList.
    void changeList(std::size_t host)
    {
        for (const auto &state : hosts_) {
            if (listChanges_ == ListChanges::Sequential && state.guard && state.listVersion != listVersion_) {
                return;
            }
        }
        ++listVersion_;
        const auto found = std::find(listed_.begin(), listed_.end(), idOf(host));
        if (found == listed_.end()) {
            listed_.push_back(idOf(host));
        } else if (listed_.size() > 1) {
            listed_.erase(found);
        }
    }

    /// Gives the platform's current list to the host.
    void learnList(std::size_t host)
    {
        if (hosts_[host].guard && !hosts_[host].paused) {
            hosts_[host].listVersion = listVersion_;
            hosts_[host].guard->setListed(listed_, localNow(host));
        }
    }

    /// Advances the time: delivers messages, ticks guards and sends granted requests.
    void advance(Duration duration)
    {
        const auto end = now_ + duration;
        while (true) {
            const auto next = std::min(nextEvent(), end);
            now_ = std::max(now_, next);
            step();
            if (now_ >= end) {
                return;
            }
        }
    }

    /// Describes a key that ran twice within its window; empty if there is none. A window may be 1% short, since clock rates differ.
    std::string findDoubleRun() const
    {
        std::string found;
        forEachDoubleRun([&found](const GuardInvocation &one, const GuardInvocation &other) {
            found = "key " + std::to_string(one.key.keyLow) + " ran on host " + std::to_string(one.host + 1) + " and host "
                    + std::to_string(other.host + 1);
        });
        return found;
    }

    /// The number of pairs of runs of the same key within its window.
    std::size_t countDoubleRuns() const
    {
        std::size_t number = 0;
        forEachDoubleRun([&number](const GuardInvocation &, const GuardInvocation &) { ++number; });
        return number;
    }

    /// Describes a claim that ran without a Run verdict or before it; empty if there is none.
    std::string findContradiction() const
    {
        for (const auto &invocation : history_) {
            const bool granted = invocation.returned && invocation.verdict == GuardVerdict::Run;
            if (invocation.ran && (!granted || *invocation.ran < *invocation.returned)) {
                return "claim " + std::to_string(invocation.claim) + " ran without being granted";
            }
        }
        return {};
    }

private:
    template<class Function>
    void forEachDoubleRun(const Function &function) const
    {
        for (std::size_t first = 0; first < history_.size(); ++first) {
            for (std::size_t second = first + 1; second < history_.size(); ++second) {
                const auto &one = history_[first];
                const auto &other = history_[second];
                if (one.ran && other.ran && one.key == other.key) {
                    const auto apart = *one.ran < *other.ran ? *other.ran - *one.ran : *one.ran - *other.ran;
                    if (apart < window_ - window_ / 100) {
                        function(one, other);
                    }
                }
            }
        }
    }

    struct PendingSend {
        Time at; ///< when to send or to report
        GuardDecision decision;
        std::size_t invocation = 0;
        bool isSent = false; ///< the entry then waits until the result is reported
    };

    struct Host {
        std::unique_ptr<KeyGuard> guard;
        Time startedAt;
        Time clockStart;
        double clockRate = 1.0; ///< seconds of the host's clock per second of the test
        bool paused = false;
        std::uint64_t listVersion = 0;
        std::vector<Delivery<GuardMessage>> mailbox; ///< messages that arrived during a pause
        std::vector<PendingSend> pendingSends;
    };

    // A host's monotonic clock starts at a random value and runs up to 0.4% fast or slow.
    void start(std::size_t host)
    {
        auto &state = hosts_[host];
        state = Host{};
        state.startedAt = now_;
        state.clockStart = Time{std::chrono::seconds{random_.below(1'000'000)}};
        state.clockRate = 0.996 + 0.008 * random_.unit();
        state.guard = std::make_unique<KeyGuard>(idOf(host), settings_, random_(), state.clockStart);
        state.listVersion = listVersion_;
        const auto earlier = listVersion_ == 0 ? EarlierLists::None : EarlierLists::MayBeInUse;
        state.guard->setListed(listed_, state.clockStart, earlier);
    }

    Time nextEvent() const
    {
        auto next = network_.nextArrival();
        for (std::size_t host = 0; host < hosts_.size(); ++host) {
            const auto &state = hosts_[host];
            if (!state.guard || state.paused) {
                continue;
            }
            if (const auto tick = state.guard->nextTick()) {
                const auto local = std::max<Duration>(*tick - localNow(host), Duration{0});
                next = std::min(next, now_ + local + std::chrono::milliseconds{1} + local / 100);
            }
            for (const auto &send : state.pendingSends) {
                next = std::min(next, std::max(send.at, now_));
            }
        }
        return next;
    }

    void step()
    {
        for (const auto &delivery : network_.arrived(now_)) {
            auto &state = hosts_[delivery.to.value - 1];
            if (state.paused) {
                state.mailbox.push_back(delivery);
            } else if (state.guard) {
                deliver(delivery.to.value - 1, delivery);
            }
        }
        for (std::size_t host = 0; host < size(); ++host) {
            if (hosts_[host].guard && !hosts_[host].paused) {
                GuardDecisions decisions;
                Outbox<GuardMessage> outbox;
                hosts_[host].guard->tick(localNow(host), outbox, decisions);
                record(host, outbox, decisions);
                sendGranted(host);
            }
        }
    }

    void deliver(std::size_t host, const Delivery<GuardMessage> &delivery)
    {
        GuardDecisions decisions;
        Outbox<GuardMessage> outbox;
        hosts_[host].guard->receive(delivery.from, delivery.message, localNow(host), outbox, decisions);
        record(host, outbox, decisions);
    }

    // Sends the messages, and records the verdicts in the history.
    void record(std::size_t host, Outbox<GuardMessage> &outbox, const GuardDecisions &decisions)
    {
        network_.send(idOf(host), outbox, now_);
        for (const auto &decision : decisions) {
            for (std::size_t index = history_.size(); index-- > 0;) {
                auto &invocation = history_[index];
                const bool isNewest = index + 1 == history_.size() && invocation.claim == 0;
                if (invocation.host == host && (invocation.claim == decision.claim || isNewest) && !invocation.returned) {
                    invocation.returned = now_;
                    invocation.verdict = decision.verdict;
                    if (decision.verdict == GuardVerdict::Run) {
                        hosts_[host].pendingSends.push_back({now_ + delay(50), decision, index, false});
                    }
                    break;
                }
            }
        }
    }

    Duration delay(std::uint64_t maxMilliseconds)
    {
        return std::chrono::microseconds{random_.below(maxMilliseconds * 1000)};
    }

    // Sends granted requests before their lease expires, and reports the result to the guard some time later.
    void sendGranted(std::size_t host)
    {
        auto &state = hosts_[host];
        for (std::size_t index = 0; index < state.pendingSends.size();) {
            auto send = state.pendingSends[index];
            if (send.at > now_) {
                ++index;
                continue;
            }
            state.pendingSends.erase(state.pendingSends.begin() + static_cast<std::ptrdiff_t>(index));
            Outbox<GuardMessage> outbox;
            if (send.isSent) {
                const auto result = random_.below(3) == 0 ? RunResult::MayHaveRun : RunResult::Completed;
                state.guard->finishRun(send.decision.claim, send.decision.key, result, localNow(host), outbox);
            } else if (localNow(host) >= send.decision.runBefore || random_.below(10) == 0) {
                state.guard->finishRun(send.decision.claim, send.decision.key, RunResult::NotRun, localNow(host), outbox);
            } else {
                history_[send.invocation].ran = now_;
                send.isSent = true;
                send.at = now_ + delay(3000);
                state.pendingSends.push_back(send);
            }
            network_.send(idOf(host), outbox, now_);
        }
    }

    GuardSettings settings_;
    Duration window_;
    Random random_;
    MessageNetwork<GuardMessage> network_;
    Time now_{std::chrono::seconds{1}};
    std::vector<HostId> listed_;
    std::uint64_t listVersion_ = 0;
    ListChanges listChanges_ = ListChanges::Sequential;
    std::vector<Host> hosts_;
    std::vector<GuardInvocation> history_;
};

} // namespace medlarway
