#pragma once

#include "entry/entry_pages.h"
#include "entry/packet_socket.h"
#include "entry/pause_watch.h"
#include "entry/peer_hosts.h"
#include "entry/peer_snapshots.h"
#include "entry/upstream_probe.h"
#include "pages/page_server.h"
#include "platform/packet_layout.h"
#include "platform/store_feed.h"
#include "settings/entry_settings.h"
#include "steering/flow_steering.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <vector>

namespace medlarway
{

/// One entry host: takes the clients' packets from the routers and forwards them to upstreams. One thread does
/// everything, as an entry host may have a twentieth of a core.
class EntryHost
{
public:
    /// Takes the addresses. Throws Error.
    EntryHost(std::string settingsFile, const EntrySettings &settings);

    /// Runs until SIGTERM or SIGINT and the stop that follows.
    void run();

private:
    void onBatch(std::span<std::span<std::uint8_t>> datagrams, std::vector<OutgoingPacket> &outgoing);
    void onDatagram(std::span<std::uint8_t> datagram, std::vector<OutgoingPacket> &outgoing, Time now);
    void onTick();
    void awaitSignal();
    void onSignal(int signal);
    void reloadSettings();
    void beginStop(int signal);
    bool mayEnd(Time now) const;
    bool ready() const;
    void takeConfig(const RouteConfig &config);
    void takeGone(const std::string &id, std::uint64_t revision);
    void notePause();
    void updateCertainty();
    void takeNews();
    void probe(UpstreamIndex index);
    void giveUp(UpstreamIndex index);
    StoreFeedSink feedSink();
    PeerSnapshots::Ports snapshotPorts();
    void takePeerSnapshot(const SteeringSnapshot &snapshot, const Endpoint &from);
    std::uint64_t knownRevision() const;
    OperatorAnswer answerSnapshot(const SnapshotRequest &request);
    EntryStatus status() const;
    OperatorAnswer answerReady(const std::string &target) const;
    OperatorAnswer answerControl(const std::string &target);

    std::string settingsFile_;
    EntrySettings settings_;
    boost::asio::io_context context_{1};
    boost::asio::signal_set signals_;
    boost::asio::steady_timer ticker_;
    FlowSteering steering_;
    PacketSocket packets_;
    StoreFeed feed_;
    UpstreamProber prober_;
    PeerHosts peerHosts_;
    PeerSnapshots peerSnapshots_;
    PageServer readyServer_;
    PageServer controlServer_;
    std::vector<PacketHeader> resets_; ///< of the batch that is being handled
    bool upstreamsRead_ = false; ///< from the platform or a peer
    std::uint64_t snapshotRevision_ = 0; ///< of the newest snapshot that a peer gave
    PauseWatch pauses_;
    Time wokeAt_; ///< when the process last ran again after a pause
    bool oldPackets_ = false; ///< what waits in the socket came during the pause
    bool stopping_ = false;
    Time stopAsked_;
    Time lastPacket_;
};

/// Runs an entry host with a settings file and gives the exit code. Never throws.
int runEntryHost(const std::string &settingsFile);

} // namespace medlarway
