#include "proxy/fixture.h"

#include <doctest/doctest.h>

using namespace medlarway;

namespace
{

constexpr std::string_view kGet = "GET /bowl HTTP/1.1\r\nHost: registry\r\n\r\n";

// Responds to each request with its request line and body, and records the request line.
TestUpstream::Behaviour echo(TestUpstream *&self)
{
    return [&self](TestConnection &connection) {
        while (true) {
            const auto request = connection.readMessage();
            if (request.firstLine.empty()) {
                return;
            }
            self->record(request.firstLine);
            connection.send(responseText(request.firstLine + "|" + request.body));
        }
    };
}

} // namespace

TEST_CASE("a caller's request")
{
    TestUpstream *self = nullptr;
    TestUpstream upstream(echo(self));
    self = &upstream;
    Fixture fixture;
    const auto address = fixture.serve(Fixture::service(ServiceKind::Http, ServiceClass::Idempotent, {upstream.address()}));
    TestConnection caller(address);

    SUBCASE("gets the upstream's complete response, repeatedly on one connection")
    {
        for (int round = 0; round < 3; ++round) {
            caller.send(kGet);
            const auto response = caller.readMessage();
            CHECK(response.status() == 200);
            CHECK(response.body == "GET /bowl HTTP/1.1|");
        }
        CHECK(upstream.connections() == 1);
    }
    SUBCASE("may have a body with a length")
    {
        caller.send("POST /bowl HTTP/1.1\r\nHost: registry\r\nContent-Length: 4\r\n\r\nseam");
        CHECK(caller.readMessage().body == "POST /bowl HTTP/1.1|seam");
    }
    SUBCASE("may have a body in chunks")
    {
        caller.send("POST /bowl HTTP/1.1\r\nHost: registry\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nseam\r\n1\r\n!\r\n0\r\n\r\n");
        CHECK(caller.readMessage().body == "POST /bowl HTTP/1.1|seam!");
    }
    SUBCASE("is answered in order if it is pipelined")
    {
        caller.send("GET /1 HTTP/1.1\r\nHost: r\r\n\r\nGET /2 HTTP/1.1\r\nHost: r\r\n\r\nGET /3 HTTP/1.1\r\nHost: r\r\n\r\n");
        CHECK(caller.readMessage().body == "GET /1 HTTP/1.1|");
        CHECK(caller.readMessage().body == "GET /2 HTTP/1.1|");
        CHECK(caller.readMessage().body == "GET /3 HTTP/1.1|");
    }
    SUBCASE("may be large, in length or in chunks")
    {
        const std::string body(3 << 20, 'x');
        caller.send("POST /pack HTTP/1.1\r\nHost: r\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
        caller.send(body);
        CHECK(caller.readMessage().body == "POST /pack HTTP/1.1|" + body);
        caller.send("POST /pack HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n");
        caller.send(body.substr(0, 0x100000) + "\r\n100000\r\n" + body.substr(0, 0x100000) + "\r\n0\r\n\r\n");
        CHECK(caller.readMessage().body == "POST /pack HTTP/1.1|" + body.substr(0, 0x200000));
    }
}
