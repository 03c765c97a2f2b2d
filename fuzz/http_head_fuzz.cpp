// Checks and rewrites arbitrary HTTP heads. A rewritten request head must pass the checks and be parsed with the same framing
// as before. A rewritten response head must pass the checks.
#include "proxy/http_headers.h"
#include "proxy/http_rules.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdlib>
#include <string>

using namespace medlarway;

namespace
{

constexpr std::uint32_t kHeadBytes = 64U << 10U;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void checkRequest(std::string_view head)
{
    http::request_parser<http::buffer_body> parser;
    parser.header_limit(kHeadBytes);
    boost::beast::error_code error;
    const auto parsedBytes = parser.put(boost::asio::buffer(head), error);
    if (error || parsedBytes != head.size()) {
        return; // the data path rejects such a head too
    }
    const auto framing = requestFraming(parser.get().base());
    ForwardContext context;
    context.body = framing;
    const auto forwarded = writeRequestHead(parser.get().base(), context);
    require(!checkRequestHead(forwarded));
    http::request_parser<http::buffer_body> forwardedParser;
    forwardedParser.header_limit(2 * kHeadBytes);
    forwardedParser.put(boost::asio::buffer(forwarded), error);
    require(!error && requestFraming(forwardedParser.get().base()) == framing);
}

void checkResponse(std::string_view head)
{
    http::response_parser<http::buffer_body> parser;
    parser.header_limit(kHeadBytes);
    boost::beast::error_code error;
    parser.put(boost::asio::buffer(head), error);
    if (!error) {
        const auto body = framingForCaller(responseFraming(parser.get().base(), http::verb::get), true);
        require(
            !checkResponseHead(writeResponseHead(parser.get().result_int(), "OK", writeResponseFields(parser.get().base()), body, true)));
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto scan = scanHead(bytes);
    if (scan.state == HeadScan::State::Complete) {
        const auto head = bytes.substr(0, scan.size);
        if (!checkRequestHead(head)) {
            checkRequest(head);
        }
        if (!checkResponseHead(head)) {
            checkResponse(head);
        }
    }
    static_cast<void>(parseDeadline(bytes));
    static_cast<void>(parseRetryAfter(bytes));
    return 0;
}
