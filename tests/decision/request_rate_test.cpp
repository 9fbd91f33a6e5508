#include "decision/request_rate.hpp"

#include "base/limits.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <random>
#include <vector>

using namespace rml;

namespace {

/// Sum of the parts of all daemons.
std::uint32_t total(double requests_per_s, duration window, std::size_t daemons)
{
    std::uint32_t sum = 0;
    for (std::size_t rank = 0; rank < daemons; ++rank) {
        sum += divide_rate(requests_per_s, window, {daemons, rank, true, true}).requests;
    }
    return sum;
}

} // namespace

TEST_CASE("the daemons' parts of a limit add up to the limit", "[request_rate]")
{
    // Guards against daemons that all round their part up: the sum would crash a cold target.
    for (const std::size_t daemons : {1U, 2U, 6U, 35U, 36U, 89U, 390U}) {
        CHECK(total(36.9, seconds(1), daemons) == 36);
        CHECK(total(5.6, seconds(4), daemons) == 22);
    }

    SECTION("a daemon that may not know all others may send one request")
    {
        CHECK(divide_rate(36, seconds(1), {1, 0, false, true}).requests == 1);
    }
    SECTION("a limit below one request in the window permits one in a longer window")
    {
        CHECK(total(0.1, seconds(4), 89) == 1);
        CHECK(divide_rate(0.1, seconds(4), {89, 0, true, true}).window == seconds(10));
    }
    SECTION("a daemon without callers has no part")
    {
        CHECK(divide_rate(36, seconds(1), {1, 0, true, false}).requests == 0);
    }
}

TEST_CASE("no span of the window contains more requests than the allowance", "[request_rate]")
{
    // Guards against a window that keeps requests for the time of one allowance only, and against a permit
    // that only one of two allowances gives.
    const request_allowance short_window{6, seconds(1)};
    const request_allowance long_window{14, seconds(4)};
    using allowance_list = std::vector<request_allowance>;
    const auto allowances = GENERATE_REF(allowance_list{short_window}, allowance_list{long_window},
                                         allowance_list{short_window, long_window});
    CAPTURE(allowances.size(), allowances.front().requests);
    request_window window;
    std::vector<time_point> sent;
    time_point now{seconds(50)};
    for (int i = 0; i < 9000; ++i) {
        now += milliseconds(i % 7 == 0 ? 40 : 1);
        const auto left = window.available(allowances, now);
        const bool taken = window.take(allowances, now);
        CHECK(taken == (left > 0));
        if (taken) {
            sent.push_back(now);
        }
    }
    for (const auto& [requests, span] : allowances) {
        for (std::size_t i = requests; i < sent.size(); ++i) {
            CHECK(sent[i] - sent[i - requests] >= span);
        }
    }
    CHECK(sent.size() > 180);

    SECTION("a request that was not sent leaves its place to another one")
    {
        now += seconds(5);
        while (window.take(allowances, now)) {
        }
        window.give_back(now);
        CHECK(window.take(allowances, now));
        CHECK_FALSE(window.take(allowances, now));
    }
}

TEST_CASE("daemons with unsynchronized clocks keep a stated limit together", "[request_rate]")
{
    // Guards against windows that all daemons open at the same moment: the bound of the users is one and a
    // half times the limit and five requests in any 4 s.
    std::mt19937_64 random(36);
    for (const std::size_t daemons : {1U, 8U, 89U, 390U}) {
        for (const double limit : {0.3, 1.0, 5.6, 40.0, 500.0}) {
            std::vector<request_window> windows(daemons);
            std::vector<time_point> sent;
            for (auto now = time_point(seconds(100)); now < time_point(seconds(130));
                 now += milliseconds(5)) {
                for (int arrival = 0; arrival < 8; ++arrival) {
                    const auto daemon = std::uniform_int_distribution<std::size_t>(0, daemons - 1)(random);
                    const auto part =
                        divide_rate(limit, limits::stated_rate_window, {daemons, daemon, true, true});
                    if (windows[daemon].take({part}, now)) {
                        sent.push_back(now);
                    }
                }
            }
            std::size_t most = 0;
            for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
                while (sent[last] - sent[first] > seconds(4)) {
                    ++first;
                }
                most = std::max(most, last - first + 1);
            }
            CAPTURE(daemons, limit);
            CHECK(static_cast<double>(most) <= 1.5 * limit * 4 + 5);
            CHECK(static_cast<double>(sent.size()) >= std::floor(0.5 * limit * 30));
        }
    }
}

TEST_CASE("a stated limit follows the latest answer", "[request_rate]")
{
    const time_point now{seconds(1000)};
    stated_rate limit;
    CHECK_FALSE(limit.in_force(now));
    limit.record(5.6, now);
    CHECK(limit.in_force(now) == 5.6);

    SECTION("and not one that was received before")
    {
        limit.record(std::nullopt, now - seconds(1));
        CHECK(limit.in_force(now) == 5.6);
    }
    SECTION("until one names no limit")
    {
        limit.record(std::nullopt, now + seconds(1));
        CHECK_FALSE(limit.in_force(now + seconds(1)));
    }
    SECTION("and grows while no daemon receives one")
    {
        CHECK(limit.in_force(now + limits::stated_rate_patience - milliseconds(1)) == 5.6);
        CHECK(limit.in_force(now + limits::stated_rate_patience) == Approx(8.4));
        CHECK(limit.in_force(now + limits::stated_rate_patience * 1000) == limits::max_stated_rate);
    }
}

TEST_CASE("texts of limits are numbers or are ignored", "[request_rate]")
{
    CHECK(parse_request_rate("5.6") == Approx(5.6));
    CHECK(parse_request_rate("12") == Approx(12));
    CHECK(parse_request_rate("0") == limits::min_stated_rate);
    CHECK(parse_request_rate("0.000001") == limits::min_stated_rate);
    CHECK(parse_request_rate("0." + std::string(400, '0') + "1") == limits::min_stated_rate);
    CHECK(parse_request_rate(std::string(400, '9')) == limits::max_stated_rate);
    CHECK(parse_request_rate("1." + std::string(4000, '3')) == Approx(4.0 / 3));
    for (const auto* text :
         {"", "-1", "+1", "1e3", "nan", "inf", ".5", "5.", "1,5", " 5", "5 ", "0x10", "1.2.3"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_request_rate(text));
    }
}
