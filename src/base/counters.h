#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace medlarway
{

/// Every counter of the process; counters.inc has their exported names and meaning.
enum class Counter : std::uint8_t {
#define X(name, exported, help) name,
#include "base/counters.inc"
#undef X
    Count, ///< how many there are
};

/// Adds to a counter. Any thread may call it; it never blocks.
void count(Counter counter, std::uint64_t amount = 1);

/// The counter's value since the start of the process.
std::uint64_t counterValue(Counter counter);

/// The counter's exported name, without the prefix "medlarway_".
std::string_view counterName(Counter counter);

/// All counters in the Prometheus text format.
std::string countersAsText();

} // namespace medlarway
