#include "load_exchange/message.h"

#include <numeric>

namespace medlarway
{

namespace
{

// Size of a CBOR number; also of the head of a string or list of this length.
std::size_t sizeOf(std::uint64_t number)
{
    if (number < 24) {
        return 1;
    }
    if (number <= 0xff) {
        return 2;
    }
    if (number <= 0xffff) {
        return 3;
    }
    return number <= 0xffffffff ? 5 : 9;
}

std::size_t sizeOf(const std::string &text)
{
    return sizeOf(text.size()) + text.size();
}

std::size_t sizeOf(const HostDemand &demand);
std::size_t sizeOf(const ZoneSums &sums);

template<class T>
std::size_t sizeOf(const std::vector<T> &list)
{
    return std::accumulate(list.begin(), list.end(), sizeOf(list.size()),
                           [](std::size_t sum, const T &element) { return sum + sizeOf(element); });
}

std::size_t sizeOf(const HostDemand &demand)
{
    return 1 + sizeOf(demand.host.value) + sizeOf(std::uint64_t{demand.ageMs}) + sizeOf(demand.hundredths);
}

std::size_t sizeOf(const ZoneSums &sums)
{
    return 1 + sizeOf(sums.zone) + sizeOf(std::uint64_t{sums.ageMs}) + sizeOf(sums.hundredths) + sizeOf(sums.hosts);
}

} // namespace

std::size_t encodedBytes(const DemandReport &report)
{
    return 1 + sizeOf(std::uint64_t{report.number}) + sizeOf(std::uint64_t{report.intervalMs}) + sizeOf(report.services)
           + sizeOf(report.hosts) + sizeOf(report.zones);
}

std::size_t encodedBytes(const DemandReply &reply)
{
    return 1 + sizeOf(std::uint64_t{reply.number}) + sizeOf(std::uint64_t{reply.heldMs}) + sizeOf(std::uint64_t{reply.nextMs})
           + sizeOf(reply.zones);
}

} // namespace medlarway
