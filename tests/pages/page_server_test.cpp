#include "harness/run_until.h"
#include "pages/http_client.h"
#include "pages/page_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

Endpoint freeEndpoint()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    return Endpoint{0x7f000001, acceptor.local_endpoint().port()};
}

boost::asio::awaitable<void> request(boost::asio::io_context &context, Endpoint server, std::string target, unsigned &status)
{
    HttpClient client(context, server);
    const auto response = co_await client.get(std::move(target), 5s, 5s);
    status = response ? response->status : 1;
}

} // namespace

TEST_CASE("a page server answers after any number of pages that threw")
{
    boost::asio::io_context context;
    const auto address = freeEndpoint();
    PageServer server(context, address, [](const std::string &target) -> PageResponse {
        if (target == "/fault") {
            throw 1;
        }
        return {};
    });
    server.start();
    const auto statusOf = [&](const std::string &target) {
        unsigned status = 0;
        boost::asio::co_spawn(context, request(context, address, target, status), boost::asio::detached);
        CHECK(runUntil(context, [&] { return status != 0; }));
        return status;
    };
    for (int fault = 0; fault < 100; ++fault) {
        REQUIRE(statusOf("/fault") == 500);
    }
    CHECK(statusOf("/") == 200);
}
