#include "catalogue/reader_rank.h"

#include "base/hash.h"

#include <algorithm>

namespace medlarway
{

namespace
{

struct Rank {
    bool notAlive = false;
    std::uint64_t weight = 0;
    HostId host;
};

// Hosts that are alive rank first, then those with a higher weight.
bool ranksBefore(const Rank &first, const Rank &second)
{
    if (first.notAlive != second.notAlive) {
        return second.notAlive;
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
    std::uint32_t higherRanked = 0;
    for (const auto &member : members) {
        if (member.zone == own->zone && ranksBefore(rankOf(member, shardHash), ownRank)) {
            ++higherRanked;
        }
    }
    return higherRanked < readersPerZone;
}

} // namespace medlarway
