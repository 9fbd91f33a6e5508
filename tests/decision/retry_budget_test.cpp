#include "decision/retry_budget.hpp"

#include "decision/random_source.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace rml;

namespace {

/// Retries until refused, at most 1000 times.
int spend(retry_budget& budget, time_point now)
{
    int allowed = 0;
    while (allowed < 1000 && budget.try_retry(now)) {
        ++allowed;
    }
    return allowed;
}

} // namespace

TEST_CASE("retries stay within the share of first tries plus the minimum", "[retry_budget]")
{
    // Guards against a retry storm. The test counts each window of the history exactly instead of in buckets.
    const bool held = rc::check("any window of 10 s", [] {
        random_source random;
        const auto daemons = 1 + random.below(4);
        std::vector<retry_budget> budgets(daemons);
        std::vector<std::vector<time_point>> tries(daemons);
        std::vector<std::vector<time_point>> retries(daemons);
        time_point now{seconds(1000)};
        const auto steps = static_cast<int>(100 + random.below(1500));
        for (int i = 0; i < steps; ++i) {
            now += milliseconds(random.one_in(40) ? 3000 : random.pick({0, 0, 0, 0, 7, 7, 90}));
            const auto daemon = random.below(daemons);
            if (!random.one_in(3)) {
                budgets[daemon].record_first_try(now);
                tries[daemon].push_back(now);
            } else if (budgets[daemon].try_retry(now)) {
                retries[daemon].push_back(now);
            }
        }
        for (std::size_t d = 0; d < daemons; ++d) {
            for (const auto end : retries[d]) {
                const auto inside = [&](time_point at) {
                    return at > end - limits::retry_window && at <= end;
                };
                const auto retried = std::count_if(retries[d].begin(), retries[d].end(), inside);
                const auto tried = std::count_if(tries[d].begin(), tries[d].end(), inside);
                RC_ASSERT(static_cast<double>(retried) <= std::max(0.1 * static_cast<double>(tried), 10.0));
            }
        }
    });
    CHECK(held);
}

TEST_CASE("the retry budget follows the rate of first tries", "[retry_budget]")
{
    retry_budget budget;
    time_point now{seconds(1000)};
    SECTION("an idle daemon has the minimum")
    {
        const auto allowed = spend(budget, now);
        CHECK(allowed == 10);
        CHECK(budget.stats().refused == 1);
        CHECK(budget.try_retry(now + seconds(11)));
    }
    SECTION("a busy daemon has a tenth of its first tries")
    {
        for (int i = 0; i < 1000; ++i) {
            budget.record_first_try(now);
        }
        const auto allowed = spend(budget, now);
        CHECK(allowed == 100);
    }
}

TEST_CASE("slack is added to the share", "[retry_budget]")
{
    // Guards against a budget that is the larger of share and slack instead of their sum.
    retry_budget budget({0.2, 0, 10});
    const time_point now{seconds(100)};
    for (int i = 0; i < 100; ++i) {
        budget.record_first_try(now);
    }
    CHECK(spend(budget, now + milliseconds(100)) == 30);
}
