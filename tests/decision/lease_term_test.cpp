#include "decision/lease_term.hpp"

#include "base/suspension.hpp"

#include <catch2/catch.hpp>

using namespace rml;

// Guards against a machine that was suspended and acts on a lease that ran out meanwhile.
TEST_CASE("a lease runs on while the machine is suspended", "[decision][lease_term]")
{
    const time_point sent{seconds(1000)};
    const lease_term term{sent + milliseconds(1500), seconds(7)};
    CHECK(term.holds(sent + milliseconds(1499), seconds(7)));
    CHECK_FALSE(term.holds(sent + milliseconds(1500), seconds(7)));

    SECTION("the steady clock does not count the suspension")
    {
        CHECK(term.holds(sent + milliseconds(400), seconds(8)));
        CHECK_FALSE(term.holds(sent + milliseconds(500), seconds(8)));
        CHECK_FALSE(term.holds(sent + milliseconds(1), seconds(12)));
    }
    SECTION("no lease holds")
    {
        CHECK_FALSE(lease_term{}.holds(sent, seconds(0)));
    }
    SECTION("the time of the machine does not shrink")
    {
        const auto before = suspended_time();
        CHECK(suspended_time() - before > -milliseconds(1));
    }
}
