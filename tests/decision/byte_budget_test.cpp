#include "decision/byte_budget.hpp"
#include "decision/random_source.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <numeric>
#include <rapidcheck.h>
#include <vector>

using namespace rml;

// Guards against bodies that are each within their limit and exhaust the memory together.
TEST_CASE("bodies in progress together stay within a budget", "[byte_budget]")
{
    byte_budget budget(100);
    int revoked = 0;
    const auto count = [&] { ++revoked; };
    byte_budget::share small(budget, count);
    auto large = std::make_unique<byte_budget::share>(budget, count);
    CHECK(small.grow(10));
    CHECK(large->grow(90));

    SECTION("the largest one gives way to a small one")
    {
        CHECK(small.grow(1));
        CHECK(revoked == 1);
        CHECK(large->revoked());
        CHECK(budget.used() == 11);
        CHECK_FALSE(large->grow(1));
        CHECK(budget.used() == 11);
    }
    SECTION("the largest one fails when it grows itself, without a call")
    {
        CHECK_FALSE(large->grow(1));
        CHECK(revoked == 0);
        CHECK(small.grow(50));
    }
    SECTION("a complete one keeps its bytes, and a smaller one that grows fails")
    {
        large->settle();
        CHECK_FALSE(small.grow(1));
        CHECK(revoked == 0);
        CHECK(budget.used() == 90);
    }
    SECTION("bytes are free again when a body has ended")
    {
        large.reset();
        CHECK(budget.used() == 10);
        CHECK(small.grow(90));
        CHECK_FALSE(small.grow(1));
        CHECK(budget.used() == 0);
    }
    SECTION("any sequence stays within the limit, and no body smaller than its equal part is revoked")
    {
        CHECK(rc::check("random bodies", [] {
            random_source random;
            const std::size_t limit = 1000;
            const std::size_t count_of_bodies = 8;
            byte_budget all(limit);
            std::vector<std::size_t> sizes(count_of_bodies, 0);
            std::vector<std::unique_ptr<byte_budget::share>> bodies(count_of_bodies);
            for (int i = 0; i < 300; ++i) {
                const auto n = random.below(count_of_bodies);
                if (!bodies[n] || random.one_in(20)) {
                    bodies[n].reset();
                    bodies[n] =
                        std::make_unique<byte_budget::share>(all, [&sizes, n, count_of_bodies, limit] {
                            RC_ASSERT(sizes[n] * count_of_bodies >= limit);
                            sizes[n] = 0;
                        });
                    sizes[n] = 0;
                }
                const auto bytes = random.below(200);
                const bool before = bodies[n]->revoked();
                sizes[n] += before ? 0 : bytes;
                if (!bodies[n]->grow(bytes)) {
                    RC_ASSERT(before || sizes[n] * count_of_bodies >= limit);
                    sizes[n] = 0;
                }
                RC_ASSERT(all.used() <= limit);
                RC_ASSERT(all.used() == std::accumulate(sizes.begin(), sizes.end(), std::size_t{0}));
            }
        }));
    }
}
