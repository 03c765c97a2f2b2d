#pragma once

#include "base/endpoint.h"
#include "base/host_list.h"
#include "base/log.h"
#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// How this host talks to its peers.
struct PeerSettings {
    Endpoint listen; ///< on the host's own address
    std::optional<Endpoint> advertise; ///< where the peers reach it, if that is not where it listens; names the host among them
    std::string keyFile; ///< holds the secret that all hosts share
    std::string previousKeyFile; ///< accepted beside the key while it is rotated; empty where there is none
    std::uint32_t bytesPerSecond = 5000; ///< budget for control messages sent
    std::uint32_t requestBytesPerSecond = 2'000'000; ///< budget for messages sent for requests and flows

    friend bool operator==(const PeerSettings &, const PeerSettings &) = default;
};

/// Where the catalogue and the host list come from: exactly one of the two.
struct PlatformSettings {
    std::string catalogueFile;
    std::optional<Endpoint> address;

    friend bool operator==(const PlatformSettings &, const PlatformSettings &) = default;
};

/// How long a planned stop lets running work finish.
struct GraceSettings {
    Duration requests = std::chrono::seconds{30};
    Duration feeds = std::chrono::hours{12};

    friend bool operator==(const GraceSettings &, const GraceSettings &) = default;
};

/// How the key guard keeps idempotency keys.
struct GuardOptions {
    Duration window = std::chrono::minutes{10}; ///< longest time that a key is kept; the same on every host
    Duration listGiveUp = std::chrono::hours{1}; ///< longest time that a running host may use an old list of hosts

    friend bool operator==(const GuardOptions &, const GuardOptions &) = default;
};

/// Bounds on what callers may take of this host.
struct HostLimits {
    std::uint32_t headBytes = 16384; ///< largest HTTP head
    Duration headTimeout = std::chrono::seconds{10}; ///< for a whole HTTP head
    std::uint32_t flows = 500'000; ///< open datagram flows

    friend bool operator==(const HostLimits &, const HostLimits &) = default;
};

/// What one process is told of itself. Immutable by use; compare with ==.
struct Settings {
    std::uint32_t address = 0; ///< the host's own, in host byte order; services at 0.0.0.0 listen there
    AvailabilityZone zone;
    std::uint32_t dataThreads = 1;
    LogLevel logLevel = LogLevel::Info;
    Endpoint operatorListen{0x7f000001, 9900};
    std::optional<PeerSettings> peers; ///< absent where the host runs alone
    PlatformSettings platform;
    std::vector<ListedHost> hosts; ///< the hosts that may be members, where no platform lists them
    GraceSettings graces;
    GuardOptions guard;
    HostLimits limits;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/// The names of the settings that differ and that a running process can't take over; empty where none do.
std::vector<std::string> changesThatNeedRestart(const Settings &running, const Settings &wanted);

} // namespace medlarway
