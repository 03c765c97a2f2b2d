#pragma once

#include "base/time.h"
#include "guard/verdict.h"

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

namespace medlarway
{

/// The largest response body that is stored for repeats.
inline constexpr std::size_t kMaxStoredBodyBytes = 256U << 10U;

/// A response as it was sent to the caller.
struct StoredResponse {
    unsigned status = 0;
    std::string fields; ///< header fields without framing, each terminated by CRLF
    std::string body;

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

/// Stores the responses to protected requests with an idempotency key for the key's window, within a limit of bytes. On a
/// host without a cluster it also records which keys were granted a run. Nothing is persistent: it is lost with the process.
class ResponseStore
{
public:
    explicit ResponseStore(std::size_t bytes);

    /// Decides, without a cluster, whether a key may run, and records the grant.
    GuardVerdict admit(const GuardKey &key, Duration window, Time now);

    /// Removes a key whose request did not run.
    void release(const GuardKey &key);

    /// Stores a response. Returns false if it is too large, the store is full or the key already has one. Never evicts others.
    bool store(const GuardKey &key, StoredResponse response, Duration window, Time now);

    /// The response stored for a key; null if there is none.
    std::shared_ptr<const StoredResponse> find(const GuardKey &key, Time now) const;

    void sweep(Time now);

private:
    struct Entry {
        Time expiry;
        std::shared_ptr<const StoredResponse> response; ///< null while the request runs or if its response was not stored
    };

    const std::size_t maxBytes_;
    std::size_t usedBytes_ = 0;
    struct KeyHash {
        std::size_t operator()(const GuardKey &key) const noexcept
        {
            return key.keyHigh ^ key.service;
        }
    };

    std::unordered_map<GuardKey, Entry, KeyHash> entries_;
};

} // namespace medlarway
