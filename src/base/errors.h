#pragma once

#include "base/counters.h"
#include "base/log.h"

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace medlarway
{

/// Everything that can go wrong. The list is closed; error_table.cpp has a row for each.
enum class ErrorKind : std::uint8_t {
    // What callers send.
    MalformedRequest,
    HeadTooLarge,
    BodyTooLarge,
    RequestTooSlow,
    // Refusals before any byte went to an upstream.
    QueueFull,
    DeadlineUnreachable,
    CallerOverShare,
    NoUpstream,
    ConnectionLimit,
    Draining,
    ConnectFailed,
    UpstreamShed,
    GuardUnavailable,
    // Failures after a byte may have reached an upstream.
    UpstreamLost,
    UpstreamBadAnswer,
    DeadlinePassed,
    KeyMayHaveRun,
    AnswerCut,
    // Flows and datagrams.
    FlowTableFull,
    DatagramTooLarge,
    HopLimit,
    // Operators' input.
    BadSettings,
    BadCatalogue,
    BadUpstreamEntry,
    BadEvacuation,
    AddressTaken,
    // The platform.
    PlatformUnreachable,
    PlatformBadAnswer,
    StaleRevision,
    // Peers.
    PeerMalformed,
    PeerUnauthenticated,
    PeerReplayed,
    PeerStaleBoot,
    PeerOversized,
    PeerOverBudget,
    // The process itself.
    RingFull,
    Internal,
    Count, ///< how many there are
};

/// What a caller may conclude about its request.
enum class Outcome : std::uint8_t {
    None, ///< no caller's request is concerned
    NotRun, ///< the request did not run
    Unknown, ///< the request may have run
};

/// What happens to the caller's stream or flow.
enum class StreamBehaviour : std::uint8_t {
    None, ///< no stream is concerned
    Close, ///< closed in order, before a byte of the upstream's
    Reset, ///< reset, so that a cut answer can't pass for a whole one
    Drop, ///< the datagram or message is dropped
};

/// The answer to one kind of error.
struct ErrorRow {
    ErrorKind kind;
    std::string_view name;
    int httpStatus; ///< 0 where no HTTP answer is made
    Outcome outcome;
    StreamBehaviour stream;
    Event event;
    Counter counter;
};

/// All rows, in the order of the kinds.
std::span<const ErrorRow> allErrorRows();

/// The row of a kind.
const ErrorRow &errorRow(ErrorKind kind);

/// The value of the Medlarway-Outcome header: "not-run", "unknown" or "".
std::string_view outcomeName(Outcome outcome);

/// Counts and logs an error by its row.
void reportError(ErrorKind kind, std::string_view detail);

/// The only exception that the libraries throw.
class Error : public std::runtime_error
{
public:
    Error(ErrorKind kind, const std::string &detail)
        : std::runtime_error(detail)
        , kind_(kind)
    {
    }

    ErrorKind kind() const
    {
        return kind_;
    }

private:
    ErrorKind kind_;
};

} // namespace medlarway
