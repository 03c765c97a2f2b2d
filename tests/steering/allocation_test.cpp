// Guards against heap allocations on the packet path. The replaced operator new also counts for the other tests of this program.
#include "steering_fixture.h"

#include <atomic>
#include <cstdlib>
#include <doctest/doctest.h>
#include <new>

using namespace medlarway;
using namespace medlarway::steering_test;

namespace
{

std::atomic<std::size_t> allocations{0};

void *allocate(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) { // NOLINT(cppcoreguidelines-no-malloc)
        return memory;
    }
    throw std::bad_alloc();
}

// Number of allocations made by the action.
template<class Action>
std::size_t countAllocations(Action action)
{
    const auto before = allocations.load();
    action();
    return allocations - before;
}

} // namespace

void *operator new(std::size_t size)
{
    return allocate(size);
}

void *operator new[](std::size_t size)
{
    return allocate(size);
}

void operator delete(void *memory) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete[](void *memory) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete[](void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

TEST_CASE("the packet path")
{
    auto steering = makeSteering();
    for (std::uint32_t number = 1; number <= 18; ++number) {
        steering.directory().apply(entryOf("i-" + std::to_string(number), number, "registry", number % 2 == 0 ? "a" : "b"), at(0s));
    }
    constexpr std::uint16_t kFlows = 500;
    std::vector<Client> clients;
    for (std::uint16_t port = 1; port <= kFlows; ++port) {
        clients.emplace_back(port);
    }
    const auto openAll = [&] {
        for (auto &client : clients) {
            const auto decision = steering.onPacket(client.syn(), at(0s));
            steering.onPacket(client.acknowledge(steering.directory().at(decision.upstream).token), at(3ms));
        }
    };

    SUBCASE("allocates for a SYN only when the flow table grows")
    {
        CHECK(countAllocations(openAll) <= 20); // the table doubles nine times for 500 flows; one more is for the route's usage
    }
    SUBCASE("allocates nothing for a packet of a flow in the table")
    {
        openAll();
        const auto allocated = countAllocations([&] {
            for (int round = 0; round < 20; ++round) {
                for (auto &client : clients) {
                    steering.onPacket(client.request(), at(10ms));
                    steering.onPacket(client.acknowledgeResponse(), at(40ms));
                }
            }
        });
        CHECK(allocated == 0);
    }
    SUBCASE("allocates nothing for a FIN and its retransmission")
    {
        openAll();
        const auto allocated = countAllocations([&] {
            for (auto &client : clients) {
                steering.onPacket(client.fin(), at(1s));
                steering.onPacket(client.fin(), at(1s));
            }
        });
        CHECK(allocated == 0);
    }
}
