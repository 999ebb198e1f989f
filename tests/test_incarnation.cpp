#include "base_incarnation_p.h"

#include <catch2/catch.hpp>

#include <set>

using namespace agatedrum;

// Guards against two processes of one name with the same incarnation, whose answers cannot be told apart.
TEST_CASE("An incarnation is unique and rises with the wall clock", "[incarnation]")
{
    constexpr std::int64_t wallMs = 1768812909000;

    SECTION("two starts at the same wall clock time have different incarnations")
    {
        CHECK(makeIncarnation(wallMs, 1) != makeIncarnation(wallMs, 2));
        std::set<std::int64_t> incarnations;
        for (int i = 0; i < 10; ++i) {
            incarnations.insert(makeIncarnation(wallMs));
        }
        CHECK(incarnations.size() > 8); // the same number by chance is possible, and unlikely
    }
    SECTION("a later start has a higher incarnation, whatever the random numbers are")
    {
        CHECK(makeIncarnation(wallMs, 0xffffffff) < makeIncarnation(wallMs + 1, 0));
    }
    SECTION("a wall clock that is a century ahead does not overflow it")
    {
        constexpr std::int64_t centuryMs = 36525LL * 86400 * 1000;
        CHECK(makeIncarnation(wallMs + centuryMs, 0xffffffff) > makeIncarnation(wallMs, 0));
    }
}
