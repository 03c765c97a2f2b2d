#include "proxy/fixture.h"

#include <doctest/doctest.h>
#include <future>

using namespace medlarway;

TEST_CASE("a planned stop")
{
    std::promise<void> release;
    auto released = release.get_future().share();
    TestUpstream *self = nullptr;
    TestUpstream upstream([&, released](TestConnection &connection) {
        const auto request = connection.readMessage();
        self->record(request.firstLine);
        released.wait();
        connection.send(responseText("whole"));
    });
    self = &upstream;
    Fixture fixture;
    const auto address = fixture.serve(Fixture::service(ServiceKind::Http, ServiceClass::Protected, {upstream.address()}));
    TestConnection running(address);
    TestConnection waiting(address);
    running.send("GET / HTTP/1.1\r\nHost: r\r\n\r\n");
    REQUIRE(eventually([&] { return upstream.records().size() == 1; }));
    fixture.engine().beginDrain();
    REQUIRE(eventually([&] { return TestConnection(address).socket() < 0; }));

    SUBCASE("lets the running request complete and serves another one on an open connection")
    {
        CHECK_FALSE(fixture.engine().drained());
        waiting.send("GET / HTTP/1.1\r\nHost: r\r\n\r\n");
        REQUIRE(eventually([&] { return upstream.records().size() == 2; }));
        release.set_value();
        for (auto *caller : {&running, &waiting}) {
            const auto response = caller->readMessage();
            CHECK(response.body == "whole");
            CHECK(response.fields.at("connection") == "close");
            CHECK(caller->isClosed());
        }
    }
    SUBCASE("closes an idle connection gracefully")
    {
        CHECK(waiting.isClosed());
        release.set_value();
        CHECK(running.readMessage().complete);
    }
    running.close();
    waiting.close();
    CHECK(eventually([&] { return fixture.engine().drained(); }));
}
