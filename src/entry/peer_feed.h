#pragma once

#include "entry/demand_feed.h"
#include "pages/page_server.h"
#include "peering/byte_budget.h"
#include "peering/envelope.h"
#include "peering/relay_socket.h"
#include "replication/follower.h"
#include "replication/held_requests.h"
#include "replication/page_offers.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

namespace medlarway
{

/// Path at which a host serves changes that exceed a datagram: GET kDeltaPath?after=REVISION&version=VERSION&from=PEER-ADDRESS.
/// With &packed=1 the page may be packed. Releases that do not know this ignore it.
inline constexpr std::string_view kDeltaPath = "/delta";

/// Options of a PeerFeed.
struct PeerFeedOptions {
    Endpoint listen; ///< for datagrams; all hosts use the same port
    FollowerOptions follower;
    PeerKeys keys; ///< the default key protects against accidents only
};

/// Functions of the owner of a PeerFeed, called on the thread that runs the context.
struct PeerFeedCallbacks {
    std::function<KnownData()> known;
    std::function<bool()> urgent; ///< whether callers wait for a change of the platform
    std::function<SteeringDelta(const KnownData &receiver)> makeDelta;
    std::function<void(const SteeringDelta &delta, HostId from)> apply;
    /// The ends of evacuations for a reply, and those of another host's reply, of which asOf is that host's revision. Called for every
    /// reply that this host waited for.
    std::function<std::vector<RecentEnd>()> recentEnds;
    std::function<void(const std::vector<RecentEnd> &ends, const Revision &asOf, HostId from)> applyRecentEnds;
    /// The former upstreams for a reply, and those of another host's reply; may be unset.
    std::function<std::vector<FormerUpstream>()> formerUpstreams;
    std::function<void(const std::vector<FormerUpstream> &former, HostId from)> applyFormerUpstreams;
    std::function<void(ReadReason reason)> readReasonChanged;
    std::function<void()> beforeUse; ///< called before anything is received or answered, to detect a pause of the process
    DemandFeedCallbacks demand; ///< without them this host tells no demand of its own
};

/// The exchange of the platform's data between entry hosts: I/O of a Follower and of HeldRequests. Runs on the context's thread.
class PeerFeed
{
public:
    /// Binds the socket. Throws Error(AddressTaken).
    PeerFeed(boost::asio::io_context &context, const PeerFeedOptions &options, PeerFeedCallbacks callbacks);

    void start();

    /// Tells what the platform did for this host. After a response, the waiting followers are answered.
    void onPlatformConfirmed(Time at);
    void onPlatformFailed();
    void onPause();

    /// Tells that all data of the platform was read anew; see Follower::onReadAnew().
    void onReadAnew();

    void setSeeds(std::vector<HostId> seeds);

    /// Sends what is due; also called by a timer.
    void update();

    /// Serves kDeltaPath; nullopt for any other target.
    std::optional<PageResponse> serve(const std::string &target);

    /// How long ago the platform confirmed the data of this host; nullopt if it never did, or not since a pause.
    std::optional<Duration> confirmedAgo(Time now) const;

    const Follower &follower() const
    {
        return follower_;
    }

    /// Whether a follower asked for changes because its callers wait for one.
    bool followerUrgent() const
    {
        return followerUrgentUntil_ > monotonicNow();
    }

    std::size_t heldRequests() const
    {
        return held_.size();
    }

private:
    enum class MessageKind : std::uint8_t {
        Request,
        Reply,
        BootNotice,
        Page,
        DemandReport, ///< releases that do not know this one and the next refuse them with a line in their log
        DemandReply,
    };

    /// The last encoded page. Followers of one reader mostly ask for the same changes.
    struct CachedPage {
        KnownData receiver;
        KnownData known;
        bool packed = false; ///< it was asked for
        FeedPage page; ///< without its age
        Time madeAt; ///< the ages in it are of this time
    };

    void receive(std::string_view sealed);
    void handle(const OpenedMessage &message);
    void handleReply(HostId from, const FeedReply &reply);
    void answerHeld();
    void answer(const HeldRequest &held);
    void addDelta(FeedReply &reply, const HeldRequest &held) const;
    void offerPage(FeedReply &reply, const HeldRequest &held);
    const FeedPage &pageFor(const KnownData &receiver, bool packed);
    void send(HostId to, MessageKind kind, const std::string &body);
    void sendDemand(HostId to, const DemandMessage &message);
    FeedPage makePage(const KnownData &receiver, bool packed) const;
    static void countSent(MessageKind kind, std::size_t bytes);
    boost::asio::awaitable<void> fetch(HostId from, Endpoint control);
    boost::asio::awaitable<void> fetchPage(HostId from, Endpoint control, Time startedAt, bool &applied);
    bool applyPage(HostId from, const std::string &sealed, Time startedAt);
    SourceState sourceState() const;
    void sendDue();
    void scheduleUpdate(Time earliest);

    boost::asio::io_context &context_;
    PeerFeedCallbacks callbacks_;
    HostId self_;
    Duration maxAge_;
    Envelope envelope_;
    Follower follower_;
    HeldRequests held_;
    RelaySocket socket_;
    boost::asio::steady_timer timer_;
    ByteBudget pageBudget_;
    PageOffers pageOffers_;
    Outbox<FeedRequest> outbox_;
    ReadReason readReason_ = ReadReason::None;
    HostId source_;
    Time followerUrgentUntil_;
    CachedPage page_;
    DemandFeed demand_;
};

} // namespace medlarway
