#include "decision/departed_targets.hpp"

#include "base/limits.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

const time_point start{seconds(1000)};

target_incarnation target(const std::string& name, std::int64_t started_ms = 1)
{
    return {instance_id(name), started_ms};
}

} // namespace

TEST_CASE("an incarnation that leaves is remembered", "[decision][departed_targets]")
{
    departed_targets departed;
    CHECK(departed.record(target("e0"), departure_source::answer, start));
    CHECK(departed.contains(target("e0")));
    CHECK_FALSE(departed.contains(target("e0", 2)));
    CHECK_FALSE(departed.record(target("e0"), departure_source::peer, start + seconds(1)));

    SECTION("own evidence is reported for a time, and what others reported is not")
    {
        // Guards against a report that circulates between the daemons without end.
        departed.record(target("e1"), departure_source::peer, start);
        departed.record(target("e2"), departure_source::registry, start);
        CHECK(departed.reportable(false, start) == std::vector{target("e0")});
        CHECK(departed.reportable(true, start) == std::vector{target("e0"), target("e2")});
        CHECK(departed.reportable(true, start + limits::departure_report_time).empty());
    }
    SECTION("records expire")
    {
        departed.expire(start + limits::departure_lifetime - seconds(1));
        CHECK(departed.size() == 1);
        departed.expire(start + limits::departure_lifetime);
        CHECK(departed.size() == 0);
    }
    SECTION("their number is bounded, and the oldest one is dropped first")
    {
        for (std::size_t i = 0; i < limits::departure_records; ++i) {
            departed.record(target("f" + std::to_string(i)), departure_source::answer, start + seconds(1));
        }
        CHECK(departed.size() == limits::departure_records);
        CHECK_FALSE(departed.contains(target("e0")));
        CHECK(departed.reportable(false, start + seconds(1)).size() == limits::departure_reports);
    }
}
