#include "decision/retry_after_schedule.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace rml;

namespace {

/// Simulates callers that a pool refuses, one per millisecond, and counts those that find a free slot when
/// they retry. A request occupies its slot for 1 s.
int served_after_return(bool scheduled, int callers, int slots)
{
    retry_after_schedule schedule;
    std::vector<milliseconds> returns;
    const time_point start{seconds(10)};
    for (int i = 0; i < callers; ++i) {
        const auto at = start + milliseconds(i);
        const auto wait =
            scheduled ? schedule.assign(milliseconds(300), slots, milliseconds(2600), at) : milliseconds(300);
        returns.push_back(milliseconds(i) + wait);
    }
    std::sort(returns.begin(), returns.end());
    // New callers occupy half of the slots.
    const auto slots_for_returning = static_cast<std::size_t>(slots / 2);
    std::vector<milliseconds> busy_until;
    int served = 0;
    for (const auto at : returns) {
        busy_until.erase(std::remove_if(busy_until.begin(), busy_until.end(),
                                        [&](milliseconds until) { return until <= at; }),
                         busy_until.end());
        if (busy_until.size() < slots_for_returning) {
            busy_until.push_back(at + seconds(1));
            ++served;
        }
    }
    return served;
}

} // namespace

TEST_CASE("refused callers retry at the rate at which slots become free", "[retry_after_schedule]")
{
    SECTION("a schedule serves at least twice as many callers as one common retry time")
    {
        const auto with_common_time = served_after_return(false, 100, 40);
        const auto with_schedule = served_after_return(true, 100, 40);
        CHECK(with_common_time <= 20);
        CHECK(with_schedule >= 2 * with_common_time);
    }
    SECTION("no caller is asked to retry when the answer would be late")
    {
        retry_after_schedule schedule;
        const time_point now{seconds(5)};
        for (int i = 0; i < 1000; ++i) {
            const auto retry_after = schedule.assign(milliseconds(100), 2, milliseconds(900), now);
            CHECK(retry_after <= milliseconds(900));
            CHECK(retry_after >= milliseconds(100));
        }
    }
    SECTION("after an idle time the schedule starts anew")
    {
        retry_after_schedule schedule;
        for (int i = 0; i < 50; ++i) {
            schedule.assign(milliseconds(100), 10, milliseconds(5000), time_point{seconds(5)});
        }
        CHECK(schedule.assign(milliseconds(200), 10, milliseconds(5000), time_point{seconds(60)}) ==
              milliseconds(200));
    }
    SECTION("while no target serves, callers wait until a group can have formed")
    {
        retry_after_schedule schedule;
        CHECK(schedule.assign(std::chrono::hours(24), 0, milliseconds(2600), time_point{seconds(5)}) ==
              milliseconds(1500));
    }
}
