#include "decision/pause_detector.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("a process detects that it was paused", "[pause_detector]")
{
    // Guards against a busy manager that presumes engines lost because it read their answers too late: on a
    // machine with 0.12 cores it closed eight healthy groups in six seconds.
    const time_point start = time_point{} + std::chrono::hours(1);
    pause_detector pauses;
    for (int i = 0; i <= 10; ++i) {
        CHECK_FALSE(pauses.tick(start + i * milliseconds(50)));
    }
    const auto sent = start + milliseconds(500);
    CHECK_FALSE(pauses.paused_since(sent, sent + milliseconds(60)));

    SECTION("a late tick shows the pause")
    {
        CHECK(pauses.tick(sent + milliseconds(400)));
        CHECK(pauses.paused_since(sent, sent + milliseconds(410)));

        SECTION("the pause does not affect requests that were sent after it")
        {
            CHECK_FALSE(pauses.tick(sent + milliseconds(450)));
            CHECK_FALSE(pauses.paused_since(sent + milliseconds(410), sent + milliseconds(460)));
        }
    }
    SECTION("the pause is detected before the late tick itself")
    {
        CHECK(pauses.paused_since(sent, sent + milliseconds(400)));
    }
}
