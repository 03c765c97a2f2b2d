#pragma once

#include "settings/settings.h"
#include "yaml/fault.h"

#include <string>

namespace medlarway
{

/// Builds Settings and checks their consistency. A position is where a value was found in the settings file; it is
/// only used in error texts and may be omitted.
class SettingsBuilder
{
public:
    SettingsBuilder &host(std::uint32_t address, AvailabilityZone zone, Position position = {});
    SettingsBuilder &dataThreads(std::uint32_t count);
    SettingsBuilder &logLevel(LogLevel level);
    SettingsBuilder &operatorListen(const Endpoint &endpoint, Position position = {});
    SettingsBuilder &peers(PeerSettings peers, Position position = {});
    /// Records that the peers section exists but has errors. Settings that depend on it are then not reported as errors.
    SettingsBuilder &markPeersInvalid();
    SettingsBuilder &platform(PlatformSettings platform, Position position = {});
    SettingsBuilder &listedHost(ListedHost host, Position position = {});
    SettingsBuilder &drainTimeouts(const DrainTimeouts &timeouts);
    SettingsBuilder &guard(const GuardOptions &guard);
    SettingsBuilder &limits(const HostLimits &limits);

    /// Returns all errors in the values that were set so far. Missing values are not reported.
    Faults faults() const;

    /// Returns the settings. Throws Error(BadSettings) with all errors, one per line.
    Settings build() const;

private:
    void checkHost(Faults &faults) const;
    void checkPlatform(Faults &faults) const;
    void checkPeers(Faults &faults) const;
    void checkHosts(Faults &faults) const;

    Settings settings_;
    bool hostSet_ = false;
    bool platformSet_ = false;
    bool peersInvalid_ = false;
    Position hostPosition_;
    Position operatorPosition_;
    Position peersPosition_;
    Position platformPosition_;
    std::vector<Position> listedHostPositions_;
};

} // namespace medlarway
