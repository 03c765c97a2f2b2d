#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace medlarway
{

/// Remembers which sequence numbers of one sender were seen. A sender counts from 1 within a boot;
/// a later boot has a higher number and starts again.
class ReplayWindow
{
public:
    /// How far behind the newest message a late one may come.
    static constexpr std::size_t kWidth = 512;

    /// True where the message is new; it is then remembered. False for a repeat, for one too far
    /// behind, and for one of an earlier boot.
    bool accept(std::uint64_t boot, std::uint64_t sequence);

    /// The highest boot number seen.
    std::uint64_t boot() const
    {
        return boot_;
    }

private:
    std::uint64_t boot_ = 0;
    std::uint64_t newest_ = 0;
    std::bitset<kWidth> seen_; ///< by sequence modulo the width
};

} // namespace medlarway
