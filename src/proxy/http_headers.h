#pragma once

#include "base/endpoint.h"
#include "base/errors.h"
#include "base/time.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

namespace http = boost::beast::http;

using RequestHead = http::request_header<>;
using AnswerHead = http::response_header<>;

/// How a body's end is told.
enum class BodyKind : std::uint8_t {
    None,
    Length,
    Chunked,
    UntilClose,
};

/// A body's extent on one connection.
struct BodyFraming {
    BodyKind kind = BodyKind::None;
    std::uint64_t length = 0; ///< of kind Length

    friend bool operator==(const BodyFraming &, const BodyFraming &) = default;
};

/// The framing of a request whose head was checked.
BodyFraming requestFraming(const RequestHead &head);

/// The framing of a checked answer to a request of the method.
BodyFraming answerFraming(const AnswerHead &head, http::verb method);

/// What an answer without a body says of the one that a GET would get: its length, where it is told.
BodyFraming declaredFraming(const AnswerHead &head);

/// The framing that the caller gets for an upstream's: chunks replace a close where the caller knows them.
BodyFraming framingForCaller(const BodyFraming &fromUpstream, bool callerKnowsChunks);

/// What the head towards an upstream needs besides the caller's own.
struct ForwardContext {
    Endpoint caller;
    std::optional<Duration> timeLeft; ///< until the deadline
    BodyFraming body;
    bool keepAlive = false;
};

/// The request head for the upstream: hop-by-hop fields dropped, Forwarded and deadline added.
std::string writeRequestHead(const RequestHead &head, const ForwardContext &context);

/// The fields of an answer that describe it: all but hop-by-hop and framing ones, each ended by CRLF.
std::string writeAnswerFields(const AnswerHead &head);

/// The answer head for the caller.
std::string writeAnswerHead(unsigned status, std::string_view reason, std::string_view fields, const BodyFraming &body, bool close);

/// An answer that Medlarway makes itself, with Medlarway-Outcome and, where positive, Retry-After.
std::string writeErrorAnswer(const ErrorRow &row, Outcome outcome, Duration retryAfter, bool close, bool withBody);

/// Whether the field concerns one connection only, by its name or since the Connection field names it.
bool isHopByHop(std::string_view name, std::string_view connection);

} // namespace medlarway
