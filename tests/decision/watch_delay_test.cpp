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

TEST_CASE("only candidates for the manager watch the store soon after the notices end", "[watch_delay]")
{
    // Guards against a fleet of hundreds of daemons that all call the store at each change of the manager.
    const milliseconds read_time(1650);
    const milliseconds takeover(1800);
    CHECK(feed_patience(true, seconds(4), read_time) < seconds(1));
    CHECK(feed_patience(false, seconds(4), read_time) > takeover);

    SECTION("but always early enough to know each change in time")
    {
        for (milliseconds bound(2400); bound <= seconds(10); bound += milliseconds(50)) {
            CHECK(feed_patience(false, bound, read_time) + read_time <= bound);
        }
    }
}
