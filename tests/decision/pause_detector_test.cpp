#include "decision/pause_detector.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("a process notices that it stood still", "[pause_detector]")
{
    // Guards against engines that a busy manager takes for lost because it read their answers too late: on a
    // machine with 0.12 cores it ended eight sound groups in six seconds.
    const time_point start = time_point{} + std::chrono::hours(1);
    pause_detector pauses;
    for (int i = 0; i <= 10; ++i) {
        CHECK_FALSE(pauses.tick(start + i * milliseconds(50)));
    }
    const auto asked = start + milliseconds(500);
    CHECK_FALSE(pauses.paused_since(asked, asked + milliseconds(60)));

    SECTION("by a tick that comes late")
    {
        CHECK(pauses.tick(asked + milliseconds(400)));
        CHECK(pauses.paused_since(asked, asked + milliseconds(410)));

        SECTION("which says nothing about what was asked later")
        {
            CHECK_FALSE(pauses.tick(asked + milliseconds(450)));
            CHECK_FALSE(pauses.paused_since(asked + milliseconds(410), asked + milliseconds(460)));
        }
    }
    SECTION("also before the late tick itself")
    {
        CHECK(pauses.paused_since(asked, asked + milliseconds(400)));
    }
}
