#include "proxy/fixture.h"

#include <doctest/doctest.h>
#include <future>

using namespace medlarway;

namespace
{

constexpr std::string_view kGet = "GET /bowl HTTP/1.1\r\nHost: r\r\n\r\n";
constexpr std::string_view kShed = "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";

// Reads one request, notes it and sends a text.
StandIn::Behaviour answering(StandIn *&self, std::string text, bool reset = false)
{
    return [&self, text = std::move(text), reset](Wire &wire) {
        while (true) {
            const auto request = wire.readMessage();
            if (request.firstLine.empty()) {
                return;
            }
            self->note(request.firstLine);
            wire.send(text);
            if (reset) {
                wire.reset();
                return;
            }
        }
    };
}

Service httpService(ServiceClass serviceClass, const std::vector<Endpoint> &upstreams)
{
    return Fixture::service(ServiceKind::Http, serviceClass, upstreams);
}

} // namespace

TEST_CASE("an answer that is cut is never taken for a whole one")
{
    std::string text;
    SUBCASE("with a length")
    {
        text = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
    }
    SUBCASE("in chunks")
    {
        text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    }
    SUBCASE("whose chunks are broken")
    {
        text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n";
    }
    SUBCASE("that ends with its connection")
    {
        text = "HTTP/1.1 200 OK\r\n\r\nhalf";
    }
    std::promise<void> seen;
    auto wasSeen = seen.get_future();
    StandIn upstream([&](Wire &wire) {
        wire.readMessage();
        wire.send(text);
        wasSeen.wait(); // else the reset could overtake the bytes
        wire.reset();
    });
    Fixture fixture;
    Wire caller(fixture.serve(httpService(ServiceClass::Idempotent, {upstream.address()})));
    caller.send(kGet);
    CHECK(caller.receive(15) == "HTTP/1.1 200 OK");
    seen.set_value();
    CHECK(caller.isReset());
}

TEST_CASE("not-run is only said where it is true")
{
    StandIn *self = nullptr;
    Fixture fixture;
    SUBCASE("no upstream can be reached")
    {
        Wire caller(fixture.serve(httpService(ServiceClass::Protected, {deadEndpoint()})));
        caller.send(kGet);
        const auto answer = caller.readMessage();
        CHECK(answer.status() == 503);
        CHECK(answer.fields.at("medlarway-outcome") == "not-run");
    }
    SUBCASE("the upstream sheds")
    {
        StandIn upstream(answering(self, std::string(kShed)));
        self = &upstream;
        Wire caller(fixture.serve(httpService(ServiceClass::Protected, {upstream.address()})));
        caller.send(kGet);
        const auto answer = caller.readMessage();
        CHECK(answer.status() == 503);
        CHECK(answer.fields.at("medlarway-outcome") == "not-run");
        CHECK(answer.fields.contains("retry-after"));
    }
    SUBCASE("a protected request whose upstream dies is unknown and is not sent again")
    {
        StandIn upstream(answering(self, "", true));
        self = &upstream;
        StandIn other(answering(self, answerText("never")));
        Wire caller(fixture.serve(httpService(ServiceClass::Protected, {upstream.address()})));
        caller.send(kGet);
        const auto answer = caller.readMessage();
        CHECK(answer.status() == 502);
        CHECK(answer.fields.at("medlarway-outcome") == "unknown");
        CHECK(upstream.notes().size() == 1);
        CHECK(other.notes().empty());
    }
    SUBCASE("an upstream's 503 without Retry-After is no proof and is passed on")
    {
        StandIn upstream(answering(self, "HTTP/1.1 503 Oops\r\nContent-Length: 2\r\n\r\nno"));
        self = &upstream;
        Wire caller(fixture.serve(httpService(ServiceClass::Protected, {upstream.address()})));
        caller.send(kGet);
        const auto answer = caller.readMessage();
        CHECK(answer.body == "no");
        CHECK_FALSE(answer.fields.contains("medlarway-outcome"));
    }
    SUBCASE("a deadline that passes while the upstream runs is unknown")
    {
        StandIn upstream([&](Wire &wire) {
            const auto request = wire.readMessage();
            self->note(request.fields.at("medlarway-deadline"));
            self->note(wire.isReset() || wire.isClosed() ? "cancelled" : "open");
        });
        self = &upstream;
        Wire caller(fixture.serve(httpService(ServiceClass::Protected, {upstream.address()})));
        caller.send("GET / HTTP/1.1\r\nHost: r\r\nMedlarway-Deadline: 150\r\n\r\n");
        const auto answer = caller.readMessage();
        CHECK(answer.status() == 504);
        CHECK(answer.fields.at("medlarway-outcome") == "unknown");
        REQUIRE(eventually([&] { return upstream.notes().size() == 2; }));
        CHECK(std::stoi(upstream.notes()[0]) <= 150);
        CHECK(upstream.notes()[1] == "cancelled");
    }
}

