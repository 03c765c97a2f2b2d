#include "harness/policy_rows.h"

#include <doctest/doctest.h>
#include <fstream>

using namespace medlarway;
using namespace medlarway::model;

TEST_CASE("the policy bench")
{
    SUBCASE("reproduces the signature in bench/policy_signature.txt")
    {
        std::uint64_t expected = 0;
        std::ifstream{"bench/policy_signature.txt"} >> expected;
        CHECK(benchSignature(benchRows()) == expected);
    }
    SUBCASE("gives every request a result under every policy")
    {
        for (const BenchRow &row : benchRows()) {
            CHECK_MESSAGE(row.mean.neverEnded == 0, row.scenario << " " << row.policy);
        }
    }
}
