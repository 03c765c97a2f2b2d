#include "proxy/fixture.h"

#include <doctest/doctest.h>

using namespace medlarway;

namespace
{

constexpr std::string_view kGet = "GET /bowl HTTP/1.1\r\nHost: registry\r\n\r\n";

// Answers each request with its target and body, and notes it.
StandIn::Behaviour echo(StandIn *&self)
{
    return [&self](Wire &wire) {
        while (true) {
            const auto request = wire.readMessage();
            if (request.firstLine.empty()) {
                return;
            }
            self->note(request.firstLine);
            wire.send(answerText(request.firstLine + "|" + request.body));
        }
    };
}

} // namespace

TEST_CASE("a caller's request")
{
    StandIn *self = nullptr;
    StandIn upstream(echo(self));
    self = &upstream;
    Fixture fixture;
    const auto address = fixture.serve(Fixture::service(ServiceKind::Http, ServiceClass::Idempotent, {upstream.address()}));
    Wire caller(address);

    SUBCASE("gets the upstream's whole answer, again and again on one connection")
    {
        for (int round = 0; round < 3; ++round) {
            caller.send(kGet);
            const auto answer = caller.readMessage();
            CHECK(answer.status() == 200);
            CHECK(answer.body == "GET /bowl HTTP/1.1|");
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
    SUBCASE("that is pipelined is answered in order")
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
