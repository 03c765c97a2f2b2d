#pragma once

#include "base/host.h"
#include "base/outbox.h"
#include "base/time.h"
#include "catalogue/catalogue_message.h"
#include "catalogue/service.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// Options of CatalogueSync.
struct CatalogueSyncOptions {
    HostId self;
    AvailabilityZone zone;
    std::vector<std::string> shards; ///< names of shards known at the start; further ones come from addShards and from peers
    std::uint32_t readersPerZone = 2; ///< number of hosts in each zone that read a shard from the platform
    std::uint64_t seed = 1;
    std::uint32_t pushFanout = 4; ///< number of peers that a new revision is pushed to
    Duration digestInterval = std::chrono::seconds{1}; ///< time between two digests, each sent to one peer
    Duration pullTimeout = std::chrono::milliseconds{250}; ///< timeout after which a part is requested again
    Duration maxStartWait = std::chrono::seconds{3}; ///< maximum time that a starting host waits for its peers
};

/// Counters since the start.
struct CatalogueSyncStats {
    std::uint64_t applied = 0; ///< revisions that were applied
    std::uint64_t stale = 0; ///< revisions below the stored one, which were ignored
    std::uint64_t conflicts = 0; ///< revisions received with another content than is stored for them
    std::uint64_t mismatches = 0; ///< changes whose result did not match their content hash
    std::uint64_t partsSent = 0;
    std::uint64_t partsThrottled = 0; ///< not sent because of the rate limit

    friend bool operator==(const CatalogueSyncStats &, const CatalogueSyncStats &) = default;
};

/// Replicates the shards of the catalogue to all hosts: few hosts read them from the platform, new revisions are
/// pushed, and hosts that missed a push pull after comparing digests. A lower revision never replaces a higher one,
/// whatever its source. No I/O and no clock. Not thread-safe.
class CatalogueSync
{
public:
    explicit CatalogueSync(CatalogueSyncOptions options);
    ~CatalogueSync();
    CatalogueSync(CatalogueSync &&) noexcept;
    CatalogueSync &operator=(CatalogueSync &&) noexcept;

    /// Adds shards that the platform has to the known ones.
    void addShards(const std::vector<std::string> &names);

    /// Applies a membership view.
    void setView(const View &view, Time now);

    /// Merges a shard read from the platform.
    void offer(const CatalogueShard &fromPlatform, Time now, Outbox<CatalogueMessage> &outbox);

    /// Merges the removal of a shard by the platform at the revision.
    void offerRemoval(const std::string &shard, std::uint64_t revision, Time now, Outbox<CatalogueMessage> &outbox);

    /// Handles a message from a peer.
    void receive(HostId from, const CatalogueMessage &message, Time now, Outbox<CatalogueMessage> &outbox);

    /// Sends what is due and retries pulls. Call at nextTick() or later.
    void tick(Time now, Outbox<CatalogueMessage> &outbox);

    /// The time at which tick must be called next.
    Time nextTick() const;

    /// Restarts the initial synchronisation, for example after a late wake-up; until it completes, readyToServe is false.
    void restartSync(Time now);

    /// The shards that this host must read from the platform, sorted by name.
    std::vector<std::string> shardsToRead() const;

    /// All stored shards that are not removed. Never null; the same pointer until a shard changes.
    std::shared_ptr<const Catalogue> inForce() const;

    /// True once this host has stored the revisions that its peers reported, or after maxStartWait; it then serves
    /// the catalogue that it has.
    bool readyToServe(Time now) const;

    /// The stored revision of a shard, even if it was removed; 0 if none is stored.
    std::uint64_t shardRevision(const std::string &shard) const;

    CatalogueSyncStats stats() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
