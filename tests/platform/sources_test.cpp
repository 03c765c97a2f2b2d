#include "base/counters.h"
#include "base/errors.h"
#include "platform/file_source.h"
#include "platform/http_source.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <unistd.h>

using namespace medlarway;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr auto kLimit = 10s;

std::string shardText(const std::string &service)
{
    return "services: [{name: " + service
           + ", owner: x, class: feed, kind: stream, address: 0.0.0.0:80, upstreams: [{address: 10.0.0.1:80, zone: z}]}]\n";
}

// Runs the context until the condition holds; false where it doesn't within the limit.
template<class Condition>
bool runUntil(asio::io_context &context, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(20ms);
    }
    return condition();
}

// A stand-in for the platform, in the same context: one answer at a time for each key, watches are held.
class StandInPlatform
{
public:
    struct Value {
        std::uint64_t revision = 0;
        std::string text;
    };

    explicit StandInPlatform(asio::io_context &context)
        : acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    Endpoint address() const
    {
        return {0x7f000001, acceptor_.local_endpoint().port()};
    }

    void set(const std::string &key, Value value)
    {
        values_[key] = std::move(value);
        const auto waiting = std::exchange(waiting_, {});
        for (const auto &session : waiting) {
            answer(session);
        }
    }

    std::size_t waiting() const
    {
        return waiting_.size();
    }

    int requests = 0;
    bool broken = false; ///< closes each connection after the request

private:
    struct Session {
        explicit Session(tcp::socket connected)
            : socket(std::move(connected))
        {
        }

        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        http::request<http::empty_body> request;
        http::response<http::string_body> response;
    };
    using SessionPointer = std::shared_ptr<Session>;

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (!error) {
                read(std::make_shared<Session>(std::move(socket)));
                accept();
            }
        });
    }

    void read(const SessionPointer &session)
    {
        session->request = {};
        http::async_read(session->socket, session->buffer, session->request, [this, session](const auto &error, std::size_t) {
            if (!error) {
                ++requests;
                answer(session);
            }
        });
    }

    void answer(const SessionPointer &session)
    {
        const std::string target(session->request.target());
        const auto key = target.substr(1, target.find('?') - 1);
        const auto after = target.find("after=") == std::string::npos ? 0 : std::stoull(target.substr(target.find("after=") + 6));
        const auto &value = values_[key];
        if (broken) {
            session->socket.close();
            return;
        }
        if (after != 0 && value.revision == after) {
            waiting_.push_back(session);
            return;
        }
        session->response = {http::status::ok, 11};
        session->response.set("Revision", std::to_string(value.revision));
        session->response.body() = value.text;
        session->response.prepare_payload();
        http::async_write(session->socket, session->response, [this, session](const auto &error, std::size_t) {
            if (!error) {
                read(session);
            }
        });
    }

    tcp::acceptor acceptor_;
    std::map<std::string, Value> values_;
    std::vector<SessionPointer> waiting_;
};

struct Received {
    std::vector<PlatformUpdate> updates;

    PlatformSink sink()
    {
        return [this](const PlatformUpdate &update) {
            updates.push_back(update);
            return true;
        };
    }

    std::uint64_t lastRevision() const
    {
        return updates.empty() ? 0 : std::visit([](const auto &update) { return update.revision; }, updates.back());
    }
};

struct TemporaryFile {
    std::string path = fmt::format("{}/medlarway-catalogue-{}.yaml", std::filesystem::temp_directory_path().string(), getpid());

    ~TemporaryFile()
    {
        std::filesystem::remove(path);
    }

    void write(const std::string &text) const
    {
        std::ofstream(path + ".new") << text;
        std::filesystem::rename(path + ".new", path);
    }
};

} // namespace

