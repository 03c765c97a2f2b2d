#include "soak/platform.h"

#include "daemon/daemon_process.h"

#include <boost/endian/conversion.hpp>
#include <fmt/format.h>
#include <utility>

namespace medlarway::soak
{

namespace
{

// Loopback addresses by what they are for; each process has 250.
constexpr int kUpstreamAddresses = 100;
constexpr int kPathAddress = 99;

constexpr std::uint64_t kFirstNumber = 0x1000;
constexpr std::uint64_t kFirstBorn = 1000;
constexpr std::uint64_t kLossOneIn = 5;

// Where the fields stand that are looked at, behind the recipient's number.
constexpr std::size_t kRecipientBytes = 8;
constexpr std::size_t kDestinationAt = kRecipientBytes + 10;
constexpr std::size_t kFlagsAt = kRecipientBytes + 30;
constexpr std::uint8_t kSyn = 2;

Endpoint addressOf(int number)
{
    return {parseAddress(loopbackAddress(number)).value(), 0};
}

} // namespace

std::string zoneOf(int number, int zones)
{
    return fmt::format("z{}", number % zones);
}

SoakPlatform::SoakPlatform(const SoakOptions &options, Judge &judge)
    : options_(options)
    , judge_(judge)
    , store_(context_, addressOf(kPathAddress))
    , random_(options.seed)
    , thread_([this] { context_.run(); })
{
    run([this] {
        for (int host = 0; host < options_.hosts; ++host) {
            paths_.push_back(std::make_unique<StoreLink>(context_, addressOf(kPathAddress), store_.address()));
        }
    });
    routes_ = {{kRouteOne, "one"}, {kRouteTwo, "two"}};
    putConfig();
    for (int number = 0; number < options_.upstreamsOfOne; ++number) {
        startUpstream("one");
    }
    for (int number = 0; number < options_.upstreamsOfTwo; ++number) {
        startUpstream("two");
    }
}

SoakPlatform::~SoakPlatform()
{
    context_.stop();
    thread_.join();
}

// Runs something on the platform's thread and waits for its end.
template<class Change>
void SoakPlatform::run(Change change)
{
    std::promise<void> done;
    boost::asio::post(context_, [&] {
        change();
        done.set_value();
    });
    done.get_future().wait();
}

Endpoint SoakPlatform::storeOf(int host)
{
    Endpoint address;
    run([&] { address = pathOf(host).address(); });
    return address;
}

void SoakPlatform::setStoreFault(StoreFault fault)
{
    run([&] { store_.setFault(fault); });
}

void SoakPlatform::setStoreDelay(std::chrono::milliseconds delay)
{
    run([&] { store_.setDelay(delay); });
}

void SoakPlatform::dropHistory()
{
    run([&] { store_.dropHistory(); });
}

void SoakPlatform::setPath(int host, StorePath path)
{
    run([&] { pathOf(host).set(path); });
}

void SoakPlatform::resetPath(int host)
{
    run([&] { pathOf(host).reset(); });
}

void SoakPlatform::freezePath(int host)
{
    run([&] { pathOf(host).freeze(); });
}

void SoakPlatform::cutZone(int zone, bool cut)
{
    const std::lock_guard lock(mutex_);
    if (cut) {
        cutZones_.insert(zone % options_.zones);
    } else {
        cutZones_.erase(zone % options_.zones);
    }
}

void SoakPlatform::setLoss(bool loss)
{
    const std::lock_guard lock(mutex_);
    loss_ = loss;
}

void SoakPlatform::changeConfig()
{
    const auto version = config().first;
    {
        const std::lock_guard lock(mutex_);
        if (routes_.size() > 2) {
            routes_.pop_back();
        } else {
            const Endpoint added{kRouteTwo.address + 1 + static_cast<std::uint32_t>(version), kRouteTwo.port};
            routes_.push_back({added, version % 2 == 0 ? "one" : "two"});
        }
    }
    putConfig();
}

void SoakPlatform::putConfig()
{
    auto version = config().first;
    std::string text;
    {
        const std::lock_guard lock(mutex_);
        version += 1 + random_.below(3);
        text = standinConfig(version, routes_);
        for (const auto &route : routes_) {
            everAllowed_[route.address.address].insert(route.service);
        }
    }
    run([&] { store_.put("op/config", text); });
    const std::lock_guard lock(configMutex_);
    version_ = version;
    versionAt_ = monotonicNow();
}

std::string SoakPlatform::startUpstream(const std::string &service)
{
    const std::lock_guard lock(mutex_);
    const auto address = addressOf(kUpstreamAddresses + nextAddress_++ % 100);
    std::shared_ptr<UpstreamLink> link;
    run([&] {
        // The watcher needs the link itself: packets are judged by whoever has the address.
        auto known = std::make_shared<std::weak_ptr<UpstreamLink>>();
        link = std::make_shared<UpstreamLink>(
            context_, address, [this, known](std::uint32_t sender, auto datagram) { return watch(known->lock(), sender, datagram); });
        *known = link;
    });
    return add(service, zoneOf(static_cast<int>(lastId_ + 1), options_.zones), link);
}

// With the mutex held.
std::string SoakPlatform::add(const std::string &service, const std::string &zone, const std::shared_ptr<UpstreamLink> &link)
{
    Upstream upstream;
    upstream.service = service;
    upstream.zone = zone;
    upstream.number = kFirstNumber + ++lastId_;
    upstream.born = kFirstBorn + lastId_;
    upstream.link = link;
    auto id = fmt::format("i-{:x}", upstream.number);
    begin(id, upstream);
    upstreams_[id] = std::move(upstream);
    return id;
}

void SoakPlatform::begin(const std::string &id, Upstream &upstream)
{
    upstream.process = std::make_unique<StandinPacketUpstream>(id + "/" + upstream.service, upstream.number,
                                                               Endpoint{upstream.link->address().address, 0}, kPacketPort);
    run([&] { upstream.link->setUpstream(upstream.process->address()); });
    publish(id, upstream);
}

void SoakPlatform::publish(const std::string &id, const Upstream &upstream)
{
    const auto text = standinUpstreamEntry(upstream.service, upstream.link->address(), upstream.zone,
                                           upstream.draining ? "draining" : "ready", upstream.born);
    run([&] { store_.put("servers/" + id, text); });
}

void SoakPlatform::drain(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    auto &upstream = upstreams_.at(id);
    upstream.draining = true;
    publish(id, upstream);
    upstream.drainKnownAt = monotonicNow();
}

void SoakPlatform::endUpstream(const std::string &id)
{
    judge_.disturb(upstreamSubject(id));
    const std::lock_guard lock(mutex_);
    auto &upstream = upstreams_.at(id);
    run([&] { upstream.link->setUpstream(std::nullopt); });
    upstream.process.reset();
}

void SoakPlatform::delist(const std::string &id)
{
    run([&] { store_.remove("servers/" + id); });
}

std::string SoakPlatform::reuseAddress(const std::string &ended)
{
    const std::lock_guard lock(mutex_);
    const auto &before = upstreams_.at(ended);
    return add(before.service == "one" ? "two" : "one", before.zone, before.link);
}

void SoakPlatform::restartUpstream(const std::string &id)
{
    endUpstream(id);
    {
        const std::lock_guard lock(mutex_);
        auto &upstream = upstreams_.at(id);
        upstream.born += 100'000;
        begin(id, upstream);
    }
    judge_.calm(upstreamSubject(id));
}

std::string SoakPlatform::pickUpstream(const std::string &service, std::uint64_t draw) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> ids;
    for (const auto &[id, upstream] : upstreams_) {
        if (upstream.service == service && upstream.process && !upstream.draining) {
            ids.push_back(id);
        }
    }
    return ids.size() < 2 ? "" : ids[draw % ids.size()];
}

