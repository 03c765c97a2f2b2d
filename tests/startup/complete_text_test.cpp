#include "startup/complete_text.h"

#include <doctest/doctest.h>

using namespace medlarway;

TEST_CASE("a file that may be rewritten in place")
{
    const Time start{std::chrono::hours{1}};
    CompleteText text;
    SUBCASE("is complete at once if it ends with the marker of a document's end")
    {
        CHECK(text.offer("a: 1\n...\n", start) == TextState::Complete);
        CHECK(text.offer("a: 1\r\n...\r\n", start) == TextState::Complete);
        CHECK(text.offer("a: 1\n... # the end\n", start) == TextState::Complete);
        CHECK(text.offer("a: 1\nb: 2\n...", start) == TextState::Complete);
        CHECK(text.text() == "a: 1\nb: 2\n...");
    }
    SUBCASE("is complete without the marker once it has not changed for a while")
    {
        CHECK(text.offer("a: 1\n", start) == TextState::Unsettled);
        CHECK(text.offer("a: 1\nb: 2\n", start + kSettleTime) == TextState::Unsettled);
        CHECK(text.offer("a: 1\nb: 2\n", start + kSettleTime * 2 - Duration{1}) == TextState::Unsettled);
        CHECK(text.offer("a: 1\nb: 2\n", start + kSettleTime * 2) == TextState::Complete);
    }
    SUBCASE("is never complete while it is missing or blank")
    {
        CHECK(text.offer(std::nullopt, start) == TextState::Missing);
        CHECK(text.offer(std::nullopt, start + kSettleTime) == TextState::Missing);
        CHECK(text.offer("", start + kSettleTime) == TextState::Missing);
        CHECK(text.offer(" \n\n", start + kSettleTime * 3) == TextState::Missing);
    }
    SUBCASE("is not complete because a line or a value ends with three dots")
    {
        CHECK(text.offer("a: ...\n", start) == TextState::Unsettled);
        CHECK(text.offer("a: |\n  ...\n", start) == TextState::Unsettled);
        CHECK(text.offer("....\n", start) == TextState::Unsettled);
    }
}
