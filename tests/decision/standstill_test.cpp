#include "decision/standstill.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("a group stands still only when no daemon gets anything from it", "[standstill]")
{
    const milliseconds limit(1500);
    const milliseconds report_interval(100);
    standstill_evidence evidence(limit);
    const instance_id head("h");
    const time_point start{seconds(100)};

    SECTION("one silence says nothing, however late it is found")
    {
        evidence.on_silence(head, start);
        CHECK_FALSE(evidence.stands_still(head, 1, start));
        CHECK_FALSE(evidence.stands_still(instance_id("other"), 1, start + seconds(9)));
    }
    SECTION("a lost link: all requests there are silent until they are moved, later ones too")
    {
        evidence.on_silence(head, start);
        evidence.on_silence(head, start + milliseconds(1200));
        CHECK_FALSE(evidence.stands_still(head, 1, start + milliseconds(1200)));
        evidence.on_silence(head, start + milliseconds(2400));
        CHECK(evidence.stands_still(head, 1, start + milliseconds(2400)));
    }
    SECTION("a slow engine: some daemon always finds its requests silent, while others get events")
    {
        // Guards against slow groups that are ended, formed again with the same engine, and ended again.
        for (auto now = start; now < start + seconds(8); now += report_interval) {
            evidence.on_silence(head, now);
            if ((now - start) % milliseconds(900) == duration::zero()) {
                evidence.on_progress(head);
            }
            CHECK_FALSE(evidence.stands_still(head, 1, now));
        }
    }
    SECTION("a slow group gets time in proportion")
    {
        for (auto now = start; now <= start + limit * 2; now += report_interval) {
            evidence.on_silence(head, now);
        }
        CHECK_FALSE(evidence.stands_still(head, 3, start + limit * 2));
        CHECK(evidence.stands_still(head, 1.9, start + limit * 2));
    }
    SECTION("silences that lie far apart do not add up")
    {
        evidence.on_silence(head, start);
        evidence.on_silence(head, start + limit * 4);
        CHECK_FALSE(evidence.stands_still(head, 1, start + limit * 4));
    }
}
