#pragma once

#include "base/endpoint.h"
#include "base/time.h"
#include "platform/source.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// How the platform's HTTP service is read. docs/PLATFORM.md is the contract.
struct HttpSourceOptions {
    Endpoint address;
    std::uint64_t seed = 1; ///< of the jitter
    Duration wait = std::chrono::seconds{30}; ///< how long the platform may hold a watch; whole seconds
    Duration answerTimeout = std::chrono::seconds{5}; ///< beyond the wait
    Duration connectTimeout = std::chrono::seconds{2};
    Duration shortestBackOff = std::chrono::milliseconds{500};
    Duration longestBackOff = std::chrono::seconds{30};
    Duration readInterval = std::chrono::milliseconds{100}; ///< least time between two reads of one key
};

/// What an answer means.
enum class AnswerKind : std::uint8_t {
    Newer, ///< a later revision
    NotNewer, ///< nothing later yet
    Stale, ///< a revision below one that was read before; never applied
    Refused, ///< a later revision whose value has faults; the last good one stays
    Unreadable, ///< not an answer as the contract has it
};

/// An answer of the platform, taken apart.
struct PlatformAnswer {
    AnswerKind kind = AnswerKind::Unreadable;
    std::uint64_t revision = 0;
    std::optional<PlatformUpdate> update; ///< only where it is newer
    std::string detail; ///< what is wrong, where something is
};

/// Takes apart an answer to the read of a key. Never throws.
PlatformAnswer interpretAnswer(const std::string &key, std::uint64_t knownRevision, unsigned status, std::string_view revision,
                               std::string_view value);

/// Reads and watches the keys by HTTP.
std::unique_ptr<PlatformSource> makeHttpSource(boost::asio::io_context &context, HttpSourceOptions options, PlatformSink sink);

} // namespace medlarway
