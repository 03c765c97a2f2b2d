#pragma once

#include "base/random.h"
#include "catalogue/catalogue_sync.h"
#include "catalogue/shard_store.h"

#include <map>
#include <optional>
#include <set>

namespace medlarway
{

/// A shard's change that comes in part by part.
struct PendingPull {
    HostId peer;
    std::uint64_t base = 0; ///< 0 asks for the whole shard
    ShardPart received; ///< the parts so far, put together
    std::uint32_t nextPart = 0;
    std::uint32_t tries = 0;
    Time retryAt;
};

/// What CatalogueSync does.
struct CatalogueSync::Impl {
    explicit Impl(CatalogueSyncOptions given);

    // In catalogue_sync.cpp: revisions that change, and digests.
    void begin(Time now);
    void afterOffer(OfferResult result, std::uint64_t shardHash, std::uint64_t before, HostId from, Outbox<CatalogueMessage> &outbox);
    void push(std::uint64_t shardHash, std::uint64_t before, HostId from, Outbox<CatalogueMessage> &outbox);
    void receive(HostId from, const CatalogueMessage &message, Time now, Outbox<CatalogueMessage> &outbox);
    void compareDigests(HostId from, const CatalogueMessage &message, Time now, Outbox<CatalogueMessage> &outbox);
    void sendDigest(HostId to, bool replyWanted, Outbox<CatalogueMessage> &outbox);
    void sendAnswer(HostId to, Outbox<CatalogueMessage> &outbox);
    void onAnswer(HostId from, const CatalogueMessage &message);
    void askSome(Outbox<CatalogueMessage> &outbox);
    bool hasWhatPeersTold() const;
    void settleIfDone(Time now);
    void tick(Time now, Outbox<CatalogueMessage> &outbox);
    Time nextTick() const;
    std::vector<HostId> somePeers(std::size_t most, HostId except);

    // In catalogue_pull.cpp: parts of shards, asked for and sent.
    void startPull(std::uint64_t shardHash, HostId from, std::uint64_t base, Time now, Outbox<CatalogueMessage> &outbox);
    void askForPart(std::uint64_t shardHash, PendingPull &pull, Time now, Outbox<CatalogueMessage> &outbox);
    void retryPulls(Time now, Outbox<CatalogueMessage> &outbox);
    void onPull(HostId from, const ShardPull &pull, Time now, Outbox<CatalogueMessage> &outbox);
    void sendChange(HostId to, std::uint64_t shardHash, std::uint64_t base, Time now, Outbox<CatalogueMessage> &outbox);
    void onPart(HostId from, const ShardPart &part, Time now, Outbox<CatalogueMessage> &outbox);
    void onWholeChange(HostId from, const ShardPart &change, Time now, Outbox<CatalogueMessage> &outbox);
    void collect(HostId from, const ShardPart &part, Time now, Outbox<CatalogueMessage> &outbox);
    bool mayAnswerNow(Time now);
    std::uint64_t heldRevision(std::uint64_t shardHash) const;
    CatalogueMessage compose(CatalogueMessageKind kind) const;

    CatalogueSyncOptions options;
    ShardStore store;
    CatalogueSyncStats stats;
    Random random;
    std::vector<Member> members;
    std::vector<HostId> peers; ///< members without this host and suspects
    std::set<std::string> names; ///< of all shards that are known of
    bool begun = false;
    Time nextDigest;
    std::uint64_t digestCursor = 0; ///< hash of the shard that the last digest ended with
    std::map<std::uint64_t, PendingPull> pulls;
    // The start: what peers told.
    bool settled = false;
    Time settleBy;
    Time nextAsk;
    std::set<HostId> answered;
    std::map<std::uint64_t, std::uint64_t> told; ///< highest revision that an answer named, by shard
    // The bound on parts sent.
    Time partSecond;
    std::uint32_t partsThisSecond = 0;
};

} // namespace medlarway
