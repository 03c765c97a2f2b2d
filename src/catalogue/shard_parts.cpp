#include "catalogue/shard_parts.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// A part stays well below the bound of a message, since sizes are estimates.
constexpr std::size_t kPartBytes = 10000;
constexpr std::size_t kServiceBytes = 128; // all but names and upstreams
constexpr std::size_t kUpstreamBytes = 16; // all but the zone's name

std::size_t upstreamBytes(const Upstream &upstream)
{
    return kUpstreamBytes + upstream.zone.name.size();
}

std::size_t headBytes(const Service &service)
{
    return kServiceBytes + service.name.size() + service.owner.size();
}

// A run of upstreams of one service.
struct Piece {
    const Service *service = nullptr;
    std::size_t first = 0;
    std::size_t last = 0; // one past the end
};

// Lays the pieces of a change out over its parts, in order.
std::vector<std::vector<Piece>> layOut(const ShardChange &change)
{
    std::vector<std::vector<Piece>> parts(1);
    std::size_t used = 0;
    for (const auto &name : change.removedServices) {
        used += name.size() + 2;
    }
    for (const auto *service : change.services) {
        std::size_t next = 0;
        do {
            auto size = headBytes(*service);
            const std::size_t first = next;
            if (used > 0 && used + size > kPartBytes) {
                parts.emplace_back();
                used = 0;
            }
            while (next < service->upstreams.size()) {
                const auto more = upstreamBytes(service->upstreams[next]);
                if (used + size + more > kPartBytes && next > first) {
                    break;
                }
                size += more;
                ++next;
            }
            parts.back().push_back(Piece{service, first, next});
            used += size;
        } while (next < service->upstreams.size());
    }
    return parts;
}

Service copyPiece(const Piece &piece)
{
    const auto &whole = *piece.service;
    Service result{whole.name, whole.owner, whole.serviceClass, whole.kind, whole.address, {}, whole.limits};
    const auto begin = whole.upstreams.begin();
    result.upstreams.assign(begin + static_cast<std::ptrdiff_t>(piece.first), begin + static_cast<std::ptrdiff_t>(piece.last));
    return result;
}

} // namespace

std::size_t estimateBytes(const Service &service)
{
    std::size_t bytes = headBytes(service);
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
    return static_cast<std::uint32_t>(layOut(change).size());
}

ShardPart makePart(const ShardChange &change, std::uint32_t index)
{
    const auto parts = layOut(change);
    const auto &held = *change.held;
    ShardPart result;
    result.name = held.shard.name;
    result.base = change.base;
    result.revision = held.shard.revision;
    result.content = held.content;
    result.part = std::min(index, static_cast<std::uint32_t>(parts.size() - 1));
    result.parts = static_cast<std::uint32_t>(parts.size());
    result.removed = held.removed;
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
