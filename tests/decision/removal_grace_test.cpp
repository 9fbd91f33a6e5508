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

TEST_CASE("after a return of the store from an older copy its entries wait",
          "[removal_grace][store_position]")
{
    const time_point start{seconds(100)};
    removal_grace grace{milliseconds(1200)};
    CHECK(!grace.hold_until(start));
    grace.on_older_copy(start);

    SECTION("known entries are kept until live targets have written again")
    {
        REQUIRE(grace.keep_until(start));
        CHECK(*grace.keep_until(start) >= start + milliseconds(2000));
        CHECK(!grace.keep_until(start + milliseconds(3000)));
    }
    SECTION("entries of which only the copy knows are held until those of lost targets have lapsed")
    {
        // Guards against requests to a target that left after the copy was made.
        REQUIRE(grace.hold_until(start));
        CHECK(*grace.hold_until(start) >= start + milliseconds(3600));
        CHECK(!grace.hold_until(start + milliseconds(5000)));
    }
    SECTION("a second return begins the times anew")
    {
        grace.on_older_copy(start + milliseconds(2000));
        CHECK(grace.keep_until(start + milliseconds(3000)));
    }
}
