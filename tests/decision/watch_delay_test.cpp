#include "decision/watch_delay.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

/// Number of calls of one daemon while an entry changes every 50 ms.
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

TEST_CASE("changes of a store are coalesced within the bound on staleness", "[watch_delay]")
{
    const milliseconds hang_detection(1650);

    SECTION("a change is known in time even if the watch after the delay hangs")
    {
        for (milliseconds bound(1800); bound <= seconds(10); bound += milliseconds(50)) {
            CHECK(coalescing_delay(bound, hang_detection) + hang_detection <= bound);
        }
    }
    SECTION("a bound that is too short for a delay still coalesces simultaneous changes")
    {
        CHECK(coalescing_delay(milliseconds(500), hang_detection) > milliseconds(0));
    }
    SECTION("with a longer bound a fleet that changes all the time makes fewer calls")
    {
        // Guards against a delay that ignores the bound: the calls of 90 daemons cost a fifth of the
        // value of a day.
        const auto usual = calls_per_minute(coalescing_delay(seconds(2), hang_detection));
        CHECK(calls_per_minute(coalescing_delay(seconds(3), hang_detection)) * 2 < usual);
        CHECK(usual <= 150);
    }
    SECTION("with any bound a new group is known within about a second")
    {
        CHECK(coalescing_delay(seconds(60), hang_detection) <= seconds(1));
    }
}
