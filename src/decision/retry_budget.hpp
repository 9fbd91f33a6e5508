/// Limits the retries of one daemon to a share of its own first tries. Since every daemon does that, the sum
/// over the fleet is bounded without any coordination.
#pragma once

#include "base/limits.hpp"
#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace rml {

struct retry_budget_settings
{
    double share{limits::retry_share}; ///< retries per first try
    double minimum_per_second{limits::retry_minimum_per_second};
    double slack{0}; ///< retries per window in addition to the larger of the two
};

struct retry_budget_stats
{
    std::uint64_t first_tries{0};
    std::uint64_t retries{0};
    std::uint64_t refused{0}; ///< retries over the budget
};

/// In any window of `limits::retry_window` at most max(share * first tries, minimum * window) + slack retries
/// are allowed. The counts are kept in buckets of time. Of a bucket that is partly outside the window, the
/// retries count and the first tries do not, so rounding never raises the budget.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings budget = {}) : settings(budget) {}

    /// Called when the number of daemons changes, since the settings of each daemon depend on it.
    void update_settings(const retry_budget_settings& budget) { this->settings = budget; }

    void record_first_try(time_point now);

    /// Counts and allows a retry. Returns false when the budget is spent; the retry does not count then. An
    /// optional retry uses only `part` of the budget, from 0 to 1, and leaves the rest for others.
    bool try_retry(time_point now, double part = 1);

    const retry_budget_stats& stats() const { return this->counts; }

private:
    static constexpr milliseconds bucket_width{100};
    /// The buckets of the window and one more, which is partly outside the window.
    static constexpr std::size_t bucket_count =
        static_cast<std::size_t>(limits::retry_window / bucket_width) + 1;

    struct bucket
    {
        std::int64_t index{-1}; ///< time in bucket widths; an old index marks outdated counts
        std::uint32_t first_tries{0};
        std::uint32_t retries{0};
    };

    bucket& current(time_point now);

    retry_budget_settings settings;
    std::array<bucket, bucket_count> buckets{};
    std::int64_t newest{0};
    retry_budget_stats counts;
};

} // namespace rml
