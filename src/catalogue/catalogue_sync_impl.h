#pragma once

#include "base/random.h"
#include "catalogue/catalogue_sync.h"
#include "catalogue/shard_store.h"

#include <map>
#include <optional>
#include <set>

namespace medlarway
{

/// The transfer of a shard's change, part by part, from one peer.
struct PendingPull {
    HostId peer;
    std::uint64_t base = 0; ///< revision stored when the pull started; 0 requests the whole shard
    ShardPart received; ///< the parts received so far, merged
    std::uint32_t nextPart = 0;
    std::uint32_t attempts = 0; ///< retries of the current part
    Time retryAt;
};

/// The state and logic of CatalogueSync.
struct CatalogueSync::Impl {
    explicit Impl(CatalogueSyncOptions syncOptions);

    // In catalogue_sync.cpp: pushes of new revisions, digests, initial synchronisation.
    void start(Time now);
    void onMerged(MergeResult result, std::uint64_t shardHash, std::uint64_t previousRevision, HostId from,
                  Outbox<CatalogueMessage> &outbox);
    void push(std::uint64_t shardHash, std::uint64_t previousRevision, HostId from, Outbox<CatalogueMessage> &outbox);
    void receive(HostId from, const CatalogueMessage &message, Time now, Outbox<CatalogueMessage> &outbox);
    void compareDigests(HostId from, const CatalogueMessage &message, Time now, Outbox<CatalogueMessage> &outbox);
    void sendDigest(HostId to, bool replyWanted, Outbox<CatalogueMessage> &outbox);
    void sendDigestResponse(HostId to, Outbox<CatalogueMessage> &outbox);
    void onDigestResponse(HostId from, const CatalogueMessage &message);
    void sendDigestRequests(Outbox<CatalogueMessage> &outbox);
    bool hasPeerRevisions() const;
    void updateSynced(Time now);
    void tick(Time now, Outbox<CatalogueMessage> &outbox);
    Time nextTick() const;
    std::vector<HostId> randomPeers(std::size_t maxCount, HostId except);

    // In catalogue_pull.cpp: requests for parts of shards, and their transfer.
    void startPull(std::uint64_t shardHash, HostId from, std::uint64_t base, Time now, Outbox<CatalogueMessage> &outbox);
    void requestPart(std::uint64_t shardHash, PendingPull &pull, Time now, Outbox<CatalogueMessage> &outbox);
    void retryPulls(Time now, Outbox<CatalogueMessage> &outbox);
    void onPull(HostId from, const ShardPull &pull, Time now, Outbox<CatalogueMessage> &outbox);
    void sendChange(HostId to, std::uint64_t shardHash, std::uint64_t base, Time now, Outbox<CatalogueMessage> &outbox);
    void onPart(HostId from, const ShardPart &part, Time now, Outbox<CatalogueMessage> &outbox);
    void applyCompleteChange(HostId from, const ShardPart &change, Time now, Outbox<CatalogueMessage> &outbox);
    void collectPart(HostId from, const ShardPart &part, Time now, Outbox<CatalogueMessage> &outbox);
    bool consumePartBudget(Time now);
    std::uint64_t storedRevision(std::uint64_t shardHash) const;
    CatalogueMessage compose(CatalogueMessageKind kind) const;

    CatalogueSyncOptions options;
    ShardStore store;
    CatalogueSyncStats stats;
    Random random;
    std::vector<Member> members;
    std::vector<HostId> peers; ///< members except this host and suspect ones; in any order
    std::set<std::string> shardNames; ///< all known shards
    bool started = false;
    Time nextDigest;
    std::uint64_t digestCursor = 0; ///< name hash of the last shard in the previous digest
    std::map<std::uint64_t, PendingPull> pulls; ///< by name hash of the shard
    // Initial synchronisation.
    bool synced = false;
    Time syncDeadline;
    Time nextDigestRequest;
    std::set<HostId> respondedPeers; ///< synced peers from which the last message of a response was received
    std::map<std::uint64_t, std::uint64_t> peerRevisions; ///< highest revision in a response, by name hash of the shard
    // Rate limit of the parts sent.
    Time partWindowStart;
    std::uint32_t partsInWindow = 0;
};

} // namespace medlarway
