#include "catalogue/catalogue_sync.h"

#include "base/hash.h"
#include "catalogue/catalogue_sync_impl.h"
#include "catalogue/reader_rank.h"
#include "catalogue/shard_parts.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// A change up to this size is pushed whole; for a larger one only the digest is pushed, and peers pull the change.
constexpr std::size_t kMaxPushBytes = 4000;

constexpr std::size_t kMaxDigestEntries = 24; ///< per periodic digest
constexpr std::size_t kMaxResponseEntries = 256; ///< per message of a digest response

// Number of synced peers whose digests a starting host needs before it serves.
constexpr std::size_t kRequiredResponses = 2;
constexpr std::size_t kMaxPeersQueried = 3;
constexpr Duration kDigestRequestInterval = std::chrono::milliseconds{250};

} // namespace

CatalogueSync::Impl::Impl(CatalogueSyncOptions syncOptions)
    : options(std::move(syncOptions))
    , random(options.seed)
    , shardNames(options.shards.begin(), options.shards.end())
{
}

void CatalogueSync::Impl::start(Time now)
{
    if (std::exchange(started, true)) {
        return;
    }
    // A random offset, so that hosts that start together don't send their digests at the same time.
    nextDigest = now + Duration{static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(options.digestInterval.count())))};
    syncDeadline = now + options.maxStartWait;
    nextDigestRequest = now;
}

CatalogueMessage CatalogueSync::Impl::compose(CatalogueMessageKind kind) const
{
    CatalogueMessage message;
    message.kind = kind;
    message.root = store.root();
    message.synced = synced;
    return message;
}

std::uint64_t CatalogueSync::Impl::storedRevision(std::uint64_t shardHash) const
{
    const auto *stored = store.find(shardHash);
    return stored == nullptr ? 0 : stored->shard.revision;
}

// Counts the result of a merge, and pushes the change if it was applied.
void CatalogueSync::Impl::onMerged(MergeResult result, std::uint64_t shardHash, std::uint64_t previousRevision, HostId from,
                                   Outbox<CatalogueMessage> &outbox)
{
    const auto *stored = store.find(shardHash);
    switch (result) {
    case MergeResult::Applied:
        ++stats.applied;
        stats.conflicts += stored->shard.revision == previousRevision ? 1 : 0;
        shardNames.insert(stored->shard.name);
        push(shardHash, stored->shard.revision == previousRevision ? 0 : previousRevision, from, outbox);
        break;
    case MergeResult::Stale:
        ++stats.stale;
        break;
    case MergeResult::ConflictKept:
        ++stats.conflicts;
        break;
    case MergeResult::ContentMismatch:
        ++stats.mismatches;
        break;
    case MergeResult::Unchanged:
    case MergeResult::BaseMissing:
        break;
    }
}

// Each host pushes a revision to a few peers once, when it has applied it. This reaches the fleet in O(log n)
// rounds; hosts that miss it because of lost messages pull it after the next digest.
void CatalogueSync::Impl::push(std::uint64_t shardHash, std::uint64_t previousRevision, HostId from, Outbox<CatalogueMessage> &outbox)
{
    const auto change = store.changeSince(shardHash, previousRevision);
    auto message = compose(CatalogueMessageKind::Digest);
    if (estimateBytes(change) <= kMaxPushBytes) {
        message.kind = CatalogueMessageKind::Part;
        message.part = makePart(change, 0);
    } else {
        message.digests.push_back(digestOf(shardHash, *change.stored));
    }
    for (const auto peer : randomPeers(options.pushFanout, from)) {
        outbox.push_back({peer, message});
    }
}

// Up to maxCount random peers.
std::vector<HostId> CatalogueSync::Impl::randomPeers(std::size_t maxCount, HostId except)
{
    std::vector<HostId> chosen;
    const auto count = std::min(maxCount, peers.size());
    for (std::size_t index = 0; index < peers.size() && chosen.size() < count; ++index) {
        std::swap(peers[index], peers[index + random.below(peers.size() - index)]);
        if (peers[index] != except) {
            chosen.push_back(peers[index]);
        }
    }
    return chosen;
}

