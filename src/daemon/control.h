#pragma once

#include "base/host.h"
#include "catalogue/catalogue_store.h"
#include "daemon/duty_thread.h"
#include "platform/source.h"
#include "proxy/engine.h"
#include "settings/settings.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// The id of the host that the settings describe.
HostId hostIdOf(const Settings &settings);

/// The control duty: takes what the platform says and puts it in force on the data path.
class ControlDuty
{
public:
    using WatchKeys = std::function<void(std::vector<WatchedKey>)>;

    /// The engine must outlive it.
    ControlDuty(const Settings &settings, ProxyEngine &engine);

    /// Begins to run. The function is called on the control thread whenever the keys to watch change.
    void start(WatchKeys watchKeys);

    /// Takes an update of the platform. Any thread may call it. False where the ring is full.
    bool offer(const PlatformUpdate &update);

    /// Takes over settings that may change in a running process. Any thread may call it.
    void applySettings(const Settings &settings);

    /// Begins the planned stop. Any thread may call it.
    void beginLeave();

    /// The catalogue in force; null before the first one. Any thread may ask.
    std::shared_ptr<const Catalogue> catalogueInForce() const;

    /// Whether the duty answers. Waits up to a second.
    bool alive();

    /// The state as one JSON object. Any thread may ask; waits up to a second.
    std::string stateAsJson();

    /// Ends the thread.
    void stop();

private:
    void take(const PlatformIndex &index);
    void take(CatalogueShard shard);
    void take(const HostList &list);
    void watchAll(const PlatformIndex &index);
    void putInForce();
    std::string dump() const;

    Settings settings_;
    ProxyEngine &engine_;
    WatchKeys watchKeys_;
    CatalogueStore store_;
    PlatformIndex index_;
    std::map<std::string, HostList> hostLists_;
    std::atomic<std::shared_ptr<const Catalogue>> inForce_;
    bool leaving_ = false;
    DutyThread thread_;
};

} // namespace medlarway
