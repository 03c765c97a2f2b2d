#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace medlarway
{

/// A bounded queue from one thread to another. A full ring refuses and counts; it never blocks.
template<class T>
class Ring
{
public:
    explicit Ring(std::size_t capacity)
        : queue_(capacity)
    {
    }

    /// Called by the producer only. False where the ring is full.
    bool push(T value)
    {
        if (queue_.push(std::move(value))) {
            return true;
        }
        refused_.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Called by the consumer only. nullopt where the ring is empty.
    std::optional<T> pop()
    {
        std::optional<T> result;
        queue_.consume_one([&result](T &value) { result.emplace(std::move(value)); });
        return result;
    }

    /// How many values were refused since the start. Any thread may ask.
    std::uint64_t refused() const
    {
        return refused_.load(std::memory_order_relaxed);
    }

private:
    boost::lockfree::spsc_queue<T> queue_;
    std::atomic<std::uint64_t> refused_{0};
};

} // namespace medlarway