bool SoakPlatform::serves(const std::string &id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(id);
    return found != upstreams_.end() && found->second.process;
}

bool SoakPlatform::drains(const std::string &id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(id);
    return found != upstreams_.end() && found->second.draining;
}

std::vector<StandinRoute> SoakPlatform::routes() const
{
    const std::lock_guard lock(mutex_);
    return routes_;
}

std::pair<std::uint64_t, Time> SoakPlatform::config() const
{
    const std::lock_guard lock(configMutex_);
    return {version_, versionAt_};
}

// On the platform's thread, which must not wait for a thread that waits for it: what can't be had at once is passed on unseen.
bool SoakPlatform::watch(const std::shared_ptr<UpstreamLink> &link, std::uint32_t sender, std::span<const std::uint8_t> datagram)
{
    const std::unique_lock lock(mutex_, std::try_to_lock);
    if (!lock || !link || datagram.size() <= kFlagsAt) {
        return true;
    }
    const int host = static_cast<int>(sender - addressOf(1).address);
    if (loss_ && random_.below(kLossOneIn) == 0) {
        return false;
    }
    const auto number = boost::endian::load_big_u64(datagram.data());
    for (const auto &[id, upstream] : upstreams_) {
        if (upstream.link == link && upstream.process && upstream.number == number) {
            const auto zone = zoneOf(host, options_.zones);
            if (zone != upstream.zone && cutZones_.contains(host % options_.zones)) {
                return false;
            }
            judgePacket(id, upstream, host, datagram);
        }
    }
    return true;
}

void SoakPlatform::judgePacket(const std::string &id, const Upstream &upstream, int host, std::span<const std::uint8_t> datagram)
{
    const auto destination = boost::endian::load_big_u32(datagram.data() + kDestinationAt);
    const auto allowed = everAllowed_.find(destination);
    if (allowed == everAllowed_.end() || !allowed->second.contains(upstream.service)) {
        judge_.blame(fmt::format("wrong service: {} of {} got a packet for {} from host {}", id, upstream.service,
                                 addressToString(destination), host));
    }
    const bool opens = (datagram[kFlagsAt] & kSyn) != 0;
    if (opens && upstream.draining && monotonicNow() - upstream.drainKnownAt > kDrainBound && judge_.isCalm(hostSubject(host))
        && judge_.isCalm(kStoreSubject)) {
        judge_.blame(fmt::format("drain: {} got an opening from host {} after {:.2f} s", id, host,
                                 std::chrono::duration<double>(monotonicNow() - upstream.drainKnownAt).count()));
    }
}

} // namespace medlarway::soak
