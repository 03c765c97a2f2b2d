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

/// Stands between the hosts' peers' ports and can cut one host off from the others: listens where each host is known
/// to its peers and passes connections and datagrams on to where it listens. One connection carries one sender's
/// messages; envelopes name their sender.
class PeerForwarder
{
public:
    PeerForwarder();
    ~PeerForwarder();
    PeerForwarder(const PeerForwarder &) = delete;
    PeerForwarder &operator=(const PeerForwarder &) = delete;

    /// Passes connections and datagrams from one address on to another.
    void forward(const Endpoint &advertised, const Endpoint &listen);

    /// Drops what the host sends and what is sent to it, until heal.
    void isolate(HostId host);
    void heal(HostId host);

private:
    struct Link;
    struct Entry;

    void accept(Entry &entry);
    void pass(const std::shared_ptr<Link> &link, bool towardsHost);
    void passDatagrams(Entry &entry);
    bool isCut(HostId sender, HostId receiver) const;

    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::set<HostId> isolated_;
    std::thread thread_;
};

} // namespace medlarway
