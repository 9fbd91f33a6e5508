#include "decision/stop_admission.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("a stopping process takes only requests that can end before it does", "[stop]")
{
    late_request late;
    late.until_stop = seconds(3);
    late.until_deadline = seconds(8);

    SECTION("the time of similar requests is unknown, so the caller's deadline decides")
    {
        CHECK_FALSE(ends_before_stop(late));
        late.until_deadline = seconds(3);
        CHECK(ends_before_stop(late));
    }
    SECTION("similar requests took up to a second, and may take somewhat longer now")
    {
        late.longest = seconds(1);
        CHECK(ends_before_stop(late));
        late.until_stop = milliseconds(2499);
        CHECK_FALSE(ends_before_stop(late));

        SECTION("and the deadline is earlier")
        {
            late.until_deadline = milliseconds(2400);
            CHECK(ends_before_stop(late));
        }
        SECTION("and the stop has come")
        {
            late.until_stop = milliseconds(-1);
            CHECK_FALSE(ends_before_stop(late));
        }
    }
    SECTION("a request that must not run twice gets an answer by its deadline only")
    {
        late.longest = milliseconds(20);
        late.once = true;
        CHECK_FALSE(ends_before_stop(late));
        late.until_deadline = milliseconds(2500);
        CHECK(ends_before_stop(late));
    }
}

TEST_CASE("the longest recent time is kept for one to two periods", "[stop]")
{
    recent_maximum longest{seconds(30)};
    const time_point start{seconds(1000)};
    CHECK_FALSE(longest.value(start));
    longest.record(milliseconds(900), start);
    longest.record(milliseconds(200), start + seconds(1));
    CHECK(longest.value(start + seconds(29)) == milliseconds(900));

    SECTION("a shorter one in the next period does not hide it")
    {
        longest.record(milliseconds(300), start + seconds(31));
        CHECK(longest.value(start + seconds(32)) == milliseconds(900));

        SECTION("and it is forgotten in the period after that")
        {
            longest.record(milliseconds(100), start + seconds(62));
            CHECK(longest.value(start + seconds(63)) == milliseconds(300));
        }
    }
    SECTION("nothing was recorded for two periods")
    {
        CHECK_FALSE(longest.value(start + seconds(60)));
        longest.record(milliseconds(100), start + seconds(90));
        CHECK(longest.value(start + seconds(91)) == milliseconds(100));
    }
}
