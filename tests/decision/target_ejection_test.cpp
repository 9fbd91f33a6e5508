#include "decision/target_ejection.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("a target is avoided for as long as the registry may show it wrongly", "[target_ejection]")
{
    const milliseconds heartbeat(1200);

    SECTION("one that was replaced, until its entry must have lapsed")
    {
        // Guards against requests that use up their attempts at targets that are gone: after the return of a
        // zone each daemon tried every old entry again every 0.4 s.
        const auto doubt = ejection_after(target_fault::replaced, heartbeat);
        CHECK(doubt.time >= 3 * heartbeat);
        CHECK(doubt.shared);
    }
    SECTION("one that takes no connection, by all daemons")
    {
        // Guards against a fleet in which each daemon waits for a connection of its own to a dark target.
        const auto doubt = ejection_after(target_fault::unreachable, heartbeat);
        CHECK(doubt.time >= milliseconds(500));
        CHECK(doubt.time < 3 * heartbeat);
        CHECK(doubt.shared);
    }
    SECTION("one that is full, shortly and by this daemon only")
    {
        // Guards against a full target that all daemons avoid, so that the others fill up.
        const auto doubt = ejection_after(target_fault::refused, heartbeat);
        CHECK(doubt.time < heartbeat);
        CHECK_FALSE(doubt.shared);
    }
}
