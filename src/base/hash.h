#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace medlarway
{

/// The increment of the splitmix64 sequence.
inline constexpr std::uint64_t kGoldenGamma = 0x9e3779b97f4a7c15ULL;

/// The finaliser of splitmix64: spreads every input bit over the result.
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// A hash of two numbers, order matters.
constexpr std::uint64_t combineHash(std::uint64_t first, std::uint64_t second)
{
    return mixBits(first + kGoldenGamma + mixBits(second + kGoldenGamma));
}

/// XXH3 of the bytes; the same on every host.
std::uint64_t hashBytes(std::string_view bytes);

} // namespace medlarway
