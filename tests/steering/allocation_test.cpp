// Counts the allocations of the packet path. The program's operator new is replaced, so this holds for all tests of the program.
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

// How many allocations something makes.
template<class Action>
std::size_t allocationsOf(Action action)
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
            const auto step = steering.onPacket(client.open(), at(0s));
            steering.onPacket(client.acknowledge(steering.directory().at(step.upstream).token), at(3ms));
        }
    };

    SUBCASE("allocates for an opening only what makes the table of flows grow")
    {
        CHECK(allocationsOf(openAll) <= 20); // it doubles: nine times for 500 flows, and once for the route's usage
    }
    SUBCASE("allocates nothing for a packet of a known flow")
    {
        openAll();
        const auto made = allocationsOf([&] {
            for (int round = 0; round < 20; ++round) {
                for (auto &client : clients) {
                    steering.onPacket(client.request(), at(10ms));
                    steering.onPacket(client.takeAnswer(), at(40ms));
                }
            }
        });
        CHECK(made == 0);
    }
    SUBCASE("allocates nothing for a flow that comes back once it is known, and for one that ends")
    {
        openAll();
        const auto made = allocationsOf([&] {
            for (auto &client : clients) {
                steering.onPacket(client.finish(), at(1s));
                steering.onPacket(client.finish(), at(1s));
            }
        });
        CHECK(made == 0);
    }
}
