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

/// What stands behind a fleet.
struct FleetOptions {
    int upstreams = 2;
    std::size_t slots = 0; ///< of each upstream, as StandinUpstreamOptions has them
    std::string limits; ///< of the HTTP services, as the catalogue writes them
    std::string extraService; ///< is there from the start, as publish() would add it
};

/// Five real daemons in three availability zones, each with a catalogue file of its own, before
/// stand-in upstreams. Hosts count from 1.
class Fleet
{
public:
    explicit Fleet(FleetOptions options = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts a host, or starts it again with an empty memory.
    void start(int host);

    /// Waits until every host that runs is ready and has all of them in its view.
    bool waitTogether();

    /// Waits until every host that runs would vote on any key.
    bool waitGuardsReady();

    DaemonProcess &process(int host)
    {
        return *processes_.at(host);
    }

    /// Forgets the process of a host; kills it where it still runs.
    void remove(int host)
    {
        processes_.erase(host);
    }

    /// Cuts a host's control port off from the others, both ways, or joins it again.
    void isolate(int host);
    void heal(int host);

    /// The hosts that have a process.
    std::vector<int> running() const;

    /// The state that a host tells; null where it does not answer.
    nlohmann::json state(int host) const;

    /// The value of one of a host's counters; -1 where it does not answer.
    long counter(int host, const std::string &name) const;

    /// How many hosts are in a host's view.
    std::size_t viewSize(int host) const;

    /// Gives one host a catalogue in which the named service, idempotent and with upstreams of its own, exists beside the others.
    void publish(int host, const std::string &extraService);

    /// Whether the service is in force on the host.
    bool serves(int host, const std::string &service) const;

    std::string requests(int host) const; ///< where a host's protected HTTP service is
    std::string extra(int host) const; ///< where a host's extra service is
    std::string feed(int host) const; ///< where a host's stream service is
    std::string datagrams(int host) const; ///< where a host's datagram service is

    /// "METHOD TARGET KEY" of every request that ran on an upstream.
    std::vector<std::string> requestsRun() const;

    /// How often a request found an upstream full.
    std::size_t requestsShed() const;

    /// Keys that ran more than once.
    std::set<std::string> doubles() const;

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

/// A caller whose datagrams a fabric scatters over the hosts.
class ScatteredCaller
{
public:
    explicit ScatteredCaller(const Fleet &fleet);

    /// Sends one datagram to the host and waits for its answer, from any host. Sends again to that host up to
    /// three times where none comes. Gives the name of the upstream that answered, empty where none did.
    std::string exchange(int host);

private:
    const Fleet &fleet_;
    int sent_ = 0;
    boost::asio::io_context context_;
    boost::asio::ip::udp::socket socket_;
};

} // namespace medlarway
