#include "proxy/fixture.h"

#include <doctest/doctest.h>
#include <fstream>
#include <unistd.h>

using namespace medlarway;

namespace
{

std::size_t residentBytes()
{
    std::size_t pages = 0;
    std::ifstream("/proc/self/statm") >> pages >> pages;
    return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

Service httpService(ServiceClass serviceClass, const Endpoint &upstream)
{
    return Fixture::service(ServiceKind::Http, serviceClass, {upstream});
}

} // namespace

TEST_CASE("a caller that reads a large response slowly")
{
    constexpr std::size_t kBody = 256U << 20U;
    std::atomic<std::size_t> sent{0};
    TestUpstream upstream([&](TestConnection &connection) {
        connection.readMessage();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n");
        const std::string piece(1U << 20U, 'x');
        while (sent < kBody && connection.send(piece)) {
            sent += piece.size();
        }
    });
    Fixture fixture;
    TestConnection caller(fixture.serve(httpService(ServiceClass::Idempotent, upstream.address())));
    const auto before = residentBytes();
    caller.send("GET /pack HTTP/1.1\r\nHost: r\r\n\r\n");
    CHECK(caller.receive(15) == "HTTP/1.1 200 OK");

    SUBCASE("throttles the upstream, keeps memory bounded and receives the whole body")
    {
        std::size_t last = 0;
        auto changed = std::chrono::steady_clock::now();
        REQUIRE(eventually([&] { // all buffers are full once the upstream makes no more progress
            const auto now = std::chrono::steady_clock::now();
            changed = sent == last ? changed : now;
            last = sent;
            return last > 0 && now - changed > std::chrono::milliseconds{200};
        }));
        CHECK(sent < kBody / 2);
        CHECK(residentBytes() - before < (32U << 20U));
        std::size_t total = 15;
        while (total < kBody) {
            const auto bytes = caller.receiveSome();
            REQUIRE_FALSE(bytes.empty());
            total += bytes.size();
        }
        CHECK(total >= kBody);
    }
}

TEST_CASE("the body of a request")
{
    Fixture fixture;
    SUBCASE("is requested with 100 Continue only when the upstream requests it")
    {
        TestUpstream upstream([](TestConnection &connection) {
            const auto head = connection.readMessage(false);
            connection.send(head.fields.contains("expect") ? "HTTP/1.1 100 Continue\r\n\r\n" : "");
            const auto body = connection.receive(4);
            connection.send(responseText("got:" + body));
        });
        TestConnection caller(fixture.serve(httpService(ServiceClass::Protected, upstream.address())));
        caller.send("POST / HTTP/1.1\r\nHost: r\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
        CHECK(caller.readMessage().status() == 100);
        caller.send("seam");
        CHECK(caller.readMessage().body == "got:seam");
    }
    SUBCASE("need not be sent if the upstream responds early")
    {
        TestUpstream upstream([](TestConnection &connection) {
            connection.readMessage(false);
            connection.send("HTTP/1.1 403 No\r\nContent-Length: 2\r\n\r\nno");
        });
        TestConnection caller(fixture.serve(httpService(ServiceClass::Protected, upstream.address())));
        caller.send("POST / HTTP/1.1\r\nHost: r\r\nContent-Length: 10000000\r\n\r\n" + std::string(100'000, 'x'));
        const auto response = caller.readMessage();
        CHECK(response.status() == 403);
        CHECK(response.body == "no");
        CHECK(response.fields.at("connection") == "close");
    }
}

TEST_CASE("responses with other framing")
{
    TestUpstream upstream([](TestConnection &connection) {
        while (true) {
            const auto request = connection.readMessage();
            if (request.firstLine.starts_with("HEAD")) {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
            } else if (request.firstLine.starts_with("GET /none")) {
                connection.send("HTTP/1.1 204 None\r\n\r\n");
            } else if (request.firstLine.starts_with("GET /chunks")) {
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nseam\r\n0\r\nTrailer: x\r\n\r\n");
            } else {
                connection.send("HTTP/1.1 200 OK\r\n\r\nuntil the end");
                return;
            }
        }
    });
    Fixture fixture;
    TestConnection caller(fixture.serve(httpService(ServiceClass::Idempotent, upstream.address())));
    SUBCASE("are forwarded in sequence on one connection")
    {
        caller.send("HEAD / HTTP/1.1\r\nHost: r\r\n\r\n");
        CHECK(caller.readMessage(false).fields.at("content-length") == "1000");
        caller.send("GET /none HTTP/1.1\r\nHost: r\r\n\r\n");
        CHECK(caller.readMessage().status() == 204);
        caller.send("GET /chunks HTTP/1.1\r\nHost: r\r\n\r\n");
        CHECK(caller.readMessage().body == "seam");
        caller.send("GET /close HTTP/1.1\r\nHost: r\r\n\r\n");
        const auto response = caller.readMessage();
        CHECK(response.body == "until the end");
        CHECK(response.complete);
    }
    SUBCASE("are forwarded without chunks to an HTTP/1.0 caller")
    {
        caller.send("GET /chunks HTTP/1.0\r\n\r\n");
        const auto response = caller.readMessage();
        CHECK_FALSE(response.fields.contains("transfer-encoding"));
        CHECK(caller.receive(4) == "seam");
        CHECK(caller.isClosed());
    }
}
