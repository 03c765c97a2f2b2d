#pragma once

#include "daemon/daemon_process.h"
#include "fleet/peer_forwarder.h"
#include "standin/upstream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace medlarway
{

inline constexpr int kFleetHosts = 5;

/// Upstreams and services of a fleet.
struct FleetOptions {
    int upstreams = 2;
    std::size_t slots = 0; ///< StandinUpstreamOptions::slots of each upstream
    std::string limits; ///< limits of the HTTP services, in the catalogue's syntax
    std::string extraService; ///< name of a service that every host has from the start, see publish(); empty for none
};

/// Five real daemons in three availability zones in front of stand-in upstreams. Each daemon has its own catalogue file.
/// Hosts are numbered from 1.
class Fleet
{
public:
    explicit Fleet(FleetOptions options = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts a host, or restarts it without any state; kills its process if that still runs.
    void start(int host);

    /// Waits until every running host is ready and its view contains all running hosts.
    bool waitForFullViews();

    /// Waits until the key guard of every running host has recovered, that is, votes on any key.
    bool waitForGuards();

    DaemonProcess &process(int host)
    {
        return *processes_.at(host);
    }

    /// Removes the process of a host; kills it if it still runs.
    void remove(int host)
    {
        processes_.erase(host);
    }

    /// Drops all peer traffic from and to a host, until heal().
    void isolate(int host);
    void heal(int host);

    /// The numbers of the hosts that have a process.
    std::vector<int> running() const;

    /// The /state page of a host; null if the request fails.
    nlohmann::json state(int host) const;

    /// The value of a counter of a host; -1 if the request fails or the counter is missing.
    long counter(int host, const std::string &name) const;

    /// Number of hosts in a host's view; 0 if the request fails.
    std::size_t viewSize(int host) const;

    /// Writes a host's catalogue file. If extraService is not empty, the catalogue has an additional idempotent service of
    /// that name with its own upstreams.
    void publish(int host, const std::string &extraService);

    /// Whether the host's data path has the service.
    bool serves(int host, const std::string &service) const;

    std::string requestAddress(int host) const; ///< of the host's protected HTTP service
    std::string extraAddress(int host) const; ///< of the host's extra service
    std::string streamAddress(int host) const; ///< of the host's stream service
    std::string datagramAddress(int host) const; ///< of the host's datagram service

    /// "METHOD TARGET KEY" of every request that ran on any upstream.
    std::vector<std::string> requestsRun() const;

    /// Number of requests that the upstreams rejected because all slots were busy.
    std::size_t requestsShed() const;

    /// Idempotency keys of requests that ran more than once.
    std::set<std::string> duplicates() const;

private:
    std::string catalogueText(const std::string &extraService) const;
    std::string operatorAddress(int host) const;

    using Upstreams = std::vector<std::unique_ptr<StandinUpstream>>;

    Upstreams makeUpstreams(const std::string &prefix) const;

    FleetOptions options_;
    std::string folder_;
    PeerForwarder forwarder_;
    Upstreams upstreams_;
    Upstreams extraUpstreams_;
    std::map<int, std::unique_ptr<DaemonProcess>> processes_;
};

/// A caller whose datagrams reach different hosts, as through a network fabric that distributes them over the hosts.
class ScatteredCaller
{
public:
    explicit ScatteredCaller(const Fleet &fleet);

    /// Sends a datagram to the host and waits for the response, which may come from any host. Makes up to three attempts.
    /// Returns the name of the upstream that responded, or an empty string if none did.
    std::string exchange(int host);

private:
    const Fleet &fleet_;
    int sent_ = 0;
    boost::asio::io_context context_;
    boost::asio::ip::udp::socket socket_;
};

} // namespace medlarway
