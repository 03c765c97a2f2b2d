#include "base/errors.h"

#include <array>

namespace medlarway
{

namespace
{

using enum Outcome;
using Stream = StreamBehaviour;

// The one place that says what a caller, the log and the counters are told of each kind.
// clang-format off
constexpr std::array kRows{
    ErrorRow{ErrorKind::MalformedRequest, "malformed-request", 400, NotRun, Stream::Close, Event::BadRequest, Counter::BadRequests},
    ErrorRow{ErrorKind::HeadTooLarge, "head-too-large", 431, NotRun, Stream::Close, Event::BadRequest, Counter::BadRequests},
    ErrorRow{ErrorKind::BodyTooLarge, "body-too-large", 413, NotRun, Stream::Close, Event::BadRequest, Counter::BadRequests},
    ErrorRow{ErrorKind::RequestTooSlow, "request-too-slow", 408, NotRun, Stream::Close, Event::BadRequest, Counter::BadRequests},
    ErrorRow{ErrorKind::QueueFull, "queue-full", 503, NotRun, Stream::Close, Event::RequestRefused, Counter::QueueRefusals},
    ErrorRow{ErrorKind::DeadlineUnreachable, "deadline-unreachable", 503, NotRun, Stream::Close, Event::RequestRefused, Counter::QueueRefusals},
    ErrorRow{ErrorKind::CallerOverShare, "caller-over-share", 429, NotRun, Stream::Close, Event::RequestRefused, Counter::CallerRefusals},
    ErrorRow{ErrorKind::NoUpstream, "no-upstream", 503, NotRun, Stream::Close, Event::RequestRefused, Counter::QueueRefusals},
    ErrorRow{ErrorKind::ConnectionLimit, "connection-limit", 503, NotRun, Stream::Close, Event::RequestRefused, Counter::QueueRefusals},
    ErrorRow{ErrorKind::Draining, "draining", 503, NotRun, Stream::Close, Event::RequestRefused, Counter::QueueRefusals},
    ErrorRow{ErrorKind::ConnectFailed, "connect-failed", 503, NotRun, Stream::Close, Event::RequestRefused, Counter::UpstreamFailures},
    ErrorRow{ErrorKind::UpstreamShed, "upstream-shed", 503, NotRun, Stream::Close, Event::RequestRefused, Counter::UpstreamSheds},
    ErrorRow{ErrorKind::GuardUnavailable, "guard-unavailable", 503, NotRun, Stream::Close, Event::GuardRefused, Counter::GuardRefusals},
    ErrorRow{ErrorKind::UpstreamLost, "upstream-lost", 502, Unknown, Stream::Reset, Event::RequestUnknown, Counter::UpstreamFailures},
    ErrorRow{ErrorKind::UpstreamBadAnswer, "upstream-bad-answer", 502, Unknown, Stream::Reset, Event::RequestUnknown, Counter::UpstreamFailures},
    ErrorRow{ErrorKind::DeadlinePassed, "deadline-passed", 504, Unknown, Stream::Reset, Event::RequestUnknown, Counter::UpstreamFailures},
    ErrorRow{ErrorKind::KeyMayHaveRun, "key-may-have-run", 502, Unknown, Stream::Close, Event::GuardRefused, Counter::GuardRefusals},
    ErrorRow{ErrorKind::AnswerCut, "answer-cut", 0, Unknown, Stream::Reset, Event::AnswerCut, Counter::AnswersCut},
    ErrorRow{ErrorKind::FlowTableFull, "flow-table-full", 0, NotRun, Stream::Drop, Event::FlowTableFull, Counter::FlowsRefused},
    ErrorRow{ErrorKind::DatagramTooLarge, "datagram-too-large", 0, NotRun, Stream::Drop, Event::DatagramDropped, Counter::DatagramsDropped},
    ErrorRow{ErrorKind::HopLimit, "hop-limit", 0, NotRun, Stream::Drop, Event::DatagramDropped, Counter::DatagramsDropped},
    ErrorRow{ErrorKind::BadSettings, "bad-settings", 0, None, Stream::None, Event::SettingsRefused, Counter::InternalFaults},
    ErrorRow{ErrorKind::BadCatalogue, "bad-catalogue", 0, None, Stream::None, Event::CatalogueRefused, Counter::CatalogueRefused},
    ErrorRow{ErrorKind::BadUpstreamEntry, "bad-upstream-entry", 0, None, Stream::None, Event::UpstreamEntryRefused, Counter::UpstreamEntriesRefused},
    ErrorRow{ErrorKind::BadEvacuation, "bad-evacuation", 0, None, Stream::None, Event::EvacuationRefused, Counter::EvacuationsRefused},
    ErrorRow{ErrorKind::AddressTaken, "address-taken", 0, None, Stream::None, Event::ListenFailed, Counter::InternalFaults},
    ErrorRow{ErrorKind::PlatformUnreachable, "platform-unreachable", 0, None, Stream::None, Event::PlatformUnreachable, Counter::PlatformFailures},
    ErrorRow{ErrorKind::PlatformBadAnswer, "platform-bad-answer", 0, None, Stream::None, Event::PlatformBadAnswer, Counter::PlatformFailures},
    ErrorRow{ErrorKind::StaleRevision, "stale-revision", 0, None, Stream::None, Event::CatalogueStale, Counter::CatalogueStale},
    ErrorRow{ErrorKind::PeerMalformed, "peer-malformed", 0, None, Stream::Drop, Event::PeerMessageRefused, Counter::PeerMessagesRefused},
    ErrorRow{ErrorKind::PeerUnauthenticated, "peer-unauthenticated", 0, None, Stream::Drop, Event::PeerMessageRefused, Counter::PeerMessagesRefused},
    ErrorRow{ErrorKind::PeerReplayed, "peer-replayed", 0, None, Stream::Drop, Event::PeerMessageRefused, Counter::PeerMessagesRefused},
    ErrorRow{ErrorKind::PeerStaleBoot, "peer-stale-boot", 0, None, Stream::Drop, Event::PeerMessageRefused, Counter::PeerMessagesRefused},
    ErrorRow{ErrorKind::PeerOversized, "peer-oversized", 0, None, Stream::Drop, Event::PeerMessageRefused, Counter::PeerMessagesRefused},
    ErrorRow{ErrorKind::PeerOverBudget, "peer-over-budget", 0, None, Stream::Drop, Event::PeerBudgetExceeded, Counter::PeerMessagesOverBudget},
    ErrorRow{ErrorKind::RingFull, "ring-full", 503, NotRun, Stream::Close, Event::RingFull, Counter::RingRefusals},
    ErrorRow{ErrorKind::Internal, "internal", 502, Unknown, Stream::Reset, Event::InternalFault, Counter::InternalFaults},
};
// clang-format on

static_assert(kRows.size() == static_cast<std::size_t>(ErrorKind::Count), "every kind of error has a row");

} // namespace

std::span<const ErrorRow> allErrorRows()
{
    return kRows;
}

const ErrorRow &errorRow(ErrorKind kind)
{
    return kRows.at(static_cast<std::size_t>(kind));
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case NotRun:
        return "not-run";
    case Unknown:
        return "unknown";
    case None:
        break;
    }
    return "";
}

void reportError(ErrorKind kind, std::string_view detail)
{
    const auto &row = errorRow(kind);
    count(row.counter);
    logEvent(row.event, {field("error", row.name), field("detail", detail)});
}

} // namespace medlarway
