#include "proxy/http_headers.h"
#include "proxy/http_rules.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <doctest/doctest.h>
#include <string>

using namespace medlarway;

namespace
{

std::string requestWithFields(const std::string &fields)
{
    return "POST /mend HTTP/1.1\r\nHost: r\r\n" + fields + "\r\n";
}

} // namespace

TEST_CASE("a request's head")
{
    SUBCASE("is accepted if it is valid")
    {
        for (const auto &head :
             {requestWithFields(""), requestWithFields("Content-Length: 5\r\n"), requestWithFields("Transfer-Encoding: Chunked\r\n"),
              requestWithFields("X-Empty:\r\nX-Tab:\ta b\t\r\n"), std::string("GET / HTTP/1.0\r\n\r\n")}) {
            CAPTURE(head);
            CHECK_FALSE(checkRequestHead(head));
        }
    }
    SUBCASE("is refused if two parsers could disagree on the length of the body")
    {
        for (const auto *fields : {"Content-Length: 5\r\nContent-Length: 5\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
                                   "Content-Length: 5, 5\r\n", "Content-Length: +5\r\n", "Content-Length: 5 5\r\n", "Content-Length: \r\n",
                                   "Content-Length: 0x5\r\n", "Content-Length: 99999999999999999999\r\n",
                                   "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n",
                                   "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                   "Transfer-Encoding: identity\r\n", "Transfer-Encoding:\r\n"}) {
            CAPTURE(fields);
            CHECK(checkRequestHead(requestWithFields(fields)) == ErrorKind::MalformedRequest);
        }
    }
    SUBCASE("is refused if a field line is malformed")
    {
        for (const auto *fields : {"Content-Length : 5\r\n", " Folded: 1\r\n", "A: 1\r\n\tfolded\r\n", "A: 1\nB: 2\r\n", "A: 1\rB: 2\r\n",
                                   "NoColon\r\n", ": empty\r\n", "Na me: 1\r\n", "A: \x01\r\n", "Host: again\r\n"}) {
            CAPTURE(fields);
            CHECK(checkRequestHead(requestWithFields(fields)) == ErrorKind::MalformedRequest);
        }
        CHECK(checkRequestHead(requestWithFields(std::string("A: 1\0\r\n", 7))) == ErrorKind::MalformedRequest);
    }
    SUBCASE("is refused if its request line is malformed")
    {
        for (const auto *line : {"GET  / HTTP/1.1", "GET / HTTP/1.1 ", " GET / HTTP/1.1", "GET /a b HTTP/1.1", "GET / HTTP/2.0", "GET /",
                                 "G(T / HTTP/1.1", "CONNECT r:80 HTTP/1.1", "", "GET /\x80 HTTP/1.1"}) {
            CAPTURE(line);
            CHECK(checkRequestHead(std::string(line) + "\r\nHost: r\r\n\r\n") == ErrorKind::MalformedRequest);
        }
        CHECK(checkRequestHead("GET / HTTP/1.1\r\n\r\n") == ErrorKind::MalformedRequest);
        CHECK(checkRequestHead("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n") == ErrorKind::MalformedRequest);
    }
    SUBCASE("ends at the same byte however it is split")
    {
        const auto head = requestWithFields("A: 1\r\n");
        const auto bytes = head + "body\n\n";
        for (std::size_t size = 1; size < head.size(); ++size) {
            CHECK(scanHead(bytes.substr(0, size)).state == HeadScan::State::Incomplete);
            CHECK(scanHead(bytes, size) == HeadScan{HeadScan::State::Complete, head.size()});
        }
        CHECK(scanHead("GET / HTTP/1.1\n").state == HeadScan::State::Malformed);
        CHECK(scanHead("GET / HTTP/1.1\rA").state == HeadScan::State::Malformed);
    }
}

TEST_CASE("a response's head")
{
    CHECK_FALSE(checkResponseHead("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"));
    CHECK_FALSE(checkResponseHead("HTTP/1.1 200 \r\n\r\n"));
    for (const auto *head : {"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n", "ICY 200 OK\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
        CAPTURE(head);
        CHECK(checkResponseHead(head) == ErrorKind::UpstreamBadAnswer);
    }
}

TEST_CASE("a forwarded request head")
{
    http::request_parser<http::empty_body> parser;
    parser.skip(true);
    boost::beast::error_code error;
    const std::string text = "GET /a?b=1 HTTP/1.1\r\nHost: registry\r\nConnection: X-Hop, close\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTE: "
                             "trailers\r\nUpgrade: h2c\r\n"
                             "Forwarded: for=\"10.0.0.1\"\r\nMedlarway-Deadline: 100\r\nX-Kept: yes\r\n\r\n";
    parser.put(boost::asio::buffer(text), error);
    REQUIRE_FALSE(error);
    ForwardContext context;
    context.caller = *parseEndpoint("10.1.2.3:4567");
    context.timeLeft = std::chrono::microseconds{90'900};
    context.keepAlive = true;
    CHECK(writeRequestHead(parser.get().base(), context)
          == "GET /a?b=1 HTTP/1.1\r\nHost: registry\r\nX-Kept: yes\r\n"
             "Forwarded: for=\"10.0.0.1\", for=\"10.1.2.3:4567\";proto=http;host=\"registry\"\r\nMedlarway-Deadline: 90\r\n\r\n");
}

TEST_CASE("numeric field values")
{
    CHECK(parseDeadline("250") == std::chrono::milliseconds{250});
    CHECK_FALSE(parseDeadline("-1"));
    CHECK_FALSE(parseDeadline("9999999999999"));
    CHECK(parseRetryAfter("3") == std::chrono::seconds{3});
    CHECK(parseRetryAfter("99999") == std::chrono::minutes{1});
    CHECK(parseRetryAfter("Wed, 21 Oct 2026 07:28:00 GMT") == std::chrono::seconds{1});
}
