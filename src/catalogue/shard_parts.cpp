#include "catalogue/shard_parts.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// Maximum estimated size of a part; well below kCatalogueMessageBytes, since sizes are estimates.
constexpr std::size_t kMaxPartBytes = 10000;
constexpr std::size_t kServiceBaseBytes = 128; // without names and upstreams
constexpr std::size_t kUpstreamBaseBytes = 16; // without the zone name

std::size_t upstreamBytes(const Upstream &upstream)
{
    return kUpstreamBaseBytes + upstream.zone.name.size();
}

std::size_t baseBytes(const Service &service)
{
    return kServiceBaseBytes + service.name.size() + service.owner.size();
}

// A range of the upstreams of one service.
struct Piece {
    const Service *service = nullptr;
    std::size_t first = 0;
    std::size_t end = 0; // index past the last upstream
};

// Splits the services of a change into pieces, and distributes these over parts, in order.
std::vector<std::vector<Piece>> splitIntoParts(const ShardChange &change)
{
    std::vector<std::vector<Piece>> parts(1);
    std::size_t partBytes = 0;
    for (const auto &name : change.removedServices) {
        partBytes += name.size() + 2;
    }
    for (const auto *service : change.services) {
        std::size_t next = 0;
        do {
            auto size = baseBytes(*service);
            const std::size_t first = next;
            if (partBytes > 0 && partBytes + size > kMaxPartBytes) {
                parts.emplace_back();
                partBytes = 0;
            }
            while (next < service->upstreams.size()) {
                const auto upstreamSize = upstreamBytes(service->upstreams[next]);
                if (partBytes + size + upstreamSize > kMaxPartBytes && next > first) {
                    break;
                }
                size += upstreamSize;
                ++next;
            }
            parts.back().push_back(Piece{service, first, next});
            partBytes += size;
        } while (next < service->upstreams.size());
    }
    return parts;
}

Service copyPiece(const Piece &piece)
{
    const auto &whole = *piece.service;
    Service result{whole.name, whole.owner, whole.serviceClass, whole.kind, whole.address, {}, whole.limits};
    const auto begin = whole.upstreams.begin();
    result.upstreams.assign(begin + static_cast<std::ptrdiff_t>(piece.first), begin + static_cast<std::ptrdiff_t>(piece.end));
    return result;
}

} // namespace

std::size_t estimateBytes(const Service &service)
{
    std::size_t bytes = baseBytes(service);
    for (const auto &upstream : service.upstreams) {
        bytes += upstreamBytes(upstream);
    }
    return bytes;
}

std::size_t estimateBytes(const ShardChange &change)
{
    std::size_t bytes = 0;
    for (const auto *service : change.services) {
        bytes += estimateBytes(*service);
    }
    for (const auto &name : change.removedServices) {
        bytes += name.size() + 2;
    }
    return bytes;
}

std::uint32_t countParts(const ShardChange &change)
{
    return static_cast<std::uint32_t>(splitIntoParts(change).size());
}

ShardPart makePart(const ShardChange &change, std::uint32_t index)
{
    const auto parts = splitIntoParts(change);
    const auto &stored = *change.stored;
    ShardPart result;
    result.name = stored.shard.name;
    result.base = change.base;
    result.revision = stored.shard.revision;
    result.content = stored.content;
    result.part = std::min(index, static_cast<std::uint32_t>(parts.size() - 1));
    result.parts = static_cast<std::uint32_t>(parts.size());
    result.removed = stored.removed;
    for (const auto &piece : parts[result.part]) {
        result.services.push_back(copyPiece(piece));
    }
    if (result.part == 0) {
        result.removedServices = change.removedServices;
    }
    return result;
}

void appendPieces(std::vector<Service> &services, std::vector<Service> pieces)
{
    for (auto &piece : pieces) {
        if (services.empty() || services.back().name != piece.name) {
            services.push_back(std::move(piece));
            continue;
        }
        auto &upstreams = services.back().upstreams;
        upstreams.insert(upstreams.end(), piece.upstreams.begin(), piece.upstreams.end());
    }
}

} // namespace medlarway
