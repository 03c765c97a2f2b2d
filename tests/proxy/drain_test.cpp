#include "proxy/fixture.h"

#include <doctest/doctest.h>
#include <future>

using namespace medlarway;

TEST_CASE("a planned stop")
{
    std::promise<void> release;
    auto released = release.get_future().share();
    StandIn *self = nullptr;
    StandIn upstream([&, released](Wire &wire) {
        const auto request = wire.readMessage();
        self->note(request.firstLine);
        released.wait();
        wire.send(answerText("whole"));
    });
    self = &upstream;
    Fixture fixture;
    const auto address = fixture.serve(Fixture::service(ServiceKind::Http, ServiceClass::Protected, {upstream.address()}));
    Wire running(address);
    Wire waiting(address);
    running.send("GET / HTTP/1.1\r\nHost: r\r\n\r\n");
    REQUIRE(eventually([&] { return upstream.notes().size() == 1; }));
    fixture.engine().beginDrain();
    REQUIRE(eventually([&] { return Wire(address).socket() < 0; }));

    SUBCASE("lets the running request end and serves one that still comes on an open connection")
    {
        CHECK_FALSE(fixture.engine().drained());
        waiting.send("GET / HTTP/1.1\r\nHost: r\r\n\r\n");
        REQUIRE(eventually([&] { return upstream.notes().size() == 2; }));
        release.set_value();
        for (auto *caller : {&running, &waiting}) {
            const auto answer = caller->readMessage();
            CHECK(answer.body == "whole");
            CHECK(answer.fields.at("connection") == "close");
            CHECK(caller->isClosed());
        }
    }
    SUBCASE("closes a silent connection in order")
    {
        CHECK(waiting.isClosed());
        release.set_value();
        CHECK(running.readMessage().whole);
    }
    running.close();
    waiting.close();
    CHECK(eventually([&] { return fixture.engine().drained(); }));
}
