#pragma once

#include "entry/early_packets.h"
#include "entry/entry_pages.h"
#include "entry/held_syns.h"
#include "entry/packet_socket.h"
#include "entry/pause_detector.h"
#include "entry/peer_feed.h"
#include "entry/peer_hosts.h"
#include "entry/peer_snapshots.h"
#include "entry/platform_data.h"
#include "entry/syn_copies.h"
#include "entry/upstream_probe.h"
#include "pages/page_server.h"
#include "platform/packet_layout.h"
#include "platform/store_feed.h"
#include "settings/entry_settings.h"
#include "startup/settings_reader.h"
#include "startup/start.h"
#include "steering/flow_steering.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <vector>

namespace medlarway
{

/// An entry host: receives the clients' packets from the routers and forwards them to upstreams. Single-threaded, as an entry host may
/// have only a twentieth of a core.
class EntryHost
{
public:
    /// Binds the sockets. Throws Error.
    EntryHost(boost::asio::io_context &context, std::string settingsFile, const EntrySettings &settings);

    /// Runs until a SIGTERM or SIGINT and the shutdown that follows it.
    void run(ProcessSignals &signals);

private:
    void onBatch(std::span<std::span<std::uint8_t>> datagrams, std::vector<OutgoingPacket> &outgoing);
    void processPackets(std::span<std::span<std::uint8_t>> datagrams, std::span<const EarlyPackets::Arrival> arrivals,
                        std::vector<OutgoingPacket> &outgoing);
    void onDatagram(std::span<std::uint8_t> datagram, const EarlyPackets::Arrival &arrival, std::vector<OutgoingPacket> &outgoing,
                    Time now);
    void sendSynsAgain(std::vector<OutgoingPacket> &outgoing, Time now);
    boost::asio::awaitable<void> runTicks();
    void onTick();
    void onSignal(int signal);
    void reloadSettings();
    void applySettings(const EntrySettings &wanted);
    void startStop(int signal);
    bool canExit(Time now) const;
    bool mayOpenFlows(Time now) const;
    EarlyPackets::Callbacks earlyPacketCallbacks();
    bool ready() const;
    void checkForPause();
    void updateFreshness();
    void applyFromHost(const SteeringDelta &delta, const Endpoint &from);
    void updateZoneView(Time now);
    void handleLivenessEvents();
    void probe(UpstreamIndex index);
    void resetFlowsOf(UpstreamIndex index);
    StoreFeedSink feedSink();
    PeerFeedCallbacks peerFeedCallbacks();
    void onReadReason(ReadReason reason);
    void updatePace();
    ReadUrgency urgency() const;
    PeerSnapshotPoller::Callbacks snapshotCallbacks();
    PageResponse serveSnapshot(const SnapshotRequest &request);
    EntryStatus status() const;
    PageResponse serveReady(const std::string &target) const;
    PageResponse serveControl(const std::string &target);

    boost::asio::io_context &context_;
    std::string settingsFile_;
    EntrySettings settings_;
    SettingsReader settingsReader_;
    ReplicationTiming timing_;
    boost::asio::steady_timer ticker_;
    FlowSteering steering_;
    PlatformData data_;
    PacketSocket packets_;
    SynCopies synCopies_;
    EarlyPackets earlyPackets_;
    HeldSyns heldSyns_;
    StoreFeed feed_;
    UpstreamProber prober_;
    PeerHosts peerHosts_;
    PeerSnapshotPoller snapshotPoller_;
    PeerFeed peerFeed_;
    PageServer readyServer_;
    PageServer controlServer_;
    std::vector<PacketHeader> resets_; ///< resets to send for the current batch
    std::uint64_t routeUnknownCount_ = 0; ///< packets without a known route at the last tick
    bool routeUnknown_ = false; ///< such packets came since
    bool urgent_ = false; ///< callers of this host or of a follower wait for a change of the platform
    PauseDetector pauseDetector_;
    bool stalePackets_ = false; ///< the socket may still hold packets that arrived during the pause
    SynHold synHold_{timing_.maxAge};
    bool stopping_ = false;
    Time stopRequestedAt_;
    Time lastPacketAt_;
};

/// Plans an entry host from the text of its settings file. Throws Error(BadSettings).
HostPlan planEntryHost(boost::asio::io_context &context, ProcessSignals &signals, const std::string &settingsFile, const std::string &text);

} // namespace medlarway
