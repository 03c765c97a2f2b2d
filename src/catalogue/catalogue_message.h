#pragma once

#include "catalogue/service.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// Identifies the version of a shard that a host has stored.
struct ShardDigest {
    std::uint64_t shard = 0; ///< hash of the name
    std::uint64_t revision = 0;
    std::uint32_t content = 0; ///< upper half of the content hash

    friend bool operator==(const ShardDigest &, const ShardDigest &) = default;
};

/// Requests one part of the change of a shard since a revision.
struct ShardPull {
    std::uint64_t shard = 0; ///< hash of the name
    std::uint64_t base = 0; ///< the revision that the sender has stored; 0 requests the whole shard
    std::uint64_t revision = 0; ///< revision of the transfer in progress; 0 when requesting the first part
    std::uint64_t content = 0; ///< content hash of the transfer in progress
    std::uint32_t part = 0; ///< index of the requested part

    friend bool operator==(const ShardPull &, const ShardPull &) = default;
};

/// One part of the change of a shard. Consecutive services with the same name are pieces of one service, each
/// with a further range of its upstreams.
struct ShardPart {
    std::string name;
    std::uint64_t base = 0; ///< the revision that the change applies to; 0 for a whole shard
    std::uint64_t revision = 0;
    std::uint64_t content = 0; ///< content hash of the whole shard at the revision
    std::uint32_t part = 0;
    std::uint32_t parts = 1; ///< number of parts of the change
    bool removed = false; ///< true if the shard was removed at the revision
    std::vector<Service> services; ///< changed and added services
    std::vector<std::string> removedServices; ///< in part 0 only

    friend bool operator==(const ShardPart &, const ShardPart &) = default;
};

/// Kinds of catalogue messages. The values are part of the encoding.
enum class CatalogueMessageKind : std::uint8_t {
    Digest, ///< digests of some of the stored shards
    DigestRequest, ///< requests the digests of all shards; sent during the initial synchronisation
    DigestResponse, ///< response to a DigestRequest, in one or more messages
    Pull, ///< requests a part of a shard
    Part, ///< a part of a shard; response to a Pull, or pushed
};

/// The highest values that are valid in a message.
constexpr CatalogueMessageKind highestOf(CatalogueMessageKind /*type*/)
{
    return CatalogueMessageKind::Part;
}
constexpr ServiceKind highestOf(ServiceKind /*type*/)
{
    return ServiceKind::Datagram;
}
constexpr ServiceClass highestOf(ServiceClass /*type*/)
{
    return ServiceClass::Feed;
}

/// A message between the CatalogueSync of two hosts. A plain aggregate of at most kCatalogueMessageBytes when encoded.
struct CatalogueMessage {
    CatalogueMessageKind kind = CatalogueMessageKind::Digest;
    std::uint64_t root = 0; ///< ShardStore::root of the sender
    bool replyWanted = false; ///< in a Digest: reply with a Digest if the roots differ
    bool isLast = false; ///< in a DigestResponse: true in its last message
    bool synced = false; ///< the sender has completed its initial synchronisation
    std::vector<ShardDigest> digests;
    std::optional<ShardPull> pull;
    std::optional<ShardPart> part;

    friend bool operator==(const CatalogueMessage &, const CatalogueMessage &) = default;
};

/// Maximum size of an encoded message.
inline constexpr std::size_t kCatalogueMessageBytes = 16384;

} // namespace medlarway
