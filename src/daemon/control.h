#pragma once

#include "base/host.h"
#include "catalogue/catalogue_store.h"
#include "cluster/host_core.h"
#include "daemon/duty_thread.h"
#include "daemon/guard_replies.h"
#include "daemon/peer_link.h"
#include "daemon/relay_duty.h"
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

/// The id of the host that the settings describe.
HostId hostIdOf(const Settings &settings);

/// The control duty: drives the host's decision cores, carries their messages, takes what the platform
/// says, and puts catalogue and view in force on the data path.
class ControlDuty
{
public:
    using WatchKeys = std::function<void(std::vector<WatchedKey>)>;

    /// Opens the peers' port. The engine must be there from start to stop. Throws Error(AddressTaken) or
    /// Error(BadSettings) where a key can't be read.
    ControlDuty(const Settings &settings, ProxyEngine &engine);

    /// What the data path asks of the cluster. The functions may be called until the duty is destroyed.
    ProxyPorts ports();

    /// Begins to run. The function is called on the control thread whenever the keys to watch change.
    void start(WatchKeys watchKeys);

    /// Takes an update of the platform. Any thread may call it. False where the ring is full.
    bool offer(const PlatformUpdate &update);

    /// Takes over settings that may change in a running process, and reads the peers' keys again. Any
    /// thread may call it. Throws Error(BadSettings) where a key can't be read.
    void applySettings(const Settings &settings);

    /// Begins the planned stop. Any thread may call it.
    void beginLeave();

    /// Tells the peers that this host ends now. Any thread may call it; waits up to a second.
    void depart();

    /// The catalogue in force; null before the first one. Any thread may ask.
    std::shared_ptr<const Catalogue> catalogueInForce() const;

    /// Whether the duty answers. Waits up to a second.
    bool alive();

    /// The state as one JSON object. Any thread may ask; waits up to a second.
    std::string stateAsJson();

    /// Ends the thread.
    void stop();

private:
    using Step = std::function<void(Time now, HostActions &actions)>;

    // In control.cpp: what comes in.
    void openPeers();
    void step(const Step &work);
    void armTimer();
    void take(const PlatformIndex &index);
    void take(const CatalogueShard &shard);
    void take(const HostList &list);
    void applyHostLists();
    void askGuard(const GuardKey &key, Duration window, Time deadline, GuardReply reply);
    void finishRun(const GuardKey &key, RunResult result);

    // In control_actions.cpp: what goes out.
    void perform(HostActions &actions, Time now);
    void logNews(const MembershipEvent &news) const;
    void serveWhenReady(Time now);
    void putInForce(const Catalogue &catalogue);
    void putShardInForce(const CatalogueShard &shard);
    void watchKeys();

    // In control_state.cpp.
    std::string dump() const;

    Settings settings_;
    HostId self_;
    std::uint64_t boot_; ///< of this start, for incarnation and envelopes
    ProxyEngine &engine_;
    WatchKeys watchKeys_;
    HostCore core_;
    GuardReplies replies_;
    CatalogueStore store_;
    PlatformIndex index_;
    std::map<std::string, HostList> hostLists_;
    std::vector<std::string> shardsToRead_;
    std::shared_ptr<const Catalogue> offered_; ///< the cores' latest, not yet served where the host isn't ready
    std::atomic<std::shared_ptr<const Catalogue>> inForce_;
    bool serving_ = false;
    bool leaving_ = false;
    DutyThread thread_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<PeerLink> link_; ///< null where the host runs alone
    std::unique_ptr<RelayDuty> relay_; ///< null where the host runs alone
};

} // namespace medlarway
