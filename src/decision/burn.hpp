/// Burn of the error budgets of service-level objectives: mergeable counts in time buckets, budgets, burn
/// rates and alerts. Times are seconds of the wall clock since 1970 and are passed in, since the counts of
/// several daemons are merged by time.
#pragma once

#include "base/failure.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace rml {

/// Width of a bucket. The windows of alerts have at least a few minutes, so finer buckets would only cost
/// memory.
constexpr seconds burn_bucket{60};
/// Age up to which a daemon keeps counts. Longer windows are covered by the files that rml-burn saves.
constexpr seconds burn_retention{24 * 3600};
/// Time after a drain or restoration of a failure domain over which its impact on objectives is reported.
constexpr seconds domain_change_window{300};

/// Good and bad amounts. The unit depends on the series.
struct burn_counts
{
    std::uint64_t good{0};
    std::uint64_t bad{0};

    std::uint64_t total() const { return this->good + this->bad; }
    burn_counts& operator+=(const burn_counts& other)
    {
        this->good += other.good;
        this->bad += other.bad;
        return *this;
    }
    friend bool operator==(const burn_counts& a, const burn_counts& b)
    {
        return a.good == b.good && a.bad == b.bad;
    }
};

enum class burn_series_kind
{
    objective,    ///< events of an objective: met, or missed
    groups,       ///< group-milliseconds of a pool in a failure domain: serving, or wanted and not serving
    accelerators, ///< accelerator-milliseconds of a failure domain: in use or not wanted, or stranded
};

std::string_view to_string(burn_series_kind kind);

/// Key of a series. `failure_domain` is empty for objectives.
struct burn_series
{
    burn_series_kind kind{burn_series_kind::objective};
    std::string name; ///< objective or pool
    std::string failure_domain;

    friend bool operator<(const burn_series& a, const burn_series& b)
    {
        return std::tie(a.kind, a.name, a.failure_domain) < std::tie(b.kind, b.name, b.failure_domain);
    }
    friend bool operator==(const burn_series& a, const burn_series& b)
    {
        return std::tie(a.kind, a.name, a.failure_domain) == std::tie(b.kind, b.name, b.failure_domain);
    }
};

/// The fields of an objective that error budgets need, and the generation of the objects that defined it.
struct burn_objective
{
    std::string name;
    double target_share{0.99};
    seconds window{3600};
    std::uint64_t generation{0};
};

/// Drain or restoration of a failure domain. Every daemon records it with the same generation.
struct domain_change
{
    std::string failure_domain;
    std::uint64_t generation{0};
    bool drained{false};
    seconds at{0}; ///< earliest time at which a daemon applied it
};

/// Counts of any number of daemons. A merge takes the larger count per source and bucket, because the counts
/// of one source only increase. It is therefore idempotent, commutative and associative: a snapshot that is
/// merged twice, or after a newer one, has no effect. Only the duty holder of a failure domain records the
/// times of its groups and accelerators, so that a sum over all sources counts them once.
class burn_ledger
{
public:
    using buckets = std::map<seconds, burn_counts>;           ///< by start
    using sources = std::map<std::string, buckets>;           ///< by `daemon@incarnation`
    using change_key = std::pair<std::string, std::uint64_t>; ///< failure domain and generation

    /// Adds counts to the bucket that contains `at`.
    void add(const std::string& source, const burn_series& series, seconds at, const burn_counts& counts);

    /// Raises the counts of a bucket to the given ones where these are larger.
    void merge_bucket(const std::string& source, const burn_series& series, seconds start,
                      const burn_counts& counts);

    /// Adds an objective. Of several with the same name the one of the highest generation is kept.
    void update_objective(const burn_objective& objective);

    void add_domain_change(const domain_change& change);
    void merge(const burn_ledger& other);

    /// Drops buckets and domain changes that ended before `oldest`.
    void destroy_before(seconds oldest);

    /// Sum over all sources of the buckets that overlap [from, to).
    burn_counts sum(const burn_series& series, seconds from, seconds to) const;

    const std::map<burn_series, sources>& all_series() const { return this->series; }
    const std::map<std::string, burn_objective>& all_objectives() const { return this->objectives; }
    const std::map<change_key, domain_change>& all_changes() const { return this->changes; }

private:
    std::map<burn_series, sources> series;
    std::map<std::string, burn_objective> objectives;
    std::map<change_key, domain_change> changes;
};

/// Condition of an alert: the burn rate is at least `rate` over both the long and the short window, which are
/// shares of the objective's window. The values are those of the Site Reliability Workbook for 30 days: 1 h
/// and 5 min at 14.4, 6 h and 30 min at 6, 3 d and 6 h at 1.
struct burn_rule
{
    std::string_view name;
    double long_share;
    double short_share;
    double rate;
};
const std::vector<burn_rule>& burn_rules();

struct burn_alert
{
    std::string_view rule;
    seconds long_window{0};
    seconds short_window{0};
    double long_rate{0};
    double short_rate{0};
    bool firing{false};
};

struct objective_burn
{
    burn_objective objective;
    burn_counts counts;    ///< over the objective's window
    double budget_left{1}; ///< remaining share of the error budget; negative if exceeded
    std::vector<burn_alert> alerts;
};

/// Time lost by groups or accelerators.
struct lost_time
{
    burn_series series;
    burn_counts counts_ms;
    double lost_share{0};
};

/// Counts of an objective in the `domain_change_window` after a failure domain was drained or restored.
struct domain_change_impact
{
    domain_change change;
    std::string objective;
    burn_counts counts;
};

struct burn_report
{
    seconds now{0};
    seconds period{0}; ///< covered by lost times and domain changes
    std::vector<objective_burn> objectives;
    std::vector<lost_time> group_downtime;
    std::vector<lost_time> stranded;
    std::vector<domain_change_impact> changes;
};

/// Share of bad events divided by the share that the target allows; 0 without events.
double burn_rate(const burn_counts& counts, double target_share);

/// Evaluates all objectives up to `now`, and lost times and domain changes of the last `period`.
burn_report make_burn_report(const burn_ledger& ledger, seconds now, seconds period);

/// Encodes a ledger as one line of JSON. `decode_burn` fails with `malformed` on any other text.
std::string encode_burn(const burn_ledger& ledger);
result<burn_ledger> decode_burn(std::string_view text);

} // namespace rml
