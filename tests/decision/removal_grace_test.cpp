#include "decision/removal_grace.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("removals are delayed only after an outage in which entries can expire", "[removal_grace]")
{
    const time_point start{seconds(100)};
    removal_grace grace{milliseconds(1200)};
    CHECK(!grace.keep_until(start));

    SECTION("a watch that hangs for a second does not delay the removal of a target")
    {
        // Guards against requests to a target that left while a watch received no answer for 1.4 s.
        grace.on_answer(milliseconds(1400), start);
        CHECK(!grace.keep_until(start));
    }
    SECTION("after a long outage removed entries are kept until their targets have registered again")
    {
        // Guards against closing groups of live engines because all entries expired in an outage.
        grace.on_answer(milliseconds(4800), start);
        REQUIRE(grace.keep_until(start));
        CHECK(*grace.keep_until(start + milliseconds(100)) >= start + milliseconds(2000));

        SECTION("removals take effect at once after the grace period")
        {
            CHECK(!grace.keep_until(start + milliseconds(3000)));
        }
        SECTION("a later short interruption neither ends nor extends the grace period")
        {
            const auto until = grace.keep_until(start);
            grace.on_answer(milliseconds(1400), start + milliseconds(1500));
            CHECK(grace.keep_until(start + milliseconds(1500)) == until);
        }
    }
}
