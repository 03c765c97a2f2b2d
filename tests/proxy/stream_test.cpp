#include "proxy/fixture.h"

#include <doctest/doctest.h>

using namespace medlarway;

namespace
{

// Echoes all bytes and sends "bye" after end of file.
void echoStream(TestConnection &connection)
{
    for (auto bytes = connection.receiveSome(); !bytes.empty(); bytes = connection.receiveSome()) {
        connection.send(bytes);
    }
    connection.send("bye");
}

Service streamService(const std::vector<Endpoint> &upstreams)
{
    return Fixture::service(ServiceKind::Stream, ServiceClass::Feed, upstreams);
}

} // namespace

TEST_CASE("a stream")
{
    TestUpstream upstream(echoStream);
    Fixture fixture;
    auto service = streamService({upstream.address()});
    const auto address = fixture.serve(service);
    TestConnection caller(address);
    caller.send("lacquer");
    REQUIRE(caller.receive(7) == "lacquer");

    SUBCASE("continues in one direction after the other was closed")
    {
        caller.send("gold");
        caller.shutdownSend();
        CHECK(caller.receive(7) == "goldbye");
        CHECK(caller.isClosed());
    }
    SUBCASE("continues when its upstream is removed from the catalogue, while new ones use another")
    {
        TestUpstream other([](TestConnection &connection) { connection.send("other"); });
        service.upstreams = streamService({other.address()}).upstreams;
        fixture.serve(service);
        TestConnection next(address);
        CHECK(next.receive(5) == "other");
        caller.send("still");
        CHECK(caller.receive(5) == "still");
    }
    SUBCASE("continues when its service is removed")
    {
        fixture.remove(service.name);
        CHECK(TestConnection(address).socket() < 0);
        caller.send("still");
        CHECK(caller.receive(5) == "still");
    }
    SUBCASE("continues when its service changes its address")
    {
        service.address = closedEndpoint();
        fixture.serve(service);
        REQUIRE(eventually([&] { return TestConnection(service.address).socket() >= 0; }));
        TestConnection next(service.address);
        next.send("new");
        CHECK(next.receive(3) == "new");
        caller.send("still");
        CHECK(caller.receive(5) == "still");
    }
    SUBCASE("may finish within the drain timeout of a planned stop")
    {
        fixture.engine().beginDrain();
        REQUIRE(eventually([&] { return TestConnection(address).socket() < 0; }));
        CHECK_FALSE(fixture.engine().drained());
        caller.send("still");
        CHECK(caller.receive(5) == "still");
        caller.shutdownSend();
        CHECK(caller.receive(3) == "bye");
        CHECK(eventually([&] { return fixture.engine().drained(); }));
    }
}

TEST_CASE("a stream whose upstream is reset is reset too")
{
    TestUpstream upstream([](TestConnection &connection) {
        connection.send("half");
        connection.receive(1);
        connection.reset();
    });
    Fixture fixture;
    TestConnection caller(fixture.serve(streamService({upstream.address()})));
    CHECK(caller.receive(4) == "half");
    caller.send("x");
    CHECK(caller.isReset());
}

TEST_CASE("a stream whose first upstream can't be reached is connected to the next one")
{
    TestUpstream upstream(echoStream);
    Fixture fixture;
    const auto address = fixture.serve(streamService({closedEndpoint(), upstream.address()}));
    for (int round = 0; round < 5; ++round) {
        TestConnection caller(address);
        caller.send("seam");
        CHECK(caller.receive(4) == "seam");
    }
}
