#include "proxy/fixture.h"

#include <atomic>
#include <doctest/doctest.h>
#include <string>

using namespace medlarway;

TEST_CASE("an upstream that sends a response a second time")
{
    std::atomic<int> number{0};
    std::atomic<bool> copyAllowed{false};
    std::atomic<int> copies{0};
    TestUpstream upstream([&](TestConnection &connection) {
        while (connection.readMessage().complete) {
            const auto response = responseText("response " + std::to_string(++number));
            if (copies == 0 && copyAllowed) {
                connection.send(response + response);
                ++copies;
            } else if (copies == 0) {
                connection.send(response);
                eventually([&] { return copyAllowed.load(); });
                connection.send(response);
                ++copies;
            } else {
                connection.send(response);
            }
        }
    });
    Fixture fixture;
    const auto address = fixture.serve(Fixture::service(ServiceKind::Http, ServiceClass::Idempotent, {upstream.address()}));
    const auto request = [&address] {
        TestConnection caller(address);
        caller.send("GET / HTTP/1.1\r\nHost: r\r\n\r\n");
        return caller.readMessage().body;
    };

    SUBCASE("together with the first: the next caller gets its own response")
    {
        copyAllowed = true;
        CHECK(request() == "response 1");
        CHECK(request() == "response 2");
    }
    SUBCASE("later, on a connection that is kept for reuse: the next caller gets its own response")
    {
        CHECK(request() == "response 1");
        copyAllowed = true;
        REQUIRE(eventually([&] { return copies == 1; }));
        CHECK(request() == "response 2");
    }
    CHECK(upstream.connections() == 2);
}
