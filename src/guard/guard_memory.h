#pragma once

#include "base/host.h"
#include "base/outbox.h"
#include "base/time.h"
#include "guard/guard_message.h"
#include "guard/kept_keys.h"
#include "guard/key_guard.h"
#include "guard/rosters.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace medlarway
{

/// How far back a guard's memory reaches. A guard that was started has forgotten which votes it gave. It gets
/// them back from the other guards of each key, or waits until they no longer matter.
class GuardMemory
{
public:
    GuardMemory(HostId self, const GuardSettings &settings, std::uint64_t seed, Time now);

    /// True where no vote that this guard gave before its start can matter to a key with these sets of guards.
    bool covers(const std::vector<GuardSet> &sets, Duration window, Time now) const;

    /// True where the memory covers every key, so that other guards may rely on it.
    bool isFull(const Rosters &rosters, Time now) const;

    /// Says whether hosts may run that use lists from before the first one of this start.
    void setEarlierLists(EarlierLists earlier)
    {
        earlierLists_ = earlier;
    }

    /// Asks other hosts for what they keep, as long as that is of use.
    void request(const Rosters &rosters, Time now, Outbox<GuardMessage> &outbox);

    /// Takes in one part of an answer.
    void receive(HostId from, const GuardMessage &message, Time now, KeptKeys &keys, Rosters &rosters);

    /// When request must be called next.
    Time nextRequest() const
    {
        return nextRequest_;
    }

private:
    /// What came of one host's answer to one request. Parts of two answers don't make up a whole.
    struct Parts {
        std::uint64_t request = 0;
        std::uint32_t expected = 0;
        std::set<std::uint32_t> received;
    };

    bool isOldEnough(Duration window, Time now) const;
    bool isFullFor(const std::vector<HostId> &hosts) const;

    HostId self_;
    GuardSettings settings_;
    Time startedAt_;
    EarlierLists earlierLists_ = EarlierLists::MayBeInUse;
    Time nextRequest_;
    std::uint64_t firstRequest_; ///< requests of this start are numbered from here on
    std::uint64_t lastRequest_;
    std::map<HostId, Parts> parts_;
    std::set<HostId> complete_; ///< hosts that have told all they keep
};

/// The answer of a host that can't vouch for its memory: only the lists that it knows.
void answerWithLists(HostId from, std::uint64_t request, const Rosters &rosters, Outbox<GuardMessage> &outbox);

/// The parts of an answer to a MemoryRequest: the keys whose guards, by any list, include the host.
void answerMemoryRequest(HostId from, std::uint64_t request, const KeptKeys &keys, const Rosters &rosters, Time now,
                         Outbox<GuardMessage> &outbox);

} // namespace medlarway
