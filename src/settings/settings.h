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

/// Settings for the communication with the other hosts of the fleet.
struct PeerSettings {
    Endpoint listen; ///< must use the host's own address
    std::optional<Endpoint> advertise; ///< where the peers reach this host, if not at listen; identifies the host in the fleet
    std::string keyFile; ///< contains the secret that all hosts share
    std::string previousKeyFile; ///< previous secret, still accepted during a key rotation; empty if there is none
    std::uint32_t bytesPerSecond = 5000; ///< send budget for control messages
    std::uint32_t requestBytesPerSecond = 2'000'000; ///< send budget for messages that belong to requests and flows

    friend bool operator==(const PeerSettings &, const PeerSettings &) = default;
};

/// The source of the catalogue and the host list. Exactly one of the two must be set.
struct PlatformSettings {
    std::string catalogueFile;
    std::optional<Endpoint> address; ///< the platform's address

    friend bool operator==(const PlatformSettings &, const PlatformSettings &) = default;
};

/// How long a planned stop waits for running work to finish.
struct DrainTimeouts {
    Duration requests = std::chrono::seconds{30};
    Duration feeds = std::chrono::hours{12};

    friend bool operator==(const DrainTimeouts &, const DrainTimeouts &) = default;
};

/// Settings of the key guard, which tracks idempotency keys.
struct GuardOptions {
    Duration window = std::chrono::minutes{10}; ///< how long a key is tracked at most; must be the same on all hosts
    Duration listGiveUp = std::chrono::hours{1}; ///< how long a running host may use an outdated host list at most

    friend bool operator==(const GuardOptions &, const GuardOptions &) = default;
};

/// Limits on the resources that callers may use on this host.
struct HostLimits {
    std::uint32_t headBytes = 16384; ///< maximum size of an HTTP head
    Duration headTimeout = std::chrono::seconds{10}; ///< time limit for receiving a whole HTTP head
    std::uint32_t flows = 500'000; ///< maximum number of open datagram flows

    friend bool operator==(const HostLimits &, const HostLimits &) = default;
};

/// The settings of one proxy process. Not modified after loading, except by a reload.
struct Settings {
    std::uint32_t address = 0; ///< the host's own IPv4 address in host byte order; services with address 0.0.0.0 listen on it
    AvailabilityZone zone;
    std::uint32_t dataThreads = 1;
    LogLevel logLevel = LogLevel::Info;
    Endpoint operatorListen{0x7f000001, 9900};
    std::optional<PeerSettings> peers; ///< not set if the host runs alone
    PlatformSettings platform;
    std::vector<ListedHost> hosts; ///< possible members of the fleet; must be empty if the platform has an address
    DrainTimeouts drainTimeouts;
    GuardOptions guard;
    HostLimits limits;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/// Returns the keys of the settings that differ and can only be changed by a restart; empty if there are none.
std::vector<std::string> changesThatNeedRestart(const Settings &running, const Settings &wanted);

} // namespace medlarway
