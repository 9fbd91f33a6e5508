#include "decision/progress_monitor.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("silence is measured while requests are in flight", "[progress_monitor]")
{
    progress_monitor monitor;
    const instance_id target("e1");
    time_point now{seconds(100)};
    monitor.tick(now);

    SECTION("a target without requests is never silent")
    {
        CHECK(monitor.silence(target, now + seconds(9)) == duration::zero());
    }
    SECTION("with requests in flight")
    {
        monitor.begin(target, now);
        monitor.begin(target, now + milliseconds(300));
        CHECK(monitor.in_flight(target) == 2);
        CHECK(monitor.silence(target, now + milliseconds(400)) == milliseconds(400));

        SECTION("bytes of any request end the silence")
        {
            // Guards against counting a request that was just sent as progress.
            CHECK_FALSE(monitor.progressed(target, milliseconds(300), now + milliseconds(100)));
            monitor.progress(target, true, now + milliseconds(400));
            CHECK(monitor.silence(target, now + milliseconds(500)) == milliseconds(100));
            CHECK(monitor.progressed(target, milliseconds(300), now + milliseconds(500)));
            CHECK_FALSE(monitor.progressed(target, milliseconds(300), now + milliseconds(800)));
        }
        SECTION("a target is streaming while a request that has received bytes is in flight")
        {
            // Guards against counting requests that wait in the target's queue as overdue.
            CHECK_FALSE(monitor.streaming(target));
            monitor.progress(target, true, now + milliseconds(400));
            monitor.progress(target, false, now + milliseconds(450));
            CHECK(monitor.streaming(target));
            monitor.end(target, true);
            CHECK_FALSE(monitor.streaming(target));
            CHECK(monitor.in_flight(target) == 1);
        }
        SECTION("the end of the last request removes the target")
        {
            monitor.end(target, false);
            monitor.end(target, false);
            CHECK(monitor.busy().empty());
        }
        SECTION("a pause of this process does not count as silence of the target")
        {
            // Guards against a daemon that resumes after a pause and declares every group failed.
            for (int i = 1; i <= 4; ++i) {
                monitor.tick(now + milliseconds(50) * i);
            }
            const auto woken = now + seconds(6);
            monitor.tick(woken);
            CHECK(monitor.silence(target, woken) == duration::zero());
            CHECK(monitor.silence(target, woken + milliseconds(100)) == milliseconds(100));
        }
    }
}
