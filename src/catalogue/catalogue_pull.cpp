#include "base/hash.h"
#include "catalogue/catalogue_core.h"
#include "catalogue/shard_parts.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// After this many unanswered requests a pull is given up; the next digest starts another.
constexpr std::uint32_t kPullTries = 5;

// Parts that a host sends in a second. A fleet that starts anew asks for far more at once.
constexpr std::uint32_t kPartsPerSecond = 64;

} // namespace

void CatalogueSync::Impl::startPull(std::uint64_t shardHash, HostId from, std::uint64_t base, Time now, Outbox<CatalogueMessage> &outbox)
{
    if (pulls.count(shardHash) > 0) {
        return;
    }
    auto &pull = pulls[shardHash];
    pull.peer = from;
    pull.base = base;
    askForPart(shardHash, pull, now, outbox);
}

void CatalogueSync::Impl::askForPart(std::uint64_t shardHash, PendingPull &pull, Time now, Outbox<CatalogueMessage> &outbox)
{
    pull.retryAt = now + options.pullTimeout;
    auto message = compose(CatalogueMessageKind::Pull);
    message.pull = ShardPull{shardHash, pull.base, pull.received.revision, pull.received.content, pull.nextPart};
    outbox.push_back({pull.peer, std::move(message)});
}

void CatalogueSync::Impl::retryPulls(Time now, Outbox<CatalogueMessage> &outbox)
{
    std::erase_if(pulls, [now](const auto &entry) { return now >= entry.second.retryAt && entry.second.tries + 1 >= kPullTries; });
    for (auto &[shardHash, pull] : pulls) {
        if (now >= pull.retryAt) {
            ++pull.tries;
            askForPart(shardHash, pull, now, outbox);
        }
    }
}

bool CatalogueSync::Impl::mayAnswerNow(Time now)
{
    if (now >= partSecond + std::chrono::seconds{1}) {
        partSecond = now;
        partsThisSecond = 0;
    }
    if (partsThisSecond >= kPartsPerSecond) {
        ++stats.partsRefused;
        return false;
    }
    ++partsThisSecond;
    ++stats.partsSent;
    return true;
}

// Sends the part that was asked for; where the shard has changed since the transfer began, the first part of a new one.
void CatalogueSync::Impl::onPull(HostId from, const ShardPull &pull, Time now, Outbox<CatalogueMessage> &outbox)
{
    const auto change = store.changeSince(pull.shard, pull.base);
    if (change.held == nullptr || change.held->shard.revision < std::max<std::uint64_t>(pull.base, 1) || !mayAnswerNow(now)) {
        return;
    }
    const bool goesOn = pull.revision == change.held->shard.revision && pull.content == change.held->content;
    auto message = compose(CatalogueMessageKind::Part);
    message.part = makePart(change, goesOn ? pull.part : 0);
    outbox.push_back({from, std::move(message)});
}

// A peer is behind: a small change goes out at once; for a large one it is told to pull.
void CatalogueSync::Impl::sendChange(HostId to, std::uint64_t shardHash, std::uint64_t base, Time now, Outbox<CatalogueMessage> &outbox)
{
    const auto change = store.changeSince(shardHash, base);
    if (countParts(change) > 1) {
        auto message = compose(CatalogueMessageKind::Digest);
        message.digests.push_back(digestOf(shardHash, *change.held));
        outbox.push_back({to, std::move(message)});
        return;
    }
    if (mayAnswerNow(now)) {
        auto message = compose(CatalogueMessageKind::Part);
        message.part = makePart(change, 0);
        outbox.push_back({to, std::move(message)});
    }
}

void CatalogueSync::Impl::onPart(HostId from, const ShardPart &part, Time now, Outbox<CatalogueMessage> &outbox)
{
    if (part.parts <= 1) {
        onWholeChange(from, part, now, outbox);
    } else {
        collect(from, part, now, outbox);
    }
}

void CatalogueSync::Impl::onWholeChange(HostId from, const ShardPart &change, Time now, Outbox<CatalogueMessage> &outbox)
{
    const auto shardHash = hashBytes(change.name);
    const auto before = heldRevision(shardHash);
    const auto result = store.applyChange(change);
    afterOffer(result, shardHash, before, from, outbox);
    const auto pull = pulls.find(shardHash);
    const bool pulled = pull != pulls.end() && (pull->second.peer == from || result == OfferResult::Applied);
    if (pulled) {
        pulls.erase(pull);
    }
    if (result == OfferResult::BaseMissing) {
        startPull(shardHash, from, before, now, outbox);
    } else if (result == OfferResult::Mismatch && change.base != 0) {
        startPull(shardHash, from, 0, now, outbox);
    }
}

// Puts a change together that comes in several parts, in their order.
void CatalogueSync::Impl::collect(HostId from, const ShardPart &part, Time now, Outbox<CatalogueMessage> &outbox)
{
    const auto shardHash = hashBytes(part.name);
    const auto found = pulls.find(shardHash);
    if (found == pulls.end() || found->second.peer != from) {
        return;
    }
    auto &pull = found->second;
    // Step 1. Another revision than before: start again.
    const bool goesOn = pull.received.revision == part.revision && pull.received.content == part.content && pull.received.base == part.base
                        && pull.received.parts == part.parts;
    if (part.part == 0 && !goesOn) {
        pull.received = part;
        pull.nextPart = 1;
    } else if (goesOn && part.part == pull.nextPart) {
        appendPieces(pull.received.services, part.services);
        ++pull.nextPart;
    } else {
        return;
    }
    // Step 2. Ask for the next part, or apply the whole.
    pull.tries = 0;
    if (pull.nextPart < part.parts) {
        askForPart(shardHash, pull, now, outbox);
        return;
    }
    const auto change = std::move(pull.received);
    pulls.erase(found);
    onWholeChange(from, change, now, outbox);
}

} // namespace medlarway
