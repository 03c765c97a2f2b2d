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

/// The kinds of SlotMessage and the meaning of its other fields. Fields not mentioned are unused.
enum class SlotMessageKind : std::uint8_t {
    BorrowShort = 1, ///< requests `slot` slots for short requests; amount: nanoseconds until the first must start, number: id
    BorrowLong = 2, ///< as BorrowShort, for long requests
    Lend = 3, ///< lends a slot; number: id of the borrow request
    Return = 4, ///< returns a slot; amount: nanoseconds it was busy, number: 1 if the borrower could not use it, else 0
    Renew = 5, ///< the sender is running a request in a slot that it borrowed or used to own; renews the loan
    LoadReport = 6, ///< amount: requests the sender runs at the upstream; without an upstream: acknowledges a borrow request
};

/// A peer's request to borrow slots.
struct BorrowRequest {
    HostId from;
    bool isLong = false;
    Time latestStart; ///< latest start of the peer's most urgent waiting request, on this host's clock
    std::uint32_t count = 0; ///< slots still to be lent
    std::uint64_t number = 0; ///< id assigned by the peer
    Time expiresAt;
};

/// Shares the slots of all upstreams among the hosts: rendezvous hashing makes one host of the view the owner of each
/// slot, and owners lend idle slots to peers for a short time.
class SlotLeases
{
public:
    explicit SlotLeases(HostId self)
        : self_(self)
    {
    }

    /// Recomputes the owners after a change of the view or of the upstreams. A slot that this host takes over is not
    /// used until any loan by its previous owner has expired.
    void assign(UpstreamTable &table, const View &view, Time now, Outbox<SlotMessage> &outbox);

    /// Handles a message from a peer.
    void receive(UpstreamTable &table, HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox);

    /// The pending borrow request of the lane with the earliest latest start; nullptr if there is none.
    const BorrowRequest *mostUrgentRequest(bool isLong, Time now) const;

    /// Lends one of this host's idle slots for the most urgent borrow request of the lane. Returns false if there is
    /// no such request or slot.
    bool lend(UpstreamTable &table, const ChoiceContext &context, bool isLong, Time now, Outbox<SlotMessage> &outbox);

    /// Sends borrow requests for `count` waiting requests of the lane to peers, at a limited rate.
    void requestSlots(bool isLong, std::size_t count, Time latestStart, Time now, Outbox<SlotMessage> &outbox);

    /// Records that a request of this host starts in the slot.
    static void recordStart(Slot &slot, Time now);

    /// Records that the upstream refused a request in the slot, so another host must be using it.
    static void recordShed(Slot &slot, Time now);

    /// Expires loans and borrow requests, returns borrowed slots that are idle and renews the loans of those in use.
    void maintainLoans(UpstreamTable &table, Time now, Outbox<SlotMessage> &outbox);

    /// Whether this host has borrowed slots or has borrow requests of peers to serve.
    bool hasLoans(const UpstreamTable &table) const;

    /// The duration of a loan as counted by the owner. On the borrower's clock a loan ends earlier.
    static constexpr Duration kLoanDuration = std::chrono::milliseconds{300};

private:
    struct Peer {
        HostId id;
        std::optional<Time> lastReceived{};
        std::optional<Time> unansweredSince{}; ///< when the oldest borrow request that still awaits a message from the peer was sent
        Time nextAckAt{}; ///< no acknowledgement of its borrow requests is sent before
    };

    struct SentRequest {
        std::uint64_t number = 0;
        Time at;
    };

    void onBorrowRequest(HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox);
    Peer *findPeer(HostId host);
    void detectSilentOwners(UpstreamTable &table, Time now);
    void onLend(UpstreamTable &table, HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox);
    static void onReturn(UpstreamTable &table, HostId from, const SlotMessage &message, Time now);
    void onRenew(UpstreamTable &table, HostId from, const SlotMessage &message, Time now) const;
    void returnSlot(UpstreamState &state, std::size_t slot, bool unusable, Outbox<SlotMessage> &outbox) const;

    HostId self_;
    std::vector<Peer> peers_;
    std::vector<BorrowRequest> borrowRequests_;
    std::array<SentRequest, 16> sentRequests_{}; ///< the last borrow requests sent, indexed by number modulo the size
    std::uint64_t lastNumber_ = 0;
    std::size_t nextPeer_ = 0; ///< index, modulo the number of peers, of the peer that gets the next borrow request
    std::array<Time, 2> nextRequestAt_{}; ///< when borrow requests may be sent again; index 0 is the short lane, 1 the long lane
};

/// The owner of a slot, chosen among the hosts of the view that are not leaving; hosts in the upstream's zone take
/// precedence. Returns `self` if no host qualifies.
HostId slotOwner(const View &view, HostId self, const Upstream &upstream, std::size_t slot);

} // namespace medlarway
