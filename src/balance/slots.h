#pragma once

#include "balance/choice.h"
#include "balance/dispatcher.h"
#include "balance/upstream_table.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace medlarway
{

/// The kinds of SlotMessage, with the meaning of their fields.
enum class SlotMessageKind : std::uint8_t {
    WantShort = 1, ///< short requests wait: slot is how many, amount the nanoseconds until the first must start, number names the want
    WantLong = 2, ///< as WantShort, for long requests
    Lend = 3, ///< a slot is lent for a want: number is the want's
    Return = 4, ///< a slot is given back: amount is the nanoseconds it was busy, number 1 where it was of no use
    Hold = 5, ///< a slot lent, or one that changed hands, is in use: keep it
    Count = 6, ///< amount is how many requests the sender runs at the upstream; without an upstream: heard you, nothing to lend
};

/// Slots that a peer asks this host for.
struct SlotWant {
    HostId from;
    bool isLong = false;
    Time latestStart; ///< of the peer's first waiting request, by this host's clock
    std::uint32_t count = 0;
    std::uint64_t number = 0;
    Time until; ///< when it is forgotten
};

/// Who may use which slot: each is owned by one host of the view, by rendezvous, and lent for a short time.
class SlotShares
{
public:
    explicit SlotShares(HostId self)
        : self_(self)
    {
    }

    /// Works the owners out again after a change of the view or of the upstreams. A slot that this host takes
    /// over from another is left alone until that one's loans have run out.
    void assign(UpstreamTable &table, const View &view, Time now, Outbox<SlotMessage> &outbox);

    /// Takes a peer's Want, Lend, Return or Hold.
    void receive(UpstreamTable &table, HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox);

    /// The want of the lane that must start first; nullptr where there is none.
    const SlotWant *firstWant(bool isLong, Time now) const;

    /// Lends a free slot of this host's for the first want of the lane. False where there is none.
    bool lend(UpstreamTable &table, const ChoiceRules &rules, bool isLong, Time now, Outbox<SlotMessage> &outbox);

    /// Asks peers for slots, at a bounded rate.
    void ask(bool isLong, std::size_t count, Time latestStart, Time now, Outbox<SlotMessage> &outbox);

    /// A request of this host starts in the slot.
    static void noteStart(Slot &slot, Time now);

    /// The upstream refused a request in this slot: another host uses it.
    static void noteShed(Slot &slot, Time now);

    /// Ends loans that ran out, returns those not needed, keeps those in use.
    void upkeep(UpstreamTable &table, Time now, Outbox<SlotMessage> &outbox);

    /// Whether this host has slots on loan, or peers' wants to serve.
    bool hasLoans(const UpstreamTable &table) const;

    /// A loan is shorter than this, whoever counts it.
    static constexpr Duration kLoan = std::chrono::milliseconds{300};

private:
    struct Peer {
        HostId id;
        std::optional<Time> heardAt{};
        std::optional<Time> askedSince{}; ///< the first want that it must give a sign for and did not yet
        Time signAgain{}; ///< when it is next told that a want was heard
    };

    struct Asked {
        std::uint64_t number = 0;
        Time at;
    };

    void takeWant(HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox);
    Peer *findPeer(HostId host);
    void noteSilence(UpstreamTable &table, Time now);
    void takeLoan(UpstreamTable &table, HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox);
    static void takeReturn(UpstreamTable &table, HostId from, const SlotMessage &message, Time now);
    void takeHold(UpstreamTable &table, HostId from, const SlotMessage &message, Time now) const;
    void giveBack(UpstreamState &state, std::size_t slot, bool useless, Outbox<SlotMessage> &outbox) const;

    HostId self_;
    std::vector<Peer> peers_;
    std::vector<SlotWant> wants_;
    std::array<Asked, 16> asked_{}; ///< the last wants sent, by number
    std::uint64_t lastNumber_ = 0;
    std::size_t turn_ = 0; ///< which peer is asked next
    std::array<Time, 2> askAgain_{}; ///< short, long
};

/// The owner of a slot: among the hosts that take work, those in the upstream's zone where there are any.
HostId slotOwner(const View &view, HostId self, const Upstream &upstream, std::size_t slot);

} // namespace medlarway
