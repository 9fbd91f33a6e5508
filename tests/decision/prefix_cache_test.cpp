#include "decision/prefix_cache.hpp"

#include "decision/random_source.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>
#include <set>
#include <vector>

using namespace rml;

TEST_CASE("the prefix cache reports only stored blocks and bounds its memory", "[prefix_cache]")
{
    // Guards against routing by blocks that a group evicted or lost in a restart, and against unbounded
    // memory.
    const bool held = rc::check("agrees with the true cache", [] {
        random_source random;
        prefix_cache_settings settings;
        settings.blocks_per_group = 16;
        settings.max_groups = 1;
        prefix_cache cache(settings);
        const group_id group("g");
        const group_id other("h");
        std::set<prefix_block> true_blocks;
        std::set<prefix_block> stored;
        std::deque<prefix_event> delayed;
        std::uint64_t incarnation = 1;
        std::uint64_t sequence = 0;
        bool lost = false;
        time_point now{seconds(1000)};
        cache.update(group, {incarnation, ++sequence, prefix_event_kind::cleared, {}}, now);
        for (int i = 0; i < 200; ++i) {
            now += milliseconds(10);
            prefix_event event{incarnation, ++sequence, prefix_event_kind::stored, {}};
            const auto block = static_cast<prefix_block>(1 + random.below(39));
            const auto change = random.one_in(16) ? random.pick({2, 3}) : random.pick({0, 0, 1});
            event.blocks = {block};
            if (change == 0) {
                true_blocks.insert(block);
                stored.insert(block);
            } else if (change == 1) {
                event.kind = prefix_event_kind::evicted;
                true_blocks.erase(block);
            } else {
                event.kind = prefix_event_kind::cleared;
                event.blocks.clear();
                true_blocks.clear();
                if (change == 3) {
                    event.incarnation = ++incarnation;
                    event.sequence = sequence = 1;
                    event.kind = prefix_event_kind::stored; // only the incarnation shows the restart
                    event.blocks = {block};
                    true_blocks = {block};
                    stored.insert(block);
                    delayed.clear();
                }
            }
            switch (random.one_in(4) && i > 100 ? random.pick({1, 2, 3}) : 0) {
            case 0:
                cache.update(group, event, now);
                break;
            case 1:
                lost = true;
                break;
            case 2: // duplicated
                cache.update(group, event, now);
                cache.update(group, event, now);
                break;
            default:
                delayed.push_back(event);
                lost = true;
            }
            if (!delayed.empty() && random.one_in(4)) {
                cache.update(group, delayed.front(), now);
                delayed.pop_front();
            }
            cache.update(other, event, now);
            const auto probe = static_cast<prefix_block>(1 + random.below(39));
            const auto expected = cache.expected_blocks(group, {probe}, now);
            RC_ASSERT(expected >= 0);
            RC_ASSERT(expected <= 1);
            RC_ASSERT(expected == 0 || stored.count(probe) == 1);
            RC_ASSERT(lost || expected == 0 || true_blocks.count(probe) == 1);
            RC_ASSERT(cache.expected_blocks(other, {block}, now) == 0);
            RC_ASSERT(cache.memory() <= 16U * 16U);
        }
    });
    CHECK(held);
}

TEST_CASE("a late event removes blocks but does not add them", "[prefix_cache]")
{
    // Guards against routing by an evicted block whose events arrived in the wrong order.
    prefix_cache cache;
    const group_id group("g");
    const time_point now{seconds(1000)};
    cache.update(group, {1, 1, prefix_event_kind::stored, {5}}, now);
    cache.update(group, {1, 4, prefix_event_kind::stored, {6}}, now);
    cache.update(group, {1, 3, prefix_event_kind::stored, {7}}, now);
    cache.update(group, {1, 2, prefix_event_kind::evicted, {5}}, now);
    CHECK(cache.expected_blocks(group, {5}, now) == 0);
    CHECK(cache.expected_blocks(group, {7}, now) == 0);
    CHECK(cache.expected_blocks(group, {6, 7}, now) == 1);
    CHECK(cache.stats().stale == 2);
    CHECK(cache.stats().gaps == 1);
}