TEST_CASE("a watched catalogue file")
{
    asio::io_context context;
    Received received;
    TemporaryFile file;
    file.write(shardText("one"));
    FileSourceOptions options;
    options.catalogueFile = file.path;
    options.pollInterval = 2ms;
    options.hosts = {{{0x0a000001, 7400}, {"a"}, false}, {{0x0a000002, 7400}, {"b"}, false}};
    const auto source = makeFileSource(context, options, received.sink());
    source->start();
    REQUIRE(runUntil(context, [&] { return received.updates.size() == 3; }));
    const auto first = received.lastRevision();
    SUBCASE("gives the hosts of the settings by zone and the whole file as one shard")
    {
        CHECK(std::get<HostList>(received.updates.at(0)).zone.name == "a");
        CHECK(std::get<CatalogueShard>(received.updates.at(2)).name == kFileShard);
        CHECK(first == loadCatalogueFile(file.path).revision);
    }
    SUBCASE("gives a change with a higher revision, also where an older copy is put in place")
    {
        file.write(shardText("two"));
        std::filesystem::last_write_time(file.path, std::filesystem::file_time_type::clock::now() - 24h);
        REQUIRE(runUntil(context, [&] { return received.updates.size() == 4; }));
        CHECK(received.lastRevision() > first);
        CHECK(std::get<CatalogueShard>(received.updates.back()).services.at(0).name == "two");
    }
    SUBCASE("keeps the last good version where a new one is faulty or the file is gone")
    {
        const auto refused = counterValue(Counter::CatalogueRefused);
        file.write("services: nonsense\n");
        CHECK(runUntil(context, [&] { return counterValue(Counter::CatalogueRefused) == refused + 1; }));
        CHECK(source->stateAsJson().find("must be a list") != std::string::npos);
        std::filesystem::remove(file.path);
        CHECK(runUntil(context, [&] { return source->stateAsJson().find(R"("readable":false)") != std::string::npos; }));
        CHECK(received.updates.size() == 3);
        CHECK_THROWS_AS(loadCatalogueFile(file.path), Error);
    }
    source->stop();
}

TEST_CASE("a platform that is read by HTTP")
{
    asio::io_context context;
    StandInPlatform platform(context);
    platform.set("catalogue/one", {7, shardText("one")});
    Received received;
    HttpSourceOptions options;
    options.address = platform.address();
    options.shortestBackOff = 10ms;
    options.longestBackOff = 50ms;
    options.readInterval = 1ms;
    const auto source = makeHttpSource(context, options, received.sink());
    source->setWatchedKeys({{"catalogue/one", 0}});
    source->start();
    REQUIRE(runUntil(context, [&] { return platform.waiting() == 1; }));
    CHECK(received.lastRevision() == 7);
    SUBCASE("is asked once and then holds the watch until there is a change")
    {
        CHECK(platform.requests == 2);
        platform.set("catalogue/one", {9, shardText("two")});
        CHECK(runUntil(context, [&] { return received.lastRevision() == 9 && platform.waiting() == 1; }));
        CHECK(platform.requests == 3);
    }
    SUBCASE("is never followed back to an older revision")
    {
        const auto stale = counterValue(Counter::CatalogueStale);
        platform.set("catalogue/one", {5, shardText("two")});
        CHECK(runUntil(context, [&] { return counterValue(Counter::CatalogueStale) > stale + 2; }));
        CHECK(received.lastRevision() == 7);
        platform.set("catalogue/one", {8, shardText("two")});
        CHECK(runUntil(context, [&] { return received.lastRevision() == 8; }));
    }
    SUBCASE("may break off and come back")
    {
        const auto failures = counterValue(Counter::PlatformFailures);
        platform.broken = true;
        platform.set("catalogue/one", {8, shardText("two")});
        CHECK(runUntil(context, [&] { return counterValue(Counter::PlatformFailures) > failures + 3; }));
        CHECK(source->stateAsJson().find(R"("reachable":false)") != std::string::npos);
        platform.broken = false;
        CHECK(runUntil(context, [&] { return received.lastRevision() == 8; }));
        CHECK(source->stateAsJson().find(R"("reachable":true)") != std::string::npos);
    }
    SUBCASE("is asked for no key that isn't watched any longer, nor for what is known from elsewhere")
    {
        platform.set("catalogue/two", {3, shardText("two")});
        source->setWatchedKeys({{"catalogue/two", 3}});
        CHECK(runUntil(context, [&] { return platform.requests == 3 && platform.waiting() == 2; }));
        CHECK(received.updates.size() == 1);
        CHECK(source->stateAsJson().find("catalogue/one") == std::string::npos);
    }
    source->stop();
    context.restart();
    context.poll();
}
