#include "decision/watch_delay.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

/// Calls of one daemon while an entry changes each 50 ms.
int calls_per_minute(milliseconds pause)
{
    const milliseconds change_interval(50);
    int calls = 0;
    for (milliseconds now(0); now < seconds(60); now += pause + change_interval) {
        ++calls;
    }
    return calls;
}

} // namespace

TEST_CASE("changes of a store are gathered as long as they are known in time", "[watch_delay]")
{
    const milliseconds hang_detection(1650);

    SECTION("a change is known in time even if the watch after the pause hangs")
    {
        for (milliseconds bound(1800); bound <= seconds(10); bound += milliseconds(50)) {
            CHECK(coalescing_delay(bound, hang_detection) + hang_detection <= bound);
        }
    }
    SECTION("a bound without room for a pause still gathers what changes together")
    {
        CHECK(coalescing_delay(milliseconds(500), hang_detection) > milliseconds(0));
    }
    SECTION("with a longer bound a fleet that changes all the time costs fewer calls")
    {
        // Guards against a pause that ignores the bound: 90 daemons paid a fifth of a day's worth in calls.
        const auto usual = calls_per_minute(coalescing_delay(seconds(2), hang_detection));
        CHECK(calls_per_minute(coalescing_delay(seconds(3), hang_detection)) * 2 < usual);
        CHECK(usual <= 150);
    }
    SECTION("however long the bound, a new group is known within about a second")
    {
        CHECK(coalescing_delay(seconds(60), hang_detection) <= seconds(1));
    }
}
