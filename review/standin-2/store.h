#pragma once

#include "loop.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace lab
{

/// A stand-in for the platform's store: items, range reads and watches. Each host has a link of its own to it, whose responses can be
/// delayed.
class Store
{
public:
    explicit Store(Loop &loop);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    /// Adds a link and returns the address at which the store listens for it. Links are numbered from 0.
    Address addLink();

    /// Delays the responses on a link from now on.
    void setDelay(std::size_t link, Milliseconds delay);

    /// Writes or removes an item, which the store thereby acknowledges.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// When the watch arrived that is pending on the link; nullopt if none is.
    std::optional<Time> pendingWatchSince(std::size_t link) const;

    /// Number of calls on the link.
    std::size_t calls(std::size_t link) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lab
