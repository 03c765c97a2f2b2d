#include "proxy/fixture.h"

#include <doctest/doctest.h>
#include <future>

using namespace medlarway;

namespace
{

constexpr std::string_view kGet = "GET /bowl HTTP/1.1\r\nHost: r\r\n\r\n";
constexpr std::string_view kShed = "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";

// Records each request and responds with a text.
TestUpstream::Behaviour respondWith(TestUpstream *&self, std::string text, bool reset = false)
{
    return [&self, text = std::move(text), reset](TestConnection &connection) {
        while (true) {
            const auto request = connection.readMessage();
            if (request.firstLine.empty()) {
                return;
            }
            self->record(request.firstLine);
            connection.send(text);
            if (reset) {
                connection.reset();
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

TEST_CASE("a truncated response is never taken for a complete one")
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
    SUBCASE("with malformed chunks")
    {
        text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n";
    }
    SUBCASE("delimited by the end of its connection")
    {
        text = "HTTP/1.1 200 OK\r\n\r\nhalf";
    }
    std::promise<void> responseReceived;
    auto received = responseReceived.get_future();
    TestUpstream upstream([&](TestConnection &connection) {
        connection.readMessage();
        connection.send(text);
        received.wait(); // otherwise the reset could discard the bytes
        connection.reset();
    });
    Fixture fixture;
    TestConnection caller(fixture.serve(httpService(ServiceClass::Idempotent, {upstream.address()})));
    caller.send(kGet);
    CHECK(caller.receive(15) == "HTTP/1.1 200 OK");
    responseReceived.set_value();
    CHECK(caller.isReset());
}

TEST_CASE("the outcome not-run is reported only if the request did not run")
{
    TestUpstream *self = nullptr;
    Fixture fixture;
    SUBCASE("no upstream can be reached")
    {
        TestConnection caller(fixture.serve(httpService(ServiceClass::Protected, {closedEndpoint()})));
        caller.send(kGet);
        const auto response = caller.readMessage();
        CHECK(response.status() == 503);
        CHECK(response.fields.at("medlarway-outcome") == "not-run");
    }
    SUBCASE("the upstream sheds load")
    {
        TestUpstream upstream(respondWith(self, std::string(kShed)));
        self = &upstream;
        TestConnection caller(fixture.serve(httpService(ServiceClass::Protected, {upstream.address()})));
        caller.send(kGet);
        const auto response = caller.readMessage();
        CHECK(response.status() == 503);
        CHECK(response.fields.at("medlarway-outcome") == "not-run");
        CHECK(response.fields.contains("retry-after"));
    }
    SUBCASE("a protected request whose upstream fails has an unknown outcome and is not retried")
    {
        TestUpstream upstream(respondWith(self, "", true));
        self = &upstream;
        TestUpstream other(respondWith(self, responseText("never")));
        TestConnection caller(fixture.serve(httpService(ServiceClass::Protected, {upstream.address()})));
        caller.send(kGet);
        const auto response = caller.readMessage();
        CHECK(response.status() == 502);
        CHECK(response.fields.at("medlarway-outcome") == "unknown");
        CHECK(upstream.records().size() == 1);
        CHECK(other.records().empty());
    }
    SUBCASE("an upstream's 503 without Retry-After proves nothing and is forwarded")
    {
        TestUpstream upstream(respondWith(self, "HTTP/1.1 503 Oops\r\nContent-Length: 2\r\n\r\nno"));
        self = &upstream;
        TestConnection caller(fixture.serve(httpService(ServiceClass::Protected, {upstream.address()})));
        caller.send(kGet);
        const auto response = caller.readMessage();
        CHECK(response.body == "no");
        CHECK_FALSE(response.fields.contains("medlarway-outcome"));
    }
    SUBCASE("a deadline that expires while the upstream runs makes the outcome unknown")
    {
        TestUpstream upstream([&](TestConnection &connection) {
            const auto request = connection.readMessage();
            self->record(request.fields.at("medlarway-deadline"));
            self->record(connection.isReset() || connection.isClosed() ? "cancelled" : "open");
        });
        self = &upstream;
        TestConnection caller(fixture.serve(httpService(ServiceClass::Protected, {upstream.address()})));
        caller.send("GET / HTTP/1.1\r\nHost: r\r\nMedlarway-Deadline: 150\r\n\r\n");
        const auto response = caller.readMessage();
        CHECK(response.status() == 504);
        CHECK(response.fields.at("medlarway-outcome") == "unknown");
        REQUIRE(eventually([&] { return upstream.records().size() == 2; }));
        CHECK(std::stoi(upstream.records()[0]) <= 150);
        CHECK(upstream.records()[1] == "cancelled");
    }
}

TEST_CASE("an idempotent request")
{
    TestUpstream *self = nullptr;
    Fixture fixture;
    SUBCASE("is retried with its body at another upstream if one fails")
    {
        TestUpstream failing(respondWith(self, "", true));
        TestUpstream healthy([&](TestConnection &connection) {
            const auto request = connection.readMessage();
            connection.send(responseText("whole:" + request.body));
        });
        self = &failing;
        const auto address = fixture.serve(httpService(ServiceClass::Idempotent, {failing.address(), healthy.address()}));
        for (int round = 0; round < 6; ++round) {
            TestConnection caller(address);
            caller.send("PUT / HTTP/1.1\r\nHost: r\r\nContent-Length: 4\r\n\r\nseam");
            CHECK(caller.readMessage().body == "whole:seam");
        }
    }
}

TEST_CASE("a caller that disconnects")
{
    TestUpstream *self = nullptr;
    TestUpstream upstream([&](TestConnection &connection) {
        connection.readMessage();
        self->record("began");
        self->record(connection.isReset() || connection.isClosed() ? "cancelled" : "open");
    });
    self = &upstream;
    Fixture fixture;
    const auto address = fixture.serve(httpService(ServiceClass::Protected, {upstream.address()}));
    auto caller = std::make_unique<TestConnection>(address);
    caller->send(kGet);
    REQUIRE(eventually([&] { return upstream.records().size() == 1; }));
    caller.reset();
    REQUIRE(eventually([&] { return upstream.records().size() == 2; }));
    CHECK(upstream.records()[1] == "cancelled");
}

TEST_CASE("malformed, slow and oversized requests")
{
    TestUpstream *self = nullptr;
    TestUpstream upstream(respondWith(self, responseText("ran")));
    self = &upstream;
    Fixture fixture({}, [](ProxyOptions &options) { options.headTimeout = std::chrono::milliseconds{200}; });
    const auto address = fixture.serve(httpService(ServiceClass::Protected, {upstream.address()}));
    TestConnection caller(address);
    const std::string post = "POST / HTTP/1.1\r\nHost: r\r\n";
    int status = 400;
    SUBCASE("two Content-Length fields")
    {
        caller.send(post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    }
    SUBCASE("Content-Length and chunked encoding")
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
    SUBCASE("a chunk that is longer than its size")
    {
        caller.send(post + "Transfer-Encoding: chunked\r\n\r\n4\r\nseams\r\n0\r\n\r\n");
    }
    SUBCASE("a chunk's size that overflows")
    {
        caller.send(post + "Transfer-Encoding: chunked\r\n\r\n11111111111111111\r\nseam\r\n0\r\n\r\n");
    }
    SUBCASE("a bare line feed")
    {
        caller.send("GET / HTTP/1.1\nHost: r\n\n");
    }
    SUBCASE("a head that is too large")
    {
        caller.send(post + "X: " + std::string(20000, 'x'));
        status = 431;
    }
    SUBCASE("a head that is not completed in time")
    {
        caller.send(post);
        status = 408;
    }
    SUBCASE("a body beyond the service's limit")
    {
        caller.send(post + "Content-Length: 99999999999\r\n\r\n");
        status = 413;
    }
    const auto response = caller.readMessage();
    CHECK(response.status() == status);
    CHECK(response.fields.at("medlarway-outcome") == "not-run");
    caller.shutdownSend();
    CHECK(caller.isClosed());
    CHECK(upstream.records().empty());
}
