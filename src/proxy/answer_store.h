#pragma once

#include "base/time.h"
#include "guard/verdict.h"

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

namespace medlarway
{

/// Largest answer that is kept for a repeat.
inline constexpr std::size_t kKeptAnswerBytes = 256U << 10U;

/// An answer as it went to its caller.
struct KeptAnswer {
    unsigned status = 0;
    std::string fields; ///< header lines that describe the answer, each ended by CRLF
    std::string body;

    friend bool operator==(const KeptAnswer &, const KeptAnswer &) = default;
};

/// Answers to protected requests with a key, kept for the key's window within a bound of bytes, and, on a host
/// without a cluster, which keys were let run. Memory of a window, not a store: it ends with the process.
class AnswerStore
{
public:
    explicit AnswerStore(std::size_t bytes);

    /// Decides alone whether a key may run, and remembers that it does.
    GuardVerdict admit(const GuardKey &key, Duration window, Time now);

    /// The request of an admitted key did not run after all.
    void release(const GuardKey &key);

    /// Keeps an answer. False where it is too large or there is no room; older ones are never pushed out.
    bool keep(const GuardKey &key, KeptAnswer answer, Duration window, Time now);

    /// The answer of a key; null where none is kept.
    std::shared_ptr<const KeptAnswer> find(const GuardKey &key, Time now) const;

    void sweep(Time now);

private:
    struct Entry {
        Time ends;
        std::shared_ptr<const KeptAnswer> answer; ///< null while it runs or where it wasn't kept
    };

    const std::size_t limit_;
    std::size_t bytes_ = 0;
    struct KeyHash {
        std::size_t operator()(const GuardKey &key) const noexcept
        {
            return key.keyHigh ^ key.service;
        }
    };

    std::unordered_map<GuardKey, Entry, KeyHash> entries_;
};

} // namespace medlarway
