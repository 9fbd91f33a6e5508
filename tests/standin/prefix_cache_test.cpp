#include "standin/prefix_cache.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace rml;
using standin::prefix_cache;

TEST_CASE("the prefix cache agrees with a plain list of recently used prefixes", "[standin]")
{
    rc::check("hits, evictions and events", [] {
        const auto capacity = *rc::gen::inRange<std::size_t>(1, 5);
        const auto prefixes =
            *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 8));
        prefix_cache cache(capacity, 0);
        std::deque<std::uint64_t> recent; // most recently used first
        std::size_t changes = 0;
        const time_point now{};
        for (const auto prefix : prefixes) {
            const auto found = std::find(recent.begin(), recent.end(), prefix);
            const bool expected = found != recent.end();
            if (expected) {
                recent.erase(found);
            } else {
                changes += recent.size() == capacity ? 2 : 1;
            }
            recent.push_front(prefix);
            if (recent.size() > capacity) {
                recent.pop_back();
            }
            RC_ASSERT(cache.use(prefix, now) == expected);
            RC_ASSERT(cache.size() == recent.size());
        }
        for (std::uint64_t prefix = 0; prefix < 8; ++prefix) {
            const bool listed = std::find(recent.begin(), recent.end(), prefix) != recent.end();
            RC_ASSERT(cache.contains(prefix) == listed);
        }
        RC_ASSERT(cache.events(0, milliseconds(0), now).size() == changes);
        RC_ASSERT(cache.next(milliseconds(0), now) == changes + 1);
    });
}

TEST_CASE("cache events are late and have gaps", "[standin]")
{
    const time_point start{};
    prefix_cache cache(16, 3);
    for (std::uint64_t prefix = 0; prefix < 7; ++prefix) {
        cache.use(prefix, start + milliseconds(prefix));
    }
    const milliseconds delay(100);
    // A reader that takes the log for complete believes that prefixes 2 and 5 are not cached.
    const auto all = cache.events(1, delay, start + milliseconds(106));
    REQUIRE(all.size() == 5);
    CHECK(std::none_of(all.begin(), all.end(), [](const auto& event) { return event.seq % 3 == 0; }));
    CHECK(cache.contains(2));

    const auto early = cache.events(1, delay, start + milliseconds(101));
    CHECK(early.size() == 2);
    CHECK(cache.next(delay, start + milliseconds(101)) == 3);
    CHECK(
        cache.events(cache.next(delay, start + milliseconds(101)), delay, start + milliseconds(106)).size() ==
        3);
}
