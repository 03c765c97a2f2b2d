#pragma once

#include "base/host.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <thread>
#include <vector>

namespace medlarway
{

/// A proxy between the peer ports of the hosts that can isolate a host from the others. It listens on each host's
/// advertised endpoint and forwards connections and datagrams to the endpoint that the host listens on. It reads the
/// sender from the envelopes; all messages on one connection have the same sender.
class PeerForwarder
{
public:
    PeerForwarder();
    ~PeerForwarder();
    PeerForwarder(const PeerForwarder &) = delete;
    PeerForwarder &operator=(const PeerForwarder &) = delete;

    /// Starts forwarding connections and datagrams from one endpoint to another.
    void forward(const Endpoint &advertised, const Endpoint &listen);

    /// Drops datagrams and closes connections from and to the host, until heal().
    void isolate(HostId host);
    void heal(HostId host);

private:
    struct Link;
    struct Entry;

    void accept(Entry &entry);
    void relay(const std::shared_ptr<Link> &link, bool toHost);
    void relayDatagrams(Entry &entry);
    bool isIsolated(HostId sender, HostId receiver) const;

    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::set<HostId> isolated_;
    std::thread thread_;
};

} // namespace medlarway
