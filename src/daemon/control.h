#pragma once

#include "base/host.h"
#include "catalogue/catalogue_store.h"
#include "cluster/host_core.h"
#include "daemon/guard_replies.h"
#include "daemon/peer_link.h"
#include "daemon/relay_worker.h"
#include "daemon/worker_thread.h"
#include "platform/source.h"
#include "proxy/engine.h"
#include "settings/settings.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// The id of the host with these settings: its peer endpoint as the peers reach it, or its address if it runs alone.
HostId hostIdOf(const Settings &settings);

/// The control worker thread: drives the host's decision cores, sends and receives their messages, feeds them the
/// platform's values, and applies the catalogue and the view to the data path.
class ControlWorker
{
public:
    using SetWatchedKeys = std::function<void(std::vector<WatchedKey>)>;

    /// Binds the peer port. The engine must exist from start() to stop(). Throws Error(AddressTaken) if the port is in
    /// use, Error(BadSettings) if a peer key can't be read.
    ControlWorker(const Settings &settings, ProxyEngine &engine);

    /// The cluster functions that the data path calls. They may be called until this object is destroyed.
    ProxyPorts ports();

    /// Starts the thread. The function is called on the control thread whenever the keys to watch change.
    void start(SetWatchedKeys setWatchedKeys);

    /// Queues a platform update. Thread-safe. Returns false if the ring is full.
    bool offer(const PlatformUpdate &update);

    /// Applies the settings that may change in a running process, and reloads the peer keys. Callable from any thread.
    /// Throws Error(BadSettings) if a key can't be read.
    void applySettings(const Settings &settings);

    /// Announces to the peers that this host drains for a planned stop. Thread-safe.
    void beginLeave();

    /// Announces to the peers that this host stops now. Thread-safe; blocks for up to kCallTimeout.
    void depart();

    /// The catalogue in force; null before the first one. Thread-safe.
    std::shared_ptr<const Catalogue> catalogueInForce() const;

    /// Whether the control thread responds within kCallTimeout.
    bool alive();

    /// The state as one JSON object. Thread-safe; blocks for up to kCallTimeout.
    std::string stateAsJson();

    /// Stops the thread.
    void stop();

private:
    using Step = std::function<void(Time now, HostActions &actions)>;

    // In control.cpp: inputs of the cores.
    void openPeerSockets();
    void step(const Step &work);
    void armTimer();
    void applyUpdate(const PlatformIndex &index);
    void applyUpdate(const CatalogueShard &shard);
    void applyUpdate(const HostList &list);
    void applyHostLists();
    void claimKey(const GuardKey &key, Duration window, Time deadline, GuardReply reply);
    void finishRun(const GuardKey &key, RunResult result);

    // In control_actions.cpp: outputs of the cores.
    void perform(HostActions &actions, Time now);
    void logMembershipEvent(const MembershipEvent &event) const;
    void serveWhenReady(Time now);
    void putInForce(const Catalogue &catalogue);
    void putShardInForce(const CatalogueShard &shard);
    void updateWatchedKeys();

    // In control_state.cpp: the state as JSON.
    std::string dump() const;

    Settings settings_;
    HostId self_;
    std::uint64_t boot_; ///< boot number of this process, used as incarnation and in envelopes
    ProxyEngine &engine_;
    SetWatchedKeys setWatchedKeys_;
    HostCore core_;
    GuardReplies replies_;
    CatalogueStore store_;
    PlatformIndex index_;
    std::map<std::string, HostList> hostLists_;
    std::vector<std::string> shardsToRead_;
    std::shared_ptr<const Catalogue> pendingCatalogue_; ///< held until the host may serve; null if none is pending
    std::atomic<std::shared_ptr<const Catalogue>> inForce_;
    bool serving_ = false;
    bool leaving_ = false;
    WorkerThread thread_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<PeerLink> link_; ///< null if the host runs alone
    std::unique_ptr<RelayWorker> relay_; ///< null if the host runs alone
};

} // namespace medlarway
