#include "decision/target_ejection.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("a target is ejected for as long as its registry entry may be outdated", "[target_ejection]")
{
    const milliseconds heartbeat(1200);

    SECTION("a replaced target is ejected until its entry has expired")
    {
        // Guards against requests that spend their attempts on targets that no longer exist: after the return
        // of a zone each daemon tried every old entry again every 0.4 s.
        const auto ejection = ejection_after(target_fault::replaced, heartbeat);
        CHECK(ejection.time >= 3 * heartbeat);
        CHECK(ejection.shared);
    }
    SECTION("a target that accepts no connection is ejected by all daemons")
    {
        // Guards against a fleet in which each daemon waits for a connection of its own to a failed target.
        const auto ejection = ejection_after(target_fault::unreachable, heartbeat);
        CHECK(ejection.time >= milliseconds(500));
        CHECK(ejection.time < 3 * heartbeat);
        CHECK(ejection.shared);
    }
    SECTION("a full target is ejected for a short time and by this daemon only")
    {
        // Guards against a full target that all daemons eject, which fills the other targets.
        const auto ejection = ejection_after(target_fault::refused, heartbeat);
        CHECK(ejection.time < heartbeat);
        CHECK_FALSE(ejection.shared);
    }
}
