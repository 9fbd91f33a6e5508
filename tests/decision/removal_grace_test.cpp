#include "decision/removal_grace.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("removals are doubted only after an outage in which entries can lapse", "[removal_grace]")
{
    const time_point start{seconds(100)};
    removal_grace doubt{milliseconds(1200)};
    CHECK(!doubt.keep_until(start));

    SECTION("a watch that hangs for a second does not hide that a target leaves")
    {
        // Guards against requests to a target that left while one watch got no answer for 1.4 s.
        doubt.on_answer(milliseconds(1400), start);
        CHECK(!doubt.keep_until(start));
    }
    SECTION("after a long outage entries that vanish are kept until they can be back")
    {
        // Guards against closing groups whose engines live, when all entries lapsed in an outage.
        doubt.on_answer(milliseconds(4800), start);
        REQUIRE(doubt.keep_until(start));
        CHECK(*doubt.keep_until(start + milliseconds(100)) >= start + milliseconds(2000));

        SECTION("and then no longer")
        {
            CHECK(!doubt.keep_until(start + milliseconds(3000)));
        }
        SECTION("a short interruption after it neither ends nor extends that time")
        {
            const auto until = doubt.keep_until(start);
            doubt.on_answer(milliseconds(1400), start + milliseconds(1500));
            CHECK(doubt.keep_until(start + milliseconds(1500)) == until);
        }
    }
}
