#pragma once

#include "settings/settings.h"
#include "yaml/fault.h"

#include <string>

namespace medlarway
{

/// Builds Settings and checks them as a whole. Positions are where a value stands in a file; they
/// only serve the faults' texts and may be left out.
class SettingsBuilder
{
public:
    SettingsBuilder &host(std::uint32_t address, AvailabilityZone zone, Position position = {});
    SettingsBuilder &dataThreads(std::uint32_t count);
    SettingsBuilder &logLevel(LogLevel level);
    SettingsBuilder &operatorListen(const Endpoint &endpoint, Position position = {});
    SettingsBuilder &peers(PeerSettings peers, Position position = {});
    /// Peers are meant but could not be read, so that what needs them is no fault.
    SettingsBuilder &peersFaulty();
    SettingsBuilder &platform(PlatformSettings platform, Position position = {});
    SettingsBuilder &listedHost(ListedHost host, Position position = {});
    SettingsBuilder &graces(const GraceSettings &graces);
    SettingsBuilder &guard(const GuardOptions &guard);
    SettingsBuilder &limits(const HostLimits &limits);

    /// Everything that is wrong with what was given so far; what wasn't given is not looked at.
    Faults faults() const;

    /// The settings. Throws Error(BadSettings) with every fault, one a line.
    Settings build() const;

private:
    void checkHost(Faults &faults) const;
    void checkPlatform(Faults &faults) const;
    void checkPeers(Faults &faults) const;
    void checkHosts(Faults &faults) const;

    Settings settings_;
    bool hostGiven_ = false;
    bool platformGiven_ = false;
    bool peersFaulty_ = false;
    Position hostPosition_;
    Position operatorPosition_;
    Position peersPosition_;
    Position platformPosition_;
    std::vector<Position> listedPositions_;
};

} // namespace medlarway
