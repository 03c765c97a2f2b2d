#include "base/hash.h"
#include "catalogue/catalogue_sync_impl.h"
#include "catalogue/shard_parts.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// A pull is dropped after this many requests without a response; the next digest starts a new one.
constexpr std::uint32_t kMaxPullAttempts = 5;

// Maximum rate at which a host sends parts. After a restart of the whole fleet far more are requested at once.
constexpr std::uint32_t kMaxPartsPerSecond = 64;

} // namespace

void CatalogueSync::Impl::startPull(std::uint64_t shardHash, HostId from, std::uint64_t base, Time now, Outbox<CatalogueMessage> &outbox)
{
    if (pulls.count(shardHash) > 0) {
        return;
    }
    auto &pull = pulls[shardHash];
    pull.peer = from;
    pull.base = base;
    requestPart(shardHash, pull, now, outbox);
}

void CatalogueSync::Impl::requestPart(std::uint64_t shardHash, PendingPull &pull, Time now, Outbox<CatalogueMessage> &outbox)
{
    pull.retryAt = now + options.pullTimeout;
    auto message = compose(CatalogueMessageKind::Pull);
    message.pull = ShardPull{shardHash, pull.base, pull.received.revision, pull.received.content, pull.nextPart};
    outbox.push_back({pull.peer, std::move(message)});
}

void CatalogueSync::Impl::retryPulls(Time now, Outbox<CatalogueMessage> &outbox)
{
    std::erase_if(pulls, [now](const auto &entry) { return now >= entry.second.retryAt && entry.second.attempts + 1 >= kMaxPullAttempts; });
    for (auto &[shardHash, pull] : pulls) {
        if (now >= pull.retryAt) {
            ++pull.attempts;
            requestPart(shardHash, pull, now, outbox);
        }
    }
}

bool CatalogueSync::Impl::consumePartBudget(Time now)
{
    if (now >= partWindowStart + std::chrono::seconds{1}) {
        partWindowStart = now;
        partsInWindow = 0;
    }
    if (partsInWindow >= kMaxPartsPerSecond) {
        ++stats.partsThrottled;
        return false;
    }
    ++partsInWindow;
    ++stats.partsSent;
    return true;
}

// Sends the requested part. If the shard has changed since the transfer started, sends part 0 of the new revision instead.
void CatalogueSync::Impl::onPull(HostId from, const ShardPull &pull, Time now, Outbox<CatalogueMessage> &outbox)
{
    const auto change = store.changeSince(pull.shard, pull.base);
    if (change.stored == nullptr || change.stored->shard.revision < std::max<std::uint64_t>(pull.base, 1) || !consumePartBudget(now)) {
        return;
    }
    const bool isSameTransfer = pull.revision == change.stored->shard.revision && pull.content == change.stored->content;
    auto message = compose(CatalogueMessageKind::Part);
    message.part = makePart(change, isSameTransfer ? pull.part : 0);
    outbox.push_back({from, std::move(message)});
}

// Sends a change to a peer whose version is older: directly if it fits into one part, else as a digest, so that the
// peer pulls it.
void CatalogueSync::Impl::sendChange(HostId to, std::uint64_t shardHash, std::uint64_t base, Time now, Outbox<CatalogueMessage> &outbox)
{
    const auto change = store.changeSince(shardHash, base);
    if (countParts(change) > 1) {
        auto message = compose(CatalogueMessageKind::Digest);
        message.digests.push_back(digestOf(shardHash, *change.stored));
        outbox.push_back({to, std::move(message)});
        return;
    }
    if (consumePartBudget(now)) {
        auto message = compose(CatalogueMessageKind::Part);
        message.part = makePart(change, 0);
        outbox.push_back({to, std::move(message)});
    }
}

void CatalogueSync::Impl::onPart(HostId from, const ShardPart &part, Time now, Outbox<CatalogueMessage> &outbox)
{
    if (part.parts <= 1) {
        applyCompleteChange(from, part, now, outbox);
    } else {
        collectPart(from, part, now, outbox);
    }
}

void CatalogueSync::Impl::applyCompleteChange(HostId from, const ShardPart &change, Time now, Outbox<CatalogueMessage> &outbox)
{
    const auto shardHash = hashBytes(change.name);
    const auto previousRevision = storedRevision(shardHash);
    const auto result = store.applyChange(change);
    onMerged(result, shardHash, previousRevision, from, outbox);
    const auto pull = pulls.find(shardHash);
    const bool pullDone = pull != pulls.end() && (pull->second.peer == from || result == MergeResult::Applied);
    if (pullDone) {
        pulls.erase(pull);
    }
    if (result == MergeResult::BaseMissing) {
        startPull(shardHash, from, previousRevision, now, outbox);
    } else if (result == MergeResult::ContentMismatch && change.base != 0) {
        startPull(shardHash, from, 0, now, outbox);
    }
}

// Assembles a change from its parts, which are accepted in order only.
void CatalogueSync::Impl::collectPart(HostId from, const ShardPart &part, Time now, Outbox<CatalogueMessage> &outbox)
{
    const auto shardHash = hashBytes(part.name);
    const auto found = pulls.find(shardHash);
    if (found == pulls.end() || found->second.peer != from) {
        return;
    }
    auto &pull = found->second;
    // Step 1. Append the part, or restart if part 0 belongs to another transfer.
    const bool isSameTransfer = pull.received.revision == part.revision && pull.received.content == part.content
                                && pull.received.base == part.base && pull.received.parts == part.parts;
    if (part.part == 0 && !isSameTransfer) {
        pull.received = part;
        pull.nextPart = 1;
    } else if (isSameTransfer && part.part == pull.nextPart) {
        appendPieces(pull.received.services, part.services);
        ++pull.nextPart;
    } else {
        return;
    }
    // Step 2. Request the next part, or apply the change if it is complete.
    pull.attempts = 0;
    if (pull.nextPart < part.parts) {
        requestPart(shardHash, pull, now, outbox);
        return;
    }
    const auto change = std::move(pull.received);
    pulls.erase(found);
    applyCompleteChange(from, change, now, outbox);
}

} // namespace medlarway
