#pragma once

#include "base/random.h"
#include "daemon/entry_process.h"
#include "soak/faults.h"
#include "soak/judge.h"
#include "soak/links.h"
#include "standin/platform/packets.h"
#include "standin/platform/store.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace medlarway::soak
{

inline constexpr Endpoint kRouteOne{0xc6120001, 443};
inline constexpr Endpoint kRouteTwo{0xc6120002, 443};

/// How long the platform's bounds allow, as the users' settings state them.
inline constexpr Duration kDrainBound = std::chrono::seconds{3};
inline constexpr Duration kConfigBound = std::chrono::seconds{3};

std::string zoneOf(int number, int zones);

/// What surrounds the hosts: the store and each host's path to it, the upstreams and the paths to them, the configuration. It also
/// watches what reaches the upstreams. Calls may come from any thread unless said otherwise.
class SoakPlatform
{
public:
    SoakPlatform(const SoakOptions &options, Judge &judge);
    ~SoakPlatform();
    SoakPlatform(const SoakPlatform &) = delete;
    SoakPlatform &operator=(const SoakPlatform &) = delete;

    Endpoint storeOf(int host);

    void setStoreFault(StoreFault fault);
    void setStoreDelay(std::chrono::milliseconds delay);
    void dropHistory();
    void setPath(int host, StorePath path);
    void resetPath(int host);
    void freezePath(int host);
    void cutZone(int zone, bool cut);
    void setLoss(bool loss);

    /// Adds a route or removes the one that was added before.
    void changeConfig();

    /// Starts an upstream; gives its id.
    std::string startUpstream(const std::string &service);

    /// It says that it drains; it is listed and serves until it ends.
    void drain(const std::string &id);

    /// It ends and is no longer listed after the lag; it says nothing where it crashes.
    void endUpstream(const std::string &id);
    void delist(const std::string &id);

    /// An upstream of the other service at the address of one that has ended.
    std::string reuseAddress(const std::string &ended);

    /// It ends and starts again under its id.
    void restartUpstream(const std::string &id);

    /// One of the service's upstreams that serve and do not drain; empty where only one is left.
    std::string pickUpstream(const std::string &service, std::uint64_t draw) const;

    bool serves(const std::string &id) const;
    bool drains(const std::string &id) const;

    /// The routes now, and the version with the time since when it is in the store.
    std::vector<StandinRoute> routes() const;
    std::pair<std::uint64_t, Time> config() const;

    /// The thread's context, for what else has to watch.
    boost::asio::io_context &context()
    {
        return context_;
    }

private:
    struct Upstream {
        std::string service;
        std::string zone;
        std::uint64_t number = 0;
        std::uint64_t born = 0;
        std::shared_ptr<UpstreamLink> link;
        std::unique_ptr<StandinPacketUpstream> process; ///< null once it has ended
        bool draining = false;
        Time drainKnownAt; ///< when the store had taken the word
    };

    template<class Change>
    void run(Change change);
    StoreLink &pathOf(int host)
    {
        return *paths_.at(static_cast<std::size_t>(host));
    }

    std::string add(const std::string &service, const std::string &zone, const std::shared_ptr<UpstreamLink> &link);
    void begin(const std::string &id, Upstream &upstream);
    void publish(const std::string &id, const Upstream &upstream);
    bool watch(const std::shared_ptr<UpstreamLink> &link, std::uint32_t sender, std::span<const std::uint8_t> datagram);
    void judgePacket(const std::string &id, const Upstream &upstream, int host, std::span<const std::uint8_t> datagram);
    void putConfig();

    SoakOptions options_;
    Judge &judge_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{context_.get_executor()};
    StandinStore store_;
    std::vector<std::unique_ptr<StoreLink>> paths_;
    mutable std::mutex mutex_; ///< guards what follows
    std::map<std::string, Upstream> upstreams_;
    std::map<std::uint32_t, std::set<std::string>> everAllowed_; ///< services that a route's address ever had
    std::vector<StandinRoute> routes_;
    std::set<int> cutZones_;
    bool loss_ = false;
    Random random_;
    std::uint64_t lastId_ = 0;
    int nextAddress_ = 0;
    mutable std::mutex configMutex_; ///< guards what follows; never held while the platform's thread is waited for, which asks for it
    std::uint64_t version_ = 0;
    Time versionAt_;
    std::thread thread_;
};

} // namespace medlarway::soak
