#include "proxy/fixture.h"

#include <doctest/doctest.h>

using namespace medlarway;

namespace
{

// Sends back what it gets, and "bye" at the end.
void echoStream(Wire &wire)
{
    for (auto bytes = wire.receiveSome(); !bytes.empty(); bytes = wire.receiveSome()) {
        wire.send(bytes);
    }
    wire.send("bye");
}

Service streamService(const std::vector<Endpoint> &upstreams)
{
    return Fixture::service(ServiceKind::Stream, ServiceClass::Feed, upstreams);
}

} // namespace

TEST_CASE("a stream")
{
    StandIn upstream(echoStream);
    Fixture fixture;
    auto service = streamService({upstream.address()});
    const auto address = fixture.serve(service);
    Wire caller(address);
    caller.send("lacquer");
    REQUIRE(caller.receive(7) == "lacquer");

    SUBCASE("goes on in one direction after the other has ended")
    {
        caller.send("gold");
        caller.endSending();
        CHECK(caller.receive(7) == "goldbye");
        CHECK(caller.isClosed());
    }
    SUBCASE("runs on while its upstream is taken from the catalogue, and new ones go elsewhere")
    {
        StandIn other([](Wire &wire) { wire.send("other"); });
        service.upstreams = streamService({other.address()}).upstreams;
        fixture.serve(service);
        Wire next(address);
        CHECK(next.receive(5) == "other");
        caller.send("still");
        CHECK(caller.receive(5) == "still");
    }
    SUBCASE("runs on while its service is removed")
    {
        fixture.remove(service.name);
        CHECK(Wire(address).socket() < 0);
        caller.send("still");
        CHECK(caller.receive(5) == "still");
    }
    SUBCASE("runs on while its service moves")
    {
        service.address = deadEndpoint();
        fixture.serve(service);
        REQUIRE(eventually([&] { return Wire(service.address).socket() >= 0; }));
        Wire next(service.address);
        next.send("new");
        CHECK(next.receive(3) == "new");
        caller.send("still");
        CHECK(caller.receive(5) == "still");
    }
    SUBCASE("is finished within the grace of a planned stop")
    {
        fixture.engine().beginDrain();
        REQUIRE(eventually([&] { return Wire(address).socket() < 0; }));
        CHECK_FALSE(fixture.engine().drained());
        caller.send("still");
        CHECK(caller.receive(5) == "still");
        caller.endSending();
        CHECK(caller.receive(3) == "bye");
        CHECK(eventually([&] { return fixture.engine().drained(); }));
    }
}

TEST_CASE("a stream whose upstream is reset is reset too")
{
    StandIn upstream([](Wire &wire) {
        wire.send("half");
        wire.receive(1);
        wire.reset();
    });
    Fixture fixture;
    Wire caller(fixture.serve(streamService({upstream.address()})));
    CHECK(caller.receive(4) == "half");
    caller.send("x");
    CHECK(caller.isReset());
}

TEST_CASE("a stream whose first upstream can't be reached goes to the next one")
{
    StandIn upstream(echoStream);
    Fixture fixture;
    const auto address = fixture.serve(streamService({deadEndpoint(), upstream.address()}));
    for (int round = 0; round < 5; ++round) {
        Wire caller(address);
        caller.send("seam");
        CHECK(caller.receive(4) == "seam");
    }
}
