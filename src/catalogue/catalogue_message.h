#pragma once

#include "catalogue/service.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// What one host holds of one shard, in few bytes.
struct ShardDigest {
    std::uint64_t shard = 0; ///< hash of the name
    std::uint64_t revision = 0;
    std::uint32_t content = 0; ///< upper half of the content's hash

    friend bool operator==(const ShardDigest &, const ShardDigest &) = default;
};

/// Asks for one part of a shard's change since a revision.
struct ShardPull {
    std::uint64_t shard = 0; ///< hash of the name
    std::uint64_t base = 0; ///< the revision that is held; 0 asks for all
    std::uint64_t revision = 0; ///< of the transfer that goes on; 0 for the first part
    std::uint64_t content = 0;
    std::uint32_t part = 0;

    friend bool operator==(const ShardPull &, const ShardPull &) = default;
};

/// One part of a shard's change. Services that follow each other with the same name are
/// pieces of one, with further upstreams.
struct ShardPart {
    std::string name;
    std::uint64_t base = 0; ///< the change is against this revision; 0 for a whole shard
    std::uint64_t revision = 0;
    std::uint64_t content = 0; ///< hash of the whole shard's content at the revision
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    bool removed = false; ///< the shard was removed at the revision
    std::vector<Service> services; ///< changed or new ones
    std::vector<std::string> removedServices; ///< in part 0 only

    friend bool operator==(const ShardPart &, const ShardPart &) = default;
};

/// What a catalogue message asks or answers.
enum class CatalogueMessageKind : std::uint8_t {
    Digest, ///< some of what the sender holds
    Ask, ///< a host that starts asks for all digests
    Answer, ///< answers an Ask; the last one says so
    Pull,
    Part,
};

/// The highest values that a message may carry.
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

/// The one message between two catalogue cores. A plain aggregate under kCatalogueMessageBytes.
struct CatalogueMessage {
    CatalogueMessageKind kind = CatalogueMessageKind::Digest;
    std::uint64_t root = 0; ///< hash over all that the sender holds
    bool replyWanted = false; ///< of a Digest: answer with one where the roots differ
    bool last = false; ///< of an Answer
    bool settled = false; ///< the sender has asked its own peers
    std::vector<ShardDigest> digests;
    std::optional<ShardPull> pull;
    std::optional<ShardPart> part;

    friend bool operator==(const CatalogueMessage &, const CatalogueMessage &) = default;
};

/// No message is larger once encoded.
inline constexpr std::size_t kCatalogueMessageBytes = 16384;

} // namespace medlarway
