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

/// Delay, loss and duplication of messages in a test network.
struct NetworkConditions {
    Duration minDelay = std::chrono::milliseconds{1};
    Duration maxDelay = std::chrono::milliseconds{3}; ///< messages are reordered if this exceeds minDelay
    double loss = 0.0; ///< fraction of messages that are dropped
    double duplication = 0.0; ///< fraction of messages that are sent twice
};

/// A message in flight between two cores.
template<class Message>
struct Delivery {
    Time at; ///< arrival time
    HostId from;
    HostId to;
    Message message;
};

/// A simulated network between decision cores, driven by the test's clock and one seed. It delays, reorders, drops and
/// duplicates messages. A connection can be cut in each direction separately.
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

    /// Drops all messages from one host to the other from now on, including those in flight.
    void cut(HostId from, HostId to)
    {
        cuts_.insert({from, to});
    }

    /// Reconnects one direction between two hosts.
    void heal(HostId from, HostId to)
    {
        cuts_.erase({from, to});
    }

    /// Reconnects all hosts.
    void healAll()
    {
        cuts_.clear();
    }

    bool isCut(HostId from, HostId to) const
    {
        return cuts_.count({from, to}) > 0;
    }

    /// Sends the messages in a core's outbox and empties it.
    void send(HostId from, Outbox<Message> &outbox, Time now)
    {
        for (auto &outgoing : outbox) {
            ++sent_;
            const int copies = random_.unit() < conditions_.duplication ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                sendOne(from, outgoing.to, outgoing.message, now);
            }
        }
        outbox.clear();
    }

    /// The arrival time of the next message; Time::max() if none is in flight.
    Time nextArrival() const
    {
        return queue_.empty() ? Time::max() : queue_.front().at;
    }

    /// Removes and returns the messages that have arrived, in the order of their arrival.
    std::vector<Delivery<Message>> arrived(Time now)
    {
        std::vector<Delivery<Message>> result;
        while (!queue_.empty() && queue_.front().at <= now) {
            std::pop_heap(queue_.begin(), queue_.end(), arrivesLater);
            if (!isCut(queue_.back().from, queue_.back().to)) {
                result.push_back(std::move(queue_.back()));
            }
            queue_.pop_back();
        }
        return result;
    }

    /// The number of messages passed to send, including those that were dropped; a duplicate isn't counted.
    std::size_t sent() const
    {
        return sent_;
    }

private:
    static bool arrivesLater(const Delivery<Message> &first, const Delivery<Message> &second)
    {
        return first.at > second.at;
    }

    void sendOne(HostId from, HostId to, const Message &message, Time now)
    {
        const auto spread = static_cast<std::uint64_t>((conditions_.maxDelay - conditions_.minDelay).count());
        const Duration delay = conditions_.minDelay + Duration{static_cast<Duration::rep>(random_.below(spread + 1))};
        if (random_.unit() < conditions_.loss || isCut(from, to)) {
            return;
        }
        queue_.push_back(Delivery<Message>{now + delay, from, to, message});
        std::push_heap(queue_.begin(), queue_.end(), arrivesLater);
    }

    Random random_;
    NetworkConditions conditions_;
    std::set<std::pair<HostId, HostId>> cuts_;
    std::vector<Delivery<Message>> queue_;
    std::size_t sent_ = 0;
};

} // namespace medlarway
