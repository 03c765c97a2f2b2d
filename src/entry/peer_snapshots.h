#pragma once

#include "entry/peer_hosts.h"
#include "pages/http_client.h"
#include "replication/follower.h"
#include "steering/snapshot.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// Path at which a host serves its snapshot: GET kSnapshotPath?after=REVISION&from=CONTROL-ADDRESS.
inline constexpr std::string_view kSnapshotPath = "/snapshot";

/// A request for a snapshot.
struct SnapshotRequest {
    Revision after; ///< revision of the requesting host; only a later one is sent
    std::optional<Endpoint> from; ///< control address of the requesting host

    friend bool operator==(const SnapshotRequest &, const SnapshotRequest &) = default;
};

/// Parses a request target; nullopt if it has another path or is malformed. Never throws.
std::optional<SnapshotRequest> parseSnapshotTarget(const std::string &target);

/// Formats a request target.
std::string snapshotTarget(const SnapshotRequest &request);

/// How a host gets the platform's data.
struct PlatformAccess {
    ReadReason reason = ReadReason::None; ///< why it reads the platform
    bool reachable = false; ///< the platform responds to it
    Duration confirmedAgo{}; ///< age of its data's confirmation

    friend bool operator==(const PlatformAccess &, const PlatformAccess &) = default;
};

/// Whether a host is to request snapshots: it reads the platform in vain, and its data is older than the limit.
bool needsSnapshots(const PlatformAccess &access, Duration maxAge);

/// Requests snapshots from other entry hosts while this one can't read the platform itself.
class PeerSnapshotPoller
{
public:
    /// Functions of the owner, called on the thread that runs the context.
    struct Callbacks {
        std::function<bool()> needed; ///< whether the platform does not respond to this host
        std::function<Revision()> knownRevision; ///< revision up to which this host's data is complete
        std::function<void(const SteeringSnapshot &snapshot, const Endpoint &from)> apply; ///< applies a received snapshot
    };

    PeerSnapshotPoller(boost::asio::io_context &context, const Endpoint &self, PeerHosts &hosts, Callbacks callbacks);

    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> fetchFrom(Endpoint host);

    boost::asio::io_context &context_;
    Endpoint self_;
    PeerHosts &hosts_;
    Callbacks callbacks_;
    boost::asio::steady_timer timer_;
};

} // namespace medlarway