void CatalogueSync::Impl::receive(HostId from, const CatalogueMessage &message, Time now, Outbox<CatalogueMessage> &outbox)
{
    start(now);
    switch (message.kind) {
    case CatalogueMessageKind::Digest:
        compareDigests(from, message, now, outbox);
        if (message.replyWanted && message.root != store.root()) {
            sendDigest(from, false, outbox);
        }
        break;
    case CatalogueMessageKind::DigestRequest:
        sendDigestResponse(from, outbox);
        break;
    case CatalogueMessageKind::DigestResponse:
        compareDigests(from, message, now, outbox);
        onDigestResponse(from, message);
        break;
    case CatalogueMessageKind::Pull:
        if (message.pull) {
            onPull(from, *message.pull, now, outbox);
        }
        break;
    case CatalogueMessageKind::Part:
        if (message.part) {
            onPart(from, *message.part, now, outbox);
        }
        break;
    }
    updateSynced(now);
}

// Pulls the shards that are newer at the peer, and sends it those that are newer here. Of two contents with the same
// revision the one with the higher hash wins.
void CatalogueSync::Impl::compareDigests(HostId from, const CatalogueMessage &message, Time now, Outbox<CatalogueMessage> &outbox)
{
    if (message.root == store.root()) {
        return;
    }
    for (const auto &digest : message.digests) {
        const auto *stored = store.find(digest.shard);
        const auto local = stored == nullptr ? ShardDigest{digest.shard, 0, 0} : digestOf(digest.shard, *stored);
        if (digest.revision > local.revision) {
            startPull(digest.shard, from, local.revision, now, outbox);
        } else if (digest.revision < local.revision) {
            sendChange(from, digest.shard, digest.revision, now, outbox);
        } else if (digest.content > local.content) {
            startPull(digest.shard, from, 0, now, outbox);
        } else if (digest.content < local.content) {
            sendChange(from, digest.shard, 0, now, outbox);
        }
    }
}

// Sends digests of a bounded number of shards, in rotation, so that the message size does not grow with their number.
void CatalogueSync::Impl::sendDigest(HostId to, bool replyWanted, Outbox<CatalogueMessage> &outbox)
{
    auto message = compose(CatalogueMessageKind::Digest);
    message.replyWanted = replyWanted;
    const auto &shards = store.shards();
    const auto count = std::min(shards.size(), kMaxDigestEntries);
    auto next = shards.upper_bound(digestCursor);
    for (std::size_t entry = 0; entry < count; ++entry) {
        if (next == shards.end()) {
            next = shards.begin();
        }
        message.digests.push_back(digestOf(next->first, next->second));
        digestCursor = next->first;
        ++next;
    }
    outbox.push_back({to, std::move(message)});
}

void CatalogueSync::Impl::sendDigestResponse(HostId to, Outbox<CatalogueMessage> &outbox)
{
    auto message = compose(CatalogueMessageKind::DigestResponse);
    for (const auto &[shardHash, stored] : store.shards()) {
        if (message.digests.size() == kMaxResponseEntries) {
            outbox.push_back({to, message});
            message.digests.clear();
        }
        message.digests.push_back(digestOf(shardHash, stored));
    }
    message.isLast = true;
    outbox.push_back({to, std::move(message)});
}

// Only responses of synced peers count: another host that has just started may not have the current revisions.
void CatalogueSync::Impl::onDigestResponse(HostId from, const CatalogueMessage &message)
{
    for (const auto &digest : message.digests) {
        auto &highest = peerRevisions[digest.shard];
        highest = std::max(highest, digest.revision);
    }
    if (message.isLast && message.synced) {
        respondedPeers.insert(from);
    }
}

bool CatalogueSync::Impl::hasPeerRevisions() const
{
    return std::all_of(peerRevisions.begin(), peerRevisions.end(),
                       [this](const auto &entry) { return storedRevision(entry.first) >= entry.second; });
}

void CatalogueSync::Impl::updateSynced(Time now)
{
    const auto required = std::min(kRequiredResponses, peers.size());
    const bool confirmed = required > 0 && respondedPeers.size() >= required && hasPeerRevisions();
    if (!synced && (confirmed || now >= syncDeadline)) {
        synced = true;
        peerRevisions.clear();
        respondedPeers.clear();
    }
}

