#pragma once

#include "base/endpoint.h"
#include "base/host.h"
#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarway
{

/// How a service's packets reach it.
enum class ServiceKind : std::uint8_t {
    Stream, ///< TCP passed through
    Http, ///< HTTP/1.1, one request at a time
    Datagram, ///< UDP
};

/// How the requests of a service may be treated.
enum class ServiceClass : std::uint8_t {
    Idempotent, ///< may be retried before the first byte of an answer
    Protected, ///< runs at most once
    Feed, ///< long-lived; counts against connections, not slots
};

/// One endpoint that serves requests.
struct Upstream {
    Endpoint address;
    AvailabilityZone zone;
    bool draining = false; ///< gets no new work; finishes what it has

    friend auto operator<=>(const Upstream &, const Upstream &) = default;
};

/// What a service may take.
struct ServiceLimits {
    std::uint32_t slotsPerUpstream = 2; ///< requests that one upstream runs at once
    std::uint32_t connectionsPerUpstream = 2000;
    std::uint32_t queueLength = 256; ///< requests that wait on one host
    Duration defaultDeadline = std::chrono::seconds{30};
    Duration longestDeadline = std::chrono::seconds{300};
    Duration shortBound = std::chrono::milliseconds{500}; ///< a request that ran longer is long work
    std::uint64_t requestBytes = 64ULL << 20U; ///< largest request body
    Duration idleTimeout = std::chrono::minutes{5}; ///< of datagram flows and of silent callers between requests
    Duration keyWindow = std::chrono::minutes{10}; ///< how long an idempotency key is remembered

    friend auto operator<=>(const ServiceLimits &, const ServiceLimits &) = default;
};

/// A service as the catalogue describes it. Immutable by use; compare with ==.
struct Service {
    std::string name;
    std::string owner;
    ServiceClass serviceClass = ServiceClass::Idempotent;
    ServiceKind kind = ServiceKind::Http;
    Endpoint address; ///< where callers connect; address 0.0.0.0 stands for every address of the host
    std::vector<Upstream> upstreams;
    ServiceLimits limits;

    friend bool operator==(const Service &, const Service &) = default;
};

/// A part of the catalogue that changes as a whole.
struct CatalogueShard {
    std::string name;
    std::uint64_t revision = 0; ///< the platform's; a lower one never replaces a higher one
    std::vector<Service> services;

    friend bool operator==(const CatalogueShard &, const CatalogueShard &) = default;
};

/// All shards in force on one host, in the order of their names.
struct Catalogue {
    std::vector<CatalogueShard> shards;

    friend bool operator==(const Catalogue &, const Catalogue &) = default;
};

} // namespace medlarway
