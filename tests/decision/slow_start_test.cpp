#include "decision/slow_start.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace rml;

TEST_CASE("the daemons' shares of a cold target's limit add up to the limit", "[slow_start]")
{
    // Guards against daemons that all round their share up: the sum would crash the target.
    for (const std::size_t daemons : {1U, 2U, 6U, 35U, 36U, 89U, 390U}) {
        std::uint32_t sum = 0;
        for (std::size_t rank = 0; rank < daemons; ++rank) {
            sum += slow_start_share(36.9, {daemons, rank, true});
        }
        CHECK(sum == 36);
    }

    SECTION("a daemon that may not know all others may send one request")
    {
        CHECK(slow_start_share(36, {1, 0, false}) == 1);
    }
}

TEST_CASE("no window of a second contains more requests than the limit", "[slow_start]")
{
    slow_start_window window;
    std::vector<time_point> sent;
    time_point now{seconds(50)};
    for (int i = 0; i < 3000; ++i) {
        now += milliseconds(i % 7 == 0 ? 40 : 1);
        const auto left = window.available(6, now);
        const bool taken = window.take(6, now);
        CHECK(taken == (left > 0));
        if (taken) {
            sent.push_back(now);
        }
    }
    for (std::size_t i = 6; i < sent.size(); ++i) {
        CHECK(sent[i] - sent[i - 6] >= seconds(1));
    }
    CHECK(sent.size() > 60);
}