void CatalogueSync::Impl::sendDigestRequests(Outbox<CatalogueMessage> &outbox)
{
    for (const auto peer : randomPeers(kMaxPeersQueried, HostId{})) {
        if (respondedPeers.count(peer) == 0) {
            outbox.push_back({peer, compose(CatalogueMessageKind::DigestRequest)});
        }
    }
}

void CatalogueSync::Impl::tick(Time now, Outbox<CatalogueMessage> &outbox)
{
    start(now);
    updateSynced(now);
    if (!synced && now >= nextDigestRequest) {
        nextDigestRequest = now + kDigestRequestInterval;
        sendDigestRequests(outbox);
    }
    retryPulls(now, outbox);
    if (now >= nextDigest) {
        nextDigest = std::max(nextDigest + options.digestInterval, now);
        for (const auto peer : randomPeers(1, HostId{})) {
            sendDigest(peer, true, outbox);
        }
    }
}

Time CatalogueSync::Impl::nextTick() const
{
    auto next = nextDigest;
    if (!synced) {
        next = std::min({next, nextDigestRequest, syncDeadline});
    }
    for (const auto &[shardHash, pull] : pulls) {
        next = std::min(next, pull.retryAt);
    }
    return next;
}

CatalogueSync::CatalogueSync(CatalogueSyncOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

CatalogueSync::~CatalogueSync() = default;
CatalogueSync::CatalogueSync(CatalogueSync &&) noexcept = default;
CatalogueSync &CatalogueSync::operator=(CatalogueSync &&) noexcept = default;

void CatalogueSync::setView(const View &view, Time now)
{
    impl_->start(now);
    impl_->members = view.members;
    impl_->peers.clear();
    for (const auto &member : view.members) {
        if (member.id != impl_->options.self && member.state != HostState::Suspect) {
            impl_->peers.push_back(member.id);
        }
    }
}

void CatalogueSync::offer(const CatalogueShard &fromPlatform, Time now, Outbox<CatalogueMessage> &outbox)
{
    impl_->start(now);
    const auto shardHash = hashBytes(fromPlatform.name);
    const auto previousRevision = impl_->storedRevision(shardHash);
    impl_->onMerged(impl_->store.offer(fromPlatform, false), shardHash, previousRevision, HostId{}, outbox);
    impl_->updateSynced(now);
}

void CatalogueSync::offerRemoval(const std::string &shard, std::uint64_t revision, Time now, Outbox<CatalogueMessage> &outbox)
{
    impl_->start(now);
    const auto shardHash = hashBytes(shard);
    const auto previousRevision = impl_->storedRevision(shardHash);
    impl_->onMerged(impl_->store.offer(CatalogueShard{shard, revision, {}}, true), shardHash, previousRevision, HostId{}, outbox);
    impl_->updateSynced(now);
}

void CatalogueSync::receive(HostId from, const CatalogueMessage &message, Time now, Outbox<CatalogueMessage> &outbox)
{
    impl_->receive(from, message, now, outbox);
}

void CatalogueSync::tick(Time now, Outbox<CatalogueMessage> &outbox)
{
    impl_->tick(now, outbox);
}

Time CatalogueSync::nextTick() const
{
    return impl_->nextTick();
}

void CatalogueSync::restartSync(Time now)
{
    impl_->synced = false;
    impl_->syncDeadline = now + impl_->options.maxStartWait;
    impl_->nextDigestRequest = now;
}

void CatalogueSync::addShards(const std::vector<std::string> &names)
{
    impl_->shardNames.insert(names.begin(), names.end());
}

std::vector<std::string> CatalogueSync::shardsToRead() const
{
    std::vector<std::string> result;
    for (const auto &name : impl_->shardNames) {
        if (isReader(impl_->members, impl_->options.self, hashBytes(name), impl_->options.readersPerZone)) {
            result.push_back(name);
        }
    }
    return result;
}

std::shared_ptr<const Catalogue> CatalogueSync::inForce() const
{
    return impl_->store.inForce();
}

bool CatalogueSync::readyToServe(Time now) const
{
    return impl_->synced || (impl_->started && now >= impl_->syncDeadline);
}

std::uint64_t CatalogueSync::shardRevision(const std::string &shard) const
{
    return impl_->storedRevision(hashBytes(shard));
}

CatalogueSyncStats CatalogueSync::stats() const
{
    return impl_->stats;
}

} // namespace medlarway
