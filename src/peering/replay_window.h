#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace medlarway
{

/// Tracks which sequence numbers of one sender have been received. Within a boot, a sender's sequence numbers start
/// at 1; a later boot has a higher boot number and restarts them.
class ReplayWindow
{
public:
    /// Window size: a message is too old if it is this far or further behind the highest sequence number.
    static constexpr std::size_t kWidth = 512;

    /// Returns true for a new message and records it. Returns false for a duplicate, for a message outside the window,
    /// and for a message from an earlier boot.
    bool accept(std::uint64_t boot, std::uint64_t sequence);

    /// The highest boot number received; 0 if there is none.
    std::uint64_t boot() const
    {
        return boot_;
    }

private:
    std::uint64_t boot_ = 0;
    std::uint64_t highest_ = 0;
    std::bitset<kWidth> received_; ///< received sequence numbers, indexed modulo kWidth
};

} // namespace medlarway
