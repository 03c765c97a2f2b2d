// Drives the checks and the rewriting of HTTP heads. What the checks let pass must parse, and what is
// passed on must pass the checks again with the same framing.
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
    const auto used = parser.put(boost::asio::buffer(head), error);
    if (error || used != head.size()) {
        return; // refused by the parser as well as by the data path
    }
    const auto framing = requestFraming(parser.get().base());
    ForwardContext context;
    context.body = framing;
    const auto passed = writeRequestHead(parser.get().base(), context);
    require(!checkRequestHead(passed));
    http::request_parser<http::buffer_body> again;
    again.header_limit(2 * kHeadBytes);
    again.put(boost::asio::buffer(passed), error);
    require(!error && requestFraming(again.get().base()) == framing);
}

void checkAnswer(std::string_view head)
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
            checkAnswer(head);
        }
    }
    static_cast<void>(parseDeadline(bytes));
    static_cast<void>(parseRetryAfter(bytes));
    return 0;
}
