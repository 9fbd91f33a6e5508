#include "standin/request_limit_check.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using rml::site_standin::request_limit_check;

namespace {

constexpr const char* limit = "2.5";
constexpr int allowed = 20; // 1.5 x 2.5 a second x 4 s + 5

/// Records that many arrivals at one time; the number of violations.
int arrive(request_limit_check& check, int requests, time_point at, const std::string& named = limit)
{
    int out = 0;
    for (int i = 0; i < requests; ++i) {
        out += check.record_arrival(named, at) ? 1 : 0;
    }
    return out;
}

} // namespace

// Guards against a stand-in that reports a kept limit or misses an exceeded one, so that tests prove nothing.
TEST_CASE("the stand-in reports requests beyond a stated limit", "[gateway][request_limit]")
{
    request_limit_check check;
    const time_point start{seconds(100)};

    SECTION("one more than the rule allows is a violation, reported once")
    {
        CHECK(arrive(check, 1, start) == 0);
        CHECK(arrive(check, allowed, start + seconds(5)) == 0);
        CHECK(check.most_requests() == allowed);
        CHECK(arrive(check, 1, start + milliseconds(8999)) == 1);
        CHECK(arrive(check, 5, start + milliseconds(8999)) == 0);
    }
    SECTION("requests that are 4 s apart do not add up")
    {
        CHECK(arrive(check, 1, start) == 0);
        CHECK(arrive(check, allowed, start + seconds(5)) == 0);
        CHECK(arrive(check, allowed, start + seconds(9)) == 0);
    }
    SECTION("daemons have 3 s to learn the limit, and the requests of that time count afterwards")
    {
        CHECK(arrive(check, 2 * allowed, start) == 0);
        CHECK(arrive(check, 1, start + milliseconds(2999)) == 0);
        CHECK(arrive(check, 1, start + seconds(3)) == 1);
    }
    SECTION("no limit allows everything, and another limit begins anew")
    {
        CHECK(arrive(check, 1, start) == 0);
        CHECK(arrive(check, 10 * allowed, start + seconds(5), "") == 0);
        CHECK(arrive(check, allowed, start + seconds(6)) == 0);
        CHECK(arrive(check, allowed + 1, start + seconds(20)) == 1);
    }
}
