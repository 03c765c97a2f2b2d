#pragma once

#include "entry/peer_hosts.h"
#include "pages/http_reader.h"
#include "steering/snapshot.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// Where a host gives its snapshot to others: GET kSnapshotPath?after=REVISION&from=CONTROL-ADDRESS.
inline constexpr std::string_view kSnapshotPath = "/snapshot";

/// What a host asks for.
struct SnapshotRequest {
    std::uint64_t after = 0; ///< only a later one is of interest
    std::optional<Endpoint> from; ///< the asker's control address

    friend bool operator==(const SnapshotRequest &, const SnapshotRequest &) = default;
};

/// Reads a request target; nullopt where it is another one or malformed. Never throws.
std::optional<SnapshotRequest> parseSnapshotTarget(const std::string &target);

/// Writes it.
std::string snapshotTarget(const SnapshotRequest &request);

/// Asks other entry hosts for what they know while this one can't read the platform itself.
class PeerSnapshots
{
public:
    /// What the owner tells and takes.
    struct Ports {
        std::function<bool()> wanted; ///< whether the platform does not answer this host
        std::function<std::uint64_t()> asOf; ///< up to which revision it knows everything
        std::function<void(const SteeringSnapshot &snapshot, const Endpoint &from)> take;
    };

    PeerSnapshots(boost::asio::io_context &context, const Endpoint &self, PeerHosts &hosts, Ports ports);

    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> ask(Endpoint host);

    boost::asio::io_context &context_;
    Endpoint self_;
    PeerHosts &hosts_;
    Ports ports_;
    boost::asio::steady_timer timer_;
};

} // namespace medlarway
