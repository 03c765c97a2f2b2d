#include "settings/settings_builder.h"

#include "base/errors.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

SettingsBuilder &SettingsBuilder::host(std::uint32_t address, AvailabilityZone zone, Position position)
{
    settings_.address = address;
    settings_.zone = std::move(zone);
    hostPosition_ = position;
    hostSet_ = true;
    return *this;
}

SettingsBuilder &SettingsBuilder::dataThreads(std::uint32_t count)
{
    settings_.dataThreads = count;
    return *this;
}

SettingsBuilder &SettingsBuilder::logLevel(LogLevel level)
{
    settings_.logLevel = level;
    return *this;
}

SettingsBuilder &SettingsBuilder::operatorListen(const Endpoint &endpoint, Position position)
{
    settings_.operatorListen = endpoint;
    operatorPosition_ = position;
    return *this;
}

SettingsBuilder &SettingsBuilder::peers(PeerSettings peers, Position position)
{
    settings_.peers = std::move(peers);
    peersPosition_ = position;
    return *this;
}

SettingsBuilder &SettingsBuilder::markPeersInvalid()
{
    peersInvalid_ = true;
    return *this;
}

SettingsBuilder &SettingsBuilder::platform(PlatformSettings platform, Position position)
{
    settings_.platform = std::move(platform);
    platformPosition_ = position;
    platformSet_ = true;
    return *this;
}

SettingsBuilder &SettingsBuilder::listedHost(ListedHost host, Position position)
{
    settings_.hosts.push_back(std::move(host));
    listedHostPositions_.push_back(position);
    return *this;
}

SettingsBuilder &SettingsBuilder::drainTimeouts(const DrainTimeouts &timeouts)
{
    settings_.drainTimeouts = timeouts;
    return *this;
}

SettingsBuilder &SettingsBuilder::guard(const GuardOptions &guard)
{
    settings_.guard = guard;
    return *this;
}

SettingsBuilder &SettingsBuilder::limits(const HostLimits &limits)
{
    settings_.limits = limits;
    return *this;
}

Faults SettingsBuilder::faults() const
{
    Faults faults;
    checkHost(faults);
    checkPlatform(faults);
    checkPeers(faults);
    checkHosts(faults);
    return faults;
}

// The host needs its real address, since its peers identify it by the address.
void SettingsBuilder::checkHost(Faults &faults) const
{
    if (!hostSet_) {
        return;
    }
    if (settings_.address == 0) {
        faults.push_back({hostPosition_, "host: 'address' must be the host's own address, not 0.0.0.0"});
    }
    if (settings_.zone.name.empty()) {
        faults.push_back({hostPosition_, "host: 'zone' must not be empty"});
    }
}

// There must be exactly one source of the catalogue, as two sources could contradict each other.
void SettingsBuilder::checkPlatform(Faults &faults) const
{
    const auto &platform = settings_.platform;
    if (platformSet_ && platform.catalogueFile.empty() == !platform.address.has_value()) {
        faults.push_back({platformPosition_, "platform: give either 'catalogue-file' or 'address'"});
    }
}

void SettingsBuilder::checkPeers(Faults &faults) const
{
    const auto &peers = settings_.peers;
    if (!peers) {
        return;
    }
    if (hostSet_ && peers->listen.address != settings_.address) {
        faults.push_back({peersPosition_, "peers: 'listen' must be at the host's own address"});
    }
    if (peers->listen == settings_.operatorListen) {
        faults.push_back({operatorPosition_, "operator: 'listen' is the same as the peers' one"});
    }
    if (peers->keyFile.empty()) {
        faults.push_back({peersPosition_, "peers: 'key-file' must not be empty"});
    }
}

void SettingsBuilder::checkHosts(Faults &faults) const
{
    const auto &hosts = settings_.hosts;
    if (!hosts.empty() && settings_.platform.address) {
        faults.push_back({listedHostPositions_.front(), "hosts: the platform lists the hosts, leave the list out"});
    }
    if (!hosts.empty() && !settings_.peers && !peersInvalid_) {
        faults.push_back({listedHostPositions_.front(), "hosts: a list of hosts needs 'peers'"});
    }
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        const auto sameAddress = [&host = hosts[index]](const ListedHost &other) { return other.address == host.address; };
        if (std::any_of(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(index), sameAddress)) {
            faults.push_back(
                {listedHostPositions_[index], fmt::format("hosts: {} is listed twice", endpointToString(hosts[index].address))});
        }
    }
}

Settings SettingsBuilder::build() const
{
    auto allFaults = faults();
    if (!hostSet_) {
        allFaults.push_back({{}, "host: is missing"});
    }
    if (!platformSet_) {
        allFaults.push_back({{}, "platform: is missing"});
    }
    if (!allFaults.empty()) {
        throw Error(ErrorKind::BadSettings, faultsToString(allFaults));
    }
    return settings_;
}

} // namespace medlarway
