#include "decision/start_allowance.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

constexpr std::int64_t own_start = 1'000'000;

start_peer started_before(seconds time, bool heard)
{
    return {own_start - milliseconds(time).count(), heard};
}

} // namespace

TEST_CASE("a daemon that starts tells a fleet that starts at once from its own restart", "[start_allowance]")
{
    std::vector<start_peer> others;
    const auto add = [&](int count, seconds before, bool heard) {
        others.insert(others.end(), static_cast<std::size_t>(count), started_before(before, heard));
    };
    const auto starts = [&](milliseconds waited) { return fleet_starts(own_start, others, waited); };

    SECTION("one that restarts among many is alone, before and after they have reported")
    {
        // Guards against more requests than a target has said that it takes (rule LIMIT).
        add(66, seconds(600), false);
        CHECK_FALSE(starts(milliseconds(0)));
        CHECK_FALSE(starts(milliseconds(2000)));
        others.front().heard = true;
        CHECK_FALSE(starts(milliseconds(2000)));
    }
    SECTION("so are two that restart within the same second")
    {
        add(1, seconds(0), true);
        add(6, seconds(600), false);
        CHECK_FALSE(starts(milliseconds(100)));
        others.back().heard = true;
        CHECK_FALSE(starts(milliseconds(2000)));
    }
    SECTION("and most of a fleet, as long as one daemon has run on and reports")
    {
        add(60, seconds(1), true);
        add(1, seconds(600), true);
        CHECK_FALSE(starts(milliseconds(2000)));
    }
    SECTION("all restart while their earlier lives are still registered")
    {
        // Guards against a fleet that uses one slot of each target in the first seconds after a loss of
        // power.
        add(20, seconds(1), true);
        add(46, seconds(600), false);
        CHECK_FALSE(starts(milliseconds(100)));

        SECTION("which the silence of those shows")
        {
            CHECK(starts(milliseconds(800)));
        }
        SECTION("or the number of those that have started")
        {
            add(30, seconds(-1), false);
            CHECK(starts(milliseconds(100)));
        }
    }
    SECTION("one that is alone with its own earlier life learns nothing about limits")
    {
        CHECK_FALSE(starts(milliseconds(2000)));
    }
}

TEST_CASE("the slots of a target are divided between daemons that start at once", "[start_allowance]")
{
    SECTION("a daemon that restarts alone sends one request")
    {
        CHECK(start_allowance(false, 25, 3) == 1);
    }
    SECTION("all together send no more than the target runs")
    {
        for (std::size_t entries = 1; entries <= 25; ++entries) {
            const auto part = start_allowance(true, 25, entries);
            CHECK(part * entries <= 25);
            CHECK((part + 1) * entries > 25);
        }
    }
    SECTION("each may send one, however many there are and also before any is known")
    {
        CHECK(start_allowance(true, 4, 60) == 1);
        CHECK(start_allowance(true, 4, 0) == 4);
    }
}
