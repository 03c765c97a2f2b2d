#include "yaml/map_reader.h"
#include "yaml/scalars.h"

#include <doctest/doctest.h>

using namespace medlarway;
using namespace std::chrono_literals;

TEST_CASE("a duration")
{
    SUBCASE("is parsed with its unit and formatted back to the same text")
    {
        CHECK(parseDuration("500ms") == Duration{500ms});
        CHECK(parseDuration("30s") == Duration{30s});
        CHECK(parseDuration("5m") == Duration{5min});
        for (const auto *text : {"500ms", "30s", "5m", "2h", "1500ms"}) {
            CHECK(durationToString(parseDuration(text).value()) == text);
        }
    }
    SUBCASE("is rejected without a unit, with a sign or a fraction, and beyond a year")
    {
        for (const auto *text : {"", "5", "s", "-5s", "1.5s", "5 s", "5S", "99999999999999999999s", "99999999h"}) {
            CAPTURE(text);
            CHECK_FALSE(parseDuration(text));
        }
    }
}

TEST_CASE("a number of bytes")
{
    CHECK(parseByteCount("1000") == 1000);
    CHECK(parseByteCount("64KiB") == 65536);
    CHECK(parseByteCount("1GiB") == 1ULL << 30U);
    CHECK_FALSE(parseByteCount("64KB"));
    CHECK_FALSE(parseByteCount("18446744073709551615GiB"));
}

TEST_CASE("a YAML text")
{
    Faults faults;
    SUBCASE("that isn't valid YAML gives one error with its position")
    {
        CHECK_FALSE(readDocument("a: [1, 2\nb: 3\n", faults));
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].position.line == 2);
    }
    SUBCASE("without a document or with two documents is rejected")
    {
        CHECK_FALSE(readDocument("", faults));
        CHECK_FALSE(readDocument("a: 1\n---\nb: 2\n", faults));
        CHECK(faults.size() == 2);
    }
    SUBCASE("that YAML::LoadAll would parse forever is rejected")
    {
        const std::string text(", Settings of one host. Every key iso long for open feeds\012limits:\012  head-bytes: 163 shown; "
                               "docs/Oers.p$evious.key   # while the key is rotated\012  bytesvery key i",
                               160);
        CHECK_FALSE(readDocument(text, faults));
        CHECK(faults.size() == 1);
    }
    SUBCASE("with an alias is rejected")
    {
        CHECK_FALSE(readDocument("a: &name [*name]\n", faults));
        CHECK(faultsToString(faults) == "1:1: must not use aliases (*name)");
    }
    SUBCASE("with a duplicate key gives an error that names both positions")
    {
        const auto node = readDocument("a: 1\nb: 2\na: 3\n", faults);
        REQUIRE(node);
        MapReader reader(*node, "map", faults);
        REQUIRE(faults.size() == 1);
        CHECK(faultToString(faults[0]) == "3:1: map: key 'a' is given twice, first at 1:1");
    }
}