TEST_CASE("an idempotent request")
{
    StandIn *self = nullptr;
    Fixture fixture;
    SUBCASE("is sent to another upstream where one dies, its body with it")
    {
        StandIn dying(answering(self, "", true));
        StandIn good([&](Wire &wire) {
            const auto request = wire.readMessage();
            wire.send(answerText("whole:" + request.body));
        });
        self = &dying;
        const auto address = fixture.serve(httpService(ServiceClass::Idempotent, {dying.address(), good.address()}));
        for (int round = 0; round < 6; ++round) {
            Wire caller(address);
            caller.send("PUT / HTTP/1.1\r\nHost: r\r\nContent-Length: 4\r\n\r\nseam");
            CHECK(caller.readMessage().body == "whole:seam");
        }
    }
}

TEST_CASE("a caller that goes away")
{
    StandIn *self = nullptr;
    StandIn upstream([&](Wire &wire) {
        wire.readMessage();
        self->note("began");
        self->note(wire.isReset() || wire.isClosed() ? "cancelled" : "open");
    });
    self = &upstream;
    Fixture fixture;
    const auto address = fixture.serve(httpService(ServiceClass::Protected, {upstream.address()}));
    auto caller = std::make_unique<Wire>(address);
    caller->send(kGet);
    REQUIRE(eventually([&] { return upstream.notes().size() == 1; }));
    caller.reset();
    REQUIRE(eventually([&] { return upstream.notes().size() == 2; }));
    CHECK(upstream.notes()[1] == "cancelled");
}

TEST_CASE("requests that are not plain HTTP")
{
    StandIn *self = nullptr;
    StandIn upstream(answering(self, answerText("ran")));
    self = &upstream;
    Fixture fixture({}, [](ProxyOptions &options) { options.headTimeout = std::chrono::milliseconds{200}; });
    const auto address = fixture.serve(httpService(ServiceClass::Protected, {upstream.address()}));
    Wire caller(address);
    const std::string post = "POST / HTTP/1.1\r\nHost: r\r\n";
    int status = 400;
    SUBCASE("two lengths")
    {
        caller.send(post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    }
    SUBCASE("length and chunks")
    {
        caller.send(post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    }
    SUBCASE("a chunk's size with a sign")
    {
        caller.send(post + "Transfer-Encoding: chunked\r\n\r\n+4\r\nseam\r\n0\r\n\r\n");
    }
    SUBCASE("a chunk's size with a space")
    {
        caller.send(post + "Transfer-Encoding: chunked\r\n\r\n4 \r\nseam\r\n0\r\n\r\n");
    }
    SUBCASE("a chunk that is longer than it says")
    {
        caller.send(post + "Transfer-Encoding: chunked\r\n\r\n4\r\nseams\r\n0\r\n\r\n");
    }
    SUBCASE("a chunk's size beyond all bounds")
    {
        caller.send(post + "Transfer-Encoding: chunked\r\n\r\n11111111111111111\r\nseam\r\n0\r\n\r\n");
    }
    SUBCASE("a bare line feed")
    {
        caller.send("GET / HTTP/1.1\nHost: r\n\n");
    }
    SUBCASE("a head without end")
    {
        caller.send(post + "X: " + std::string(20000, 'x'));
        status = 431;
    }
    SUBCASE("a head that does not come")
    {
        caller.send(post);
        status = 408;
    }
    SUBCASE("a body beyond the service's limit")
    {
        caller.send(post + "Content-Length: 99999999999\r\n\r\n");
        status = 413;
    }
    const auto answer = caller.readMessage();
    CHECK(answer.status() == status);
    CHECK(answer.fields.at("medlarway-outcome") == "not-run");
    caller.endSending();
    CHECK(caller.isClosed());
    CHECK(upstream.notes().empty());
}
