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

/// One ask from its invocation to its verdict, in the time of the test.
struct GuardInvocation {
    std::size_t host = 0;
    AskId ask = 0;
    GuardKey key;
    Time invoked;
    std::optional<Time> returned;
    GuardVerdict verdict = GuardVerdict::Refused;
    std::optional<Time> ran; ///< when the upstream got the request
};

/// How the platform's list changes.
enum class ListChanges : std::uint8_t {
    InTurn, ///< one change follows another only once every host that is up has learned it
    Overtaking, ///< at any time: hosts may miss lists that others use
};

/// Key guards of several hosts on one seeded network, each with its own clock. Hosts crash, restart with an
/// empty memory, pause and wake late; granted requests are sent a little later, as a proxy would.
class GuardFleet
{
public:
    /// Listed: the hosts that guards are drawn from; empty for all.
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

    /// The guard of a host; nullptr while it is down.
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

    /// A caller's request reaches the host.
    void request(std::size_t host, const GuardKey &key, Duration patience = std::chrono::seconds{5})
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
        history_[index].ask = state.guard->ask(key, window_, local + patience, local, outbox, decisions);
        take(host, outbox, decisions);
    }

    void crash(std::size_t host)
    {
        hosts_[host].guard.reset();
        hosts_[host].mailbox.clear();
        hosts_[host].sends.clear();
        hosts_[host].paused = false;
    }

    /// Starts a host that is down, with an empty memory.
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

    /// The host goes on with what waited for it; it may or may not notice first that it slept.
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
            state.guard->wokeLate(localNow(host), outbox, decisions);
            take(host, outbox, decisions);
        }
        for (const auto &delivery : std::exchange(state.mailbox, {})) {
            deliver(host, delivery);
        }
    }

    /// Cuts hosts into two sides by a mask; one way only where asked.
    void part(std::uint64_t mask, bool oneWay)
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

    /// Adds the host to the platform's list, or removes it; hosts learn of it by learnList.
    void changeList(std::size_t host)
    {
        for (const auto &state : hosts_) {
            if (listChanges_ == ListChanges::InTurn && state.guard && state.listVersion != listVersion_) {
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

    void learnList(std::size_t host)
    {
        if (hosts_[host].guard && !hosts_[host].paused) {
            hosts_[host].listVersion = listVersion_;
            hosts_[host].guard->setListed(listed_, localNow(host));
        }
    }

    /// Lets time pass; messages arrive, clocks tick, granted requests are sent.
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

    /// A key that ran twice within its window; empty where there is none. Clocks may differ by one in a hundred.
    std::string findDouble() const
    {
        std::string found;
        forEachDouble([&found](const GuardInvocation &one, const GuardInvocation &other) {
            found = "key " + std::to_string(one.key.keyLow) + " ran on host " + std::to_string(one.host + 1) + " and host "
                    + std::to_string(other.host + 1);
        });
        return found;
    }

    /// How many pairs of runs of a key were within its window.
    std::size_t countDoubles() const
    {
        std::size_t number = 0;
        forEachDouble([&number](const GuardInvocation &, const GuardInvocation &) { ++number; });
        return number;
    }

    /// An invocation whose verdict and run contradict each other; empty where there is none.
    std::string findContradiction() const
    {
        for (const auto &invocation : history_) {
            const bool granted = invocation.returned && invocation.verdict == GuardVerdict::Run;
            if (invocation.ran && (!granted || *invocation.ran < *invocation.returned)) {
                return "ask " + std::to_string(invocation.ask) + " ran without being granted";
            }
        }
        return {};
    }

private:
    template<class Function>
    void forEachDouble(const Function &function) const
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

    struct Send {
        Time at;
        GuardDecision decision;
        std::size_t invocation = 0;
        bool isSent = false;
    };

    struct Host {
        std::unique_ptr<KeyGuard> guard;
        Time startedAt;
        Time clockStart;
        double clockRate = 1.0;
        bool paused = false;
        std::uint64_t listVersion = 0;
        std::vector<Delivery<GuardMessage>> mailbox;
        std::vector<Send> sends;
    };

    // A monotonic clock starts anywhere and runs up to 0.4% fast or slow.
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
            for (const auto &send : state.sends) {
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
                take(host, outbox, decisions);
                sendGranted(host);
            }
        }
    }

    void deliver(std::size_t host, const Delivery<GuardMessage> &delivery)
    {
        GuardDecisions decisions;
        Outbox<GuardMessage> outbox;
        hosts_[host].guard->receive(delivery.from, delivery.message, localNow(host), outbox, decisions);
        take(host, outbox, decisions);
    }

    void take(std::size_t host, Outbox<GuardMessage> &outbox, const GuardDecisions &decisions)
    {
        network_.send(idOf(host), outbox, now_);
        for (const auto &decision : decisions) {
            for (std::size_t index = history_.size(); index-- > 0;) {
                auto &invocation = history_[index];
                const bool isNewest = index + 1 == history_.size() && invocation.ask == 0;
                if (invocation.host == host && (invocation.ask == decision.ask || isNewest) && !invocation.returned) {
                    invocation.returned = now_;
                    invocation.verdict = decision.verdict;
                    if (decision.verdict == GuardVerdict::Run) {
                        hosts_[host].sends.push_back({now_ + delay(50), decision, index, false});
                    }
                    break;
                }
            }
        }
    }

    Duration delay(std::uint64_t mostMilliseconds)
    {
        return std::chrono::microseconds{random_.below(mostMilliseconds * 1000)};
    }

    // Sends what was granted while the lease lasts, and tells the guard some time later how it ended.
    void sendGranted(std::size_t host)
    {
        auto &state = hosts_[host];
        for (std::size_t index = 0; index < state.sends.size();) {
            auto send = state.sends[index];
            if (send.at > now_) {
                ++index;
                continue;
            }
            state.sends.erase(state.sends.begin() + static_cast<std::ptrdiff_t>(index));
            Outbox<GuardMessage> outbox;
            if (send.isSent) {
                const auto result = random_.below(3) == 0 ? RunResult::MayHaveRun : RunResult::Ended;
                state.guard->finished(send.decision.ask, send.decision.key, result, localNow(host), outbox);
            } else if (localNow(host) >= send.decision.runBefore || random_.below(10) == 0) {
                state.guard->finished(send.decision.ask, send.decision.key, RunResult::NotRun, localNow(host), outbox);
            } else {
                history_[send.invocation].ran = now_;
                send.isSent = true;
                send.at = now_ + delay(3000);
                state.sends.push_back(send);
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
    ListChanges listChanges_ = ListChanges::InTurn;
    std::vector<Host> hosts_;
    std::vector<GuardInvocation> history_;
};

} // namespace medlarway
