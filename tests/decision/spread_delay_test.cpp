#include "decision/spread_delay.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <string>

using namespace rml;

TEST_CASE("the registrations of a large fleet are spread over time", "[spread_delay][store_position]")
{
    // Guards against a store that refuses the registrations of 390 daemons which all write at once.
    constexpr std::size_t daemons = 390;
    constexpr double writes_per_s = 400;
    constexpr double writes_each = 2;
    std::map<std::int64_t, double> writes; // by tenth of a second
    for (std::size_t i = 0; i < daemons; ++i) {
        const auto name = "daemon-" + std::to_string(i);
        const auto delay = spread_delay(name, daemons, writes_each, writes_per_s / 2);
        CHECK(delay == spread_delay(name, daemons, writes_each, writes_per_s / 2));
        CHECK(delay >= milliseconds(0));
        CHECK(delay < milliseconds(3900));
        writes[delay.count() / 100] += writes_each;
    }
    for (const auto& [tenth, count] : writes) {
        CHECK(count <= writes_per_s / 10);
    }
}

TEST_CASE("without a rate of the store there is no delay", "[spread_delay]")
{
    CHECK(spread_delay("daemon-1", 390, 2, 0) == milliseconds(0));
}
