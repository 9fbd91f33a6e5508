#include "decision/group_stall.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("a group is stalled only when no daemon receives bytes from it", "[group_stall]")
{
    const milliseconds limit(1500);
    const milliseconds report_interval(100);
    group_stall_detector detector(limit);
    const instance_id head("h");
    const time_point start{seconds(100)};

    SECTION("a single report of silence is no stall, whatever its time")
    {
        detector.on_silence(head, start);
        CHECK_FALSE(detector.is_stalled(head, 1, start));
        CHECK_FALSE(detector.is_stalled(instance_id("other"), 1, start + seconds(9)));
    }
    SECTION("a lost link silences all requests of the group until they are rerouted, later ones too")
    {
        detector.on_silence(head, start);
        detector.on_silence(head, start + milliseconds(1200));
        CHECK_FALSE(detector.is_stalled(head, 1, start + milliseconds(1200)));
        detector.on_silence(head, start + milliseconds(2400));
        CHECK(detector.is_stalled(head, 1, start + milliseconds(2400)));
    }
    SECTION("a slow engine is no stall: some daemon always reports silence, while others receive events")
    {
        // Guards against slow groups that are closed, formed again with the same engine, and closed again.
        for (auto now = start; now < start + seconds(8); now += report_interval) {
            detector.on_silence(head, now);
            if ((now - start) % milliseconds(900) == duration::zero()) {
                detector.on_progress(head);
            }
            CHECK_FALSE(detector.is_stalled(head, 1, now));
        }
    }
    SECTION("the limit of a slow group grows with its slowness")
    {
        for (auto now = start; now <= start + limit * 2; now += report_interval) {
            detector.on_silence(head, now);
        }
        CHECK_FALSE(detector.is_stalled(head, 3, start + limit * 2));
        CHECK(detector.is_stalled(head, 1.9, start + limit * 2));
    }
    SECTION("reports of silence that are far apart do not add up")
    {
        detector.on_silence(head, start);
        detector.on_silence(head, start + limit * 4);
        CHECK_FALSE(detector.is_stalled(head, 1, start + limit * 4));
    }
}
