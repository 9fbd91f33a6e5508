#include "decision/removal_grace.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("removals are delayed only after an outage in which entries can expire", "[removal_grace]")
{
    const time_point start{seconds(100)};
    removal_grace doubt{milliseconds(1200)};
    CHECK(!doubt.keep_until(start));

    SECTION("a watch that hangs for a second does not delay the removal of a target")
    {
        // Guards against requests to a target that left while a watch received no answer for 1.4 s.
        doubt.on_answer(milliseconds(1400), start);
        CHECK(!doubt.keep_until(start));
    }
    SECTION("after a long outage removed entries are kept until their targets have registered again")
    {
        // Guards against closing groups of live engines because all entries expired in an outage.
        doubt.on_answer(milliseconds(4800), start);
        REQUIRE(doubt.keep_until(start));
        CHECK(*doubt.keep_until(start + milliseconds(100)) >= start + milliseconds(2000));

        SECTION("removals take effect at once after the grace period")
        {
            CHECK(!doubt.keep_until(start + milliseconds(3000)));
        }
        SECTION("a later short interruption neither ends nor extends the grace period")
        {
            const auto until = doubt.keep_until(start);
            doubt.on_answer(milliseconds(1400), start + milliseconds(1500));
            CHECK(doubt.keep_until(start + milliseconds(1500)) == until);
        }
    }
}
