#pragma once

#include "base/host.h"
#include "base/outbox.h"
#include "base/random.h"
#include "base/time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <utility>
#include <vector>

namespace medlarway
{

/// How a test network treats messages.
struct NetworkConditions {
    Duration shortestDelay = std::chrono::milliseconds{1};
    Duration longestDelay = std::chrono::milliseconds{3}; ///< differing delays reorder messages
    double loss = 0.0; ///< share of messages that are dropped
    double repeat = 0.0; ///< share of messages that arrive twice
};

/// A message on its way between two cores.
template<class Message>
struct Delivery {
    Time at;
    HostId from;
    HostId to;
    Message message;
};

/// A queue of delayed messages between decision cores, driven by the test's clock and one seed.
/// Drops, delays, repeats and reorders; cuts work in one direction each.
template<class Message>
class MessageNetwork
{
public:
    explicit MessageNetwork(std::uint64_t seed, NetworkConditions conditions = {})
        : random_(seed)
        , conditions_(conditions)
    {
    }

    void setConditions(const NetworkConditions &conditions)
    {
        conditions_ = conditions;
    }

    /// Messages from one host to the other are dropped from now on, those on their way among them.
    void cut(HostId from, HostId to)
    {
        cuts_.insert({from, to});
    }

    /// Ends one direction's cut.
    void heal(HostId from, HostId to)
    {
        cuts_.erase({from, to});
    }

    /// Ends every cut.
    void healAll()
    {
        cuts_.clear();
    }

    bool isCut(HostId from, HostId to) const
    {
        return cuts_.count({from, to}) > 0;
    }

    /// Takes what a core wants sent, and empties the outbox.
    void send(HostId from, Outbox<Message> &outbox, Time now)
    {
        for (auto &outgoing : outbox) {
            ++sent_;
            const int copies = random_.unit() < conditions_.repeat ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                sendOne(from, outgoing.to, outgoing.message, now);
            }
        }
        outbox.clear();
    }

    /// When the next message arrives; Time::max() where none is on its way.
    Time nextArrival() const
    {
        return queue_.empty() ? Time::max() : queue_.front().at;
    }

    /// Takes the messages that have arrived, in the order of their arrival.
    std::vector<Delivery<Message>> arrived(Time now)
    {
        std::vector<Delivery<Message>> result;
        while (!queue_.empty() && queue_.front().at <= now) {
            std::pop_heap(queue_.begin(), queue_.end(), later);
            if (!isCut(queue_.back().from, queue_.back().to)) {
                result.push_back(std::move(queue_.back()));
            }
            queue_.pop_back();
        }
        return result;
    }

    /// How many messages cores wanted sent.
    std::size_t sent() const
    {
        return sent_;
    }

private:
    static bool later(const Delivery<Message> &first, const Delivery<Message> &second)
    {
        return first.at > second.at;
    }

    void sendOne(HostId from, HostId to, const Message &message, Time now)
    {
        const auto spread = static_cast<std::uint64_t>((conditions_.longestDelay - conditions_.shortestDelay).count());
        const Duration delay = conditions_.shortestDelay + Duration{static_cast<Duration::rep>(random_.below(spread + 1))};
        if (random_.unit() < conditions_.loss || isCut(from, to)) {
            return;
        }
        queue_.push_back(Delivery<Message>{now + delay, from, to, message});
        std::push_heap(queue_.begin(), queue_.end(), later);
    }

    Random random_;
    NetworkConditions conditions_;
    std::set<std::pair<HostId, HostId>> cuts_;
    std::vector<Delivery<Message>> queue_;
    std::size_t sent_ = 0;
};

} // namespace medlarway
