#include "decision/group_stall.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("a group stands still only when no daemon gets anything from it", "[group_stall]")
{
    const milliseconds limit(1500);
    const milliseconds report_interval(100);
    group_stall_detector detector(limit);
    const instance_id head("h");
    const time_point start{seconds(100)};

    SECTION("one silence says nothing, however late it is found")
    {
        detector.on_silence(head, start);
        CHECK_FALSE(detector.is_stalled(head, 1, start));
        CHECK_FALSE(detector.is_stalled(instance_id("other"), 1, start + seconds(9)));
    }
    SECTION("a lost link: all requests there are silent until they are moved, later ones too")
    {
        detector.on_silence(head, start);
        detector.on_silence(head, start + milliseconds(1200));
        CHECK_FALSE(detector.is_stalled(head, 1, start + milliseconds(1200)));
        detector.on_silence(head, start + milliseconds(2400));
        CHECK(detector.is_stalled(head, 1, start + milliseconds(2400)));
    }
    SECTION("a slow engine: some daemon always finds its requests silent, while others get events")
    {
        // Guards against slow groups that are ended, formed again with the same engine, and ended again.
        for (auto now = start; now < start + seconds(8); now += report_interval) {
            detector.on_silence(head, now);
            if ((now - start) % milliseconds(900) == duration::zero()) {
                detector.on_progress(head);
            }
            CHECK_FALSE(detector.is_stalled(head, 1, now));
        }
    }
    SECTION("a slow group gets time in proportion")
    {
        for (auto now = start; now <= start + limit * 2; now += report_interval) {
            detector.on_silence(head, now);
        }
        CHECK_FALSE(detector.is_stalled(head, 3, start + limit * 2));
        CHECK(detector.is_stalled(head, 1.9, start + limit * 2));
    }
    SECTION("silences that lie far apart do not add up")
    {
        detector.on_silence(head, start);
        detector.on_silence(head, start + limit * 4);
        CHECK_FALSE(detector.is_stalled(head, 1, start + limit * 4));
    }
}
