#include "proxy/http_headers.h"

#include "proxy/http_rules.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <fmt/format.h>
#include <iterator>

namespace medlarway
{

namespace
{

constexpr std::array<std::string_view, 9> kHopByHop{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade"};

constexpr unsigned kFirstStatusWithBody = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

// Whether a comma-separated list contains the item.
bool listContains(std::string_view list, std::string_view item)
{
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        if (equalsIgnoringCase(trimmed(list.substr(0, comma)), item)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

// Joins all values of a repeatable field into one comma-separated list.
std::string joined(const http::fields &fields, http::field name)
{
    std::string result;
    const auto range = fields.equal_range(name);
    for (auto entry = range.first; entry != range.second; ++entry) {
        if (!result.empty()) {
            result += ", ";
        }
        result += viewOf(entry->value());
    }
    return result;
}

void addField(std::string &head, std::string_view name, std::string_view value)
{
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
}

void addFraming(std::string &head, const BodyFraming &body)
{
    if (body.kind == BodyKind::Length) {
        addField(head, "Content-Length", fmt::format_int(body.length).str());
    } else if (body.kind == BodyKind::Chunked) {
        addField(head, "Transfer-Encoding", "chunked");
    }
}

std::uint64_t lengthOf(const http::fields &fields)
{
    const auto text = trimmed(viewOf(fields[http::field::content_length]));
    std::uint64_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

bool hasField(const http::fields &fields, http::field name)
{
    return fields.find(name) != fields.end();
}

// The framing declared by the fields of a head that may have a body.
BodyFraming fieldFraming(const http::fields &fields, BodyKind otherwise)
{
    if (hasField(fields, http::field::transfer_encoding)) {
        return BodyFraming{BodyKind::Chunked, 0};
    }
    if (hasField(fields, http::field::content_length)) {
        return BodyFraming{BodyKind::Length, lengthOf(fields)};
    }
    return BodyFraming{otherwise, 0};
}

// The Forwarded field with this hop appended. The host is quoted, and omitted if it contains characters
// that would break the quoting.
std::string forwardedValue(const RequestHead &head, const Endpoint &caller)
{
    auto result = joined(head, http::field::forwarded);
    if (!result.empty()) {
        result += ", ";
    }
    fmt::format_to(std::back_inserter(result), R"(for="{}";proto=http)", endpointToString(caller));
    const auto host = viewOf(head[http::field::host]);
    if (!host.empty() && host.find_first_of("\"\\") == std::string_view::npos) {
        fmt::format_to(std::back_inserter(result), R"(;host="{}")", host);
    }
    return result;
}

bool isRewritten(std::string_view name)
{
    return equalsIgnoringCase(name, "Forwarded") || equalsIgnoringCase(name, "Medlarway-Deadline")
           || equalsIgnoringCase(name, "Medlarway-Outcome") || equalsIgnoringCase(name, "Content-Length");
}

// Copies the end-to-end fields, except those that Medlarway writes itself.
void copyFields(std::string &head, const http::fields &fields)
{
    const auto connection = joined(fields, http::field::connection);
    for (const auto &entry : fields) {
        const auto name = viewOf(entry.name_string());
        const bool kept = equalsIgnoringCase(name, "Host") || !isHopByHop(name, connection);
        if (kept && !isRewritten(name)) {
            addField(head, name, viewOf(entry.value()));
        }
    }
}

} // namespace

bool isHopByHop(std::string_view name, std::string_view connection)
{
    const auto same = [name](std::string_view other) { return equalsIgnoringCase(name, other); };
    return std::any_of(kHopByHop.begin(), kHopByHop.end(), same) || (!connection.empty() && listContains(connection, name));
}

BodyFraming requestFraming(const RequestHead &head)
{
    const auto framing = fieldFraming(head, BodyKind::None);
    return framing == BodyFraming{BodyKind::Length, 0} && head.method() == http::verb::get ? BodyFraming{} : framing;
}

BodyFraming responseFraming(const ResponseHead &head, http::verb method)
{
    const auto status = head.result_int();
    if (method == http::verb::head || status < kFirstStatusWithBody || status == kNoContent || status == kNotModified) {
        return BodyFraming{};
    }
    return fieldFraming(head, BodyKind::UntilClose);
}

BodyFraming declaredFraming(const ResponseHead &head)
{
    const auto framing = fieldFraming(head, BodyKind::None);
    const bool mayDeclare = head.result_int() >= kFirstStatusWithBody && head.result_int() != kNoContent;
    return mayDeclare && framing.kind == BodyKind::Length ? framing : BodyFraming{};
}

BodyFraming framingForCaller(const BodyFraming &fromUpstream, bool callerSupportsChunks)
{
    if (fromUpstream.kind == BodyKind::Chunked || fromUpstream.kind == BodyKind::UntilClose) {
        return BodyFraming{callerSupportsChunks ? BodyKind::Chunked : BodyKind::UntilClose, 0};
    }
    return fromUpstream;
}

std::string writeRequestHead(const RequestHead &head, const ForwardContext &context)
{
    std::string result;
    result.reserve(512);
    result += viewOf(head.method_string());
    result += ' ';
    result += viewOf(head.target());
    result += " HTTP/1.1\r\n";
    copyFields(result, head);
    if (!hasField(head, http::field::host)) {
        addField(result, "Host", ""); // optional in HTTP/1.0, required in HTTP/1.1
    }
    addField(result, "Forwarded", forwardedValue(head, context.caller));
    if (context.timeLeft) {
        const auto left = std::chrono::floor<std::chrono::milliseconds>(*context.timeLeft).count();
        addField(result, "Medlarway-Deadline", fmt::format_int(std::max<std::int64_t>(left, 0)).str());
    }
    addFraming(result, context.body);
    if (!context.keepAlive) {
        addField(result, "Connection", "close");
    }
    return result + "\r\n";
}

std::string writeResponseFields(const ResponseHead &head)
{
    std::string result;
    result.reserve(512);
    copyFields(result, head);
    return result;
}

std::string writeResponseHead(unsigned status, std::string_view reason, std::string_view fields, const BodyFraming &body, bool close)
{
    auto result = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
    result += fields;
    addFraming(result, body);
    if (close) {
        addField(result, "Connection", "close");
    }
    return result + "\r\n";
}

std::string writeErrorResponse(const ErrorRow &row, Outcome outcome, Duration retryAfter, bool close, bool withBody)
{
    const auto body = fmt::format("{}\n", row.name);
    std::string fields = "Content-Type: text/plain\r\n";
    addField(fields, "Medlarway-Outcome", outcomeName(outcome));
    if (retryAfter > Duration::zero()) {
        addField(fields, "Retry-After", fmt::format_int(std::chrono::ceil<std::chrono::seconds>(retryAfter).count()).str());
    }
    const auto reason = http::obsolete_reason(static_cast<http::status>(row.httpStatus));
    const auto status = static_cast<unsigned>(row.httpStatus);
    auto result = writeResponseHead(status, viewOf(reason), fields, BodyFraming{BodyKind::Length, body.size()}, close);
    if (withBody) {
        result += body;
    }
    return result;
}

} // namespace medlarway
