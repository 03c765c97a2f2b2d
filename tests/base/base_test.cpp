#include "base/endpoint.h"
#include "base/errors.h"
#include "base/host.h"
#include "base/log.h"
#include "base/random.h"
#include "base/ring.h"

#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <poll.h>
#include <set>
#include <unistd.h>

using namespace medlarway;

TEST_CASE("an endpoint")
{
    SUBCASE("is written as it was read")
    {
        const auto endpoint = parseEndpoint("127.0.0.3:8080");
        REQUIRE(endpoint);
        CHECK(endpointToString(*endpoint) == "127.0.0.3:8080");
        CHECK(endpointOf(hostIdOf(*endpoint)) == *endpoint);
    }
    SUBCASE("is refused where the text is anything else")
    {
        for (const auto *text :
             {"", "1.2.3.4", "1.2.3:80", "1.2.3.256:80", "1.2.3.4:65536", "1.2.3.4:80 ", "01.2.3.4:80", "1.2.3.4:-1", "1.2.3.4.5:80"}) {
            CAPTURE(text);
            CHECK_FALSE(parseEndpoint(text));
        }
    }
}

TEST_CASE("the error table")
{
    SUBCASE("has a row for every kind, in order")
    {
        for (std::size_t row = 0; row < allErrorRows().size(); ++row) {
            CHECK(static_cast<std::size_t>(allErrorRows()[row].kind) == row);
        }
    }
    SUBCASE("answers not-run only with a status that promises it")
    {
        const std::set<int> notRun{0, 400, 408, 413, 429, 431, 503};
        const std::set<int> unknown{0, 502, 504};
        for (const auto &row : allErrorRows()) {
            CAPTURE(row.name);
            if (row.outcome == Outcome::NotRun) {
                CHECK(notRun.contains(row.httpStatus));
            } else if (row.outcome == Outcome::Unknown) {
                CHECK(unknown.contains(row.httpStatus));
            } else {
                CHECK(row.httpStatus == 0);
            }
        }
    }
}

TEST_CASE("the list of events")
{
    SUBCASE("rises by number, so that none is used twice")
    {
        for (std::size_t row = 1; row < allEvents().size(); ++row) {
            CHECK(allEvents()[row - 1].event < allEvents()[row].event);
        }
    }
    SUBCASE("keeps a hostile value on one line and within its quotes")
    {
        const std::array fields{field("path", "a\n802 b=\"c\"")};
        CHECK(formatLogLine(eventInfo(Event::BadRequest), fields).ends_with(R"(path="a\x0a802 b=\"c\"")"));
    }
    SUBCASE("leaves bytes above ASCII as they are, also where char is signed")
    {
        const std::array fields{field("path", "/caf\xc3\xa9")};
        CHECK(formatLogLine(eventInfo(Event::BadRequest), fields).ends_with("path=/caf\xc3\xa9"));
    }
}

TEST_CASE("a ring")
{
    Ring<int> ring(2);
    SUBCASE("refuses and counts when it is full")
    {
        CHECK(ring.push(1));
        CHECK(ring.push(2));
        CHECK_FALSE(ring.push(3));
        CHECK(ring.refused() == 1);
        CHECK(ring.pop() == 1);
        CHECK(ring.push(4));
        CHECK(ring.pop() == 2);
        CHECK(ring.pop() == 4);
        CHECK_FALSE(ring.pop());
    }
}

TEST_CASE("the generator")
{
    SUBCASE("gives the same sequence for the same seed")
    {
        Random first(7);
        Random second(7);
        for (int i = 0; i < 100; ++i) {
            CHECK(first() == second());
        }
    }
    SUBCASE("stays below its bound")
    {
        Random random(1);
        for (int i = 0; i < 1000; ++i) {
            CHECK(random.below(3) < 3);
            CHECK(random.unit() < 1.0);
        }
    }
}

TEST_CASE("a log that nobody reads")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    setLogDescriptor(ends[1]);
    const std::string long1k(1000, 'x');
    const auto logMuch = [&long1k] {
        for (int line = 0; line < logBurst(Event::FlowPlaced); ++line) {
            logEvent(Event::FlowPlaced, {field("detail", long1k)});
            logEvent(Event::FlowFound, {field("detail", long1k)});
        }
        flushLog();
    };
    // Reads what is there, without waiting.
    const auto readAll = [&ends] {
        std::string text;
        std::array<char, 65536> buffer{};
        pollfd ready{ends[0], POLLIN, 0};
        while (poll(&ready, 1, 0) > 0) {
            const auto size = read(ends[0], buffer.data(), buffer.size());
            REQUIRE(size > 0);
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    };

    SUBCASE("holds nobody up, and says once it is read how much is missing")
    {
        logMuch(); // 400 kB, above what the pipe (64 kB) and the lines that wait (64 kB) hold
        const auto before = readAll();
        CHECK(before.size() >= 60'000);
        flushLog();
        logEvent(Event::Stopped);
        auto after = readAll();
        flushLog();
        after += readAll();
        CHECK(after.find("106 LogLinesLost") != std::string::npos);
        CHECK(after.find("102 Stopped") != std::string::npos);
    }
    SUBCASE("says how much is missing where its reader went away, too")
    {
        std::signal(SIGPIPE, SIG_IGN); // as the daemon does
        close(ends[0]);
        logEvent(Event::StopRequested);
        REQUIRE(pipe(ends.data()) == 0);
        setLogDescriptor(ends[1]);
        logEvent(Event::Stopped);
        CHECK(readAll().find("106 LogLinesLost \"lines were lost, as nobody reads the log\" lines=1\n") != std::string::npos);
    }
    SUBCASE("has room for each kind of event, however many there are of another")
    {
        const auto room = [] { return logTakes(Event::FlowPlaced); };
        int lines = 0;
        while (room() && lines <= logBurst(Event::FlowPlaced)) {
            logEvent(Event::FlowPlaced);
            ++lines;
        }
        CHECK(lines <= logBurst(Event::FlowPlaced));
        CHECK_FALSE(room());
        CHECK(logTakes(Event::FlowReset));
    }
    setLogDescriptor(STDERR_FILENO);
    close(ends[0]);
    close(ends[1]);
}
