#include "proxy/fixture.h"

#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <thread>
#include <utility>
#include <vector>

using namespace medlarway;

namespace
{

// Lets the requests of a test's upstream complete, at the latest at the end of the test, so that a failed check does not leave the
// upstream's threads waiting.
class Gate
{
public:
    ~Gate()
    {
        open();
    }

    void open()
    {
        if (!std::exchange(opened_, true)) {
            promise_.set_value();
        }
    }

    std::shared_future<void> opened() const
    {
        return future_;
    }

private:
    std::promise<void> promise_;
    std::shared_future<void> future_ = promise_.get_future().share();
    bool opened_ = false;
};

} // namespace

TEST_CASE("a planned stop")
{
    TestUpstream *self = nullptr;
    std::shared_future<void> gateOpened;
    TestUpstream upstream([&](TestConnection &connection) {
        const auto request = connection.readMessage();
        self->record(request.firstLine);
        gateOpened.wait();
        connection.send(responseText("whole"));
    });
    self = &upstream;
    Gate gate;
    gateOpened = gate.opened();
    Fixture fixture;
    const auto address = fixture.serve(Fixture::service(ServiceKind::Http, ServiceClass::Protected, {upstream.address()}));
    TestConnection running(address);
    TestConnection waiting(address);
    running.send("GET / HTTP/1.1\r\nHost: r\r\n\r\n");
    REQUIRE(eventually([&] { return upstream.records().size() == 1; }));
    fixture.engine().beginDrain();
    REQUIRE(eventually([&] { return refusesConnections(address); }));

    SUBCASE("lets the running request complete and serves another one on an open connection")
    {
        CHECK_FALSE(fixture.engine().drained());
        waiting.send("GET / HTTP/1.1\r\nHost: r\r\n\r\n");
        REQUIRE(eventually([&] { return upstream.records().size() == 2; }));
        gate.open();
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
        gate.open();
        CHECK(running.readMessage().complete);
    }
    running.close();
    waiting.close();
    CHECK(eventually([&] { return fixture.engine().drained(); }));
}

TEST_CASE("a planned stop while callers connect")
{
    TestUpstream upstream([](TestConnection &connection) {
        while (connection.readMessage().complete) {
            connection.send(responseText("whole"));
        }
    });
    Fixture fixture;
    const auto address = fixture.serve(Fixture::service(ServiceKind::Http, ServiceClass::Idempotent, {upstream.address()}));

    SUBCASE("leaves no established connection without a response")
    {
        constexpr int kCallers = 16;
        std::atomic<int> answered{0};
        std::atomic<int> lost{0};
        std::vector<std::thread> callers;
        callers.reserve(kCallers);
        for (int caller = 0; caller < kCallers; ++caller) {
            callers.emplace_back([&] {
                for (;;) {
                    TestConnection connection(address);
                    if (connection.socket() < 0) {
                        return;
                    }
                    connection.send("GET / HTTP/1.1\r\nHost: r\r\n\r\n");
                    const auto response = connection.readMessage();
                    ++(response.complete && response.body == "whole" ? answered : lost);
                }
            });
        }
        CHECK(eventually([&] { return answered > 20 * kCallers; }));
        fixture.engine().beginDrain();
        for (auto &caller : callers) {
            caller.join();
        }
        CHECK(lost == 0);
        CHECK(eventually([&] { return fixture.engine().drained(); }));
    }
}
