#include "catalogue/reader_rank.h"

#include "base/hash.h"

#include <algorithm>

namespace medlarway
{

namespace
{

struct Rank {
    bool passedOver = false;
    std::uint64_t weight = 0;
    HostId host;
};

// Hosts that are alive go first, then the higher weight.
bool goesBefore(const Rank &first, const Rank &second)
{
    if (first.passedOver != second.passedOver) {
        return second.passedOver;
    }
    if (first.weight != second.weight) {
        return first.weight > second.weight;
    }
    return first.host < second.host;
}

Rank rankOf(const Member &member, std::uint64_t shardHash)
{
    return Rank{member.state != HostState::Alive, combineHash(shardHash, member.id.value), member.id};
}

} // namespace

bool isReader(const std::vector<Member> &members, HostId host, std::uint64_t shardHash, std::uint32_t readersPerZone)
{
    const auto own = std::find_if(members.begin(), members.end(), [host](const Member &member) { return member.id == host; });
    if (own == members.end()) {
        return false;
    }
    const auto ownRank = rankOf(*own, shardHash);
    std::uint32_t before = 0;
    for (const auto &member : members) {
        if (member.zone == own->zone && goesBefore(rankOf(member, shardHash), ownRank)) {
            ++before;
        }
    }
    return before < readersPerZone;
}

} // namespace medlarway
