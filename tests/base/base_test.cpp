#include "base/endpoint.h"
#include "base/errors.h"
#include "base/host.h"
#include "base/random.h"
#include "base/ring.h"

#include <array>
#include <doctest/doctest.h>
#include <set>

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
