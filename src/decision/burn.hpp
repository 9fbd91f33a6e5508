/// Service-level burn: mergeable counts in time buckets, error budgets, burn rates and alerts. Times are
/// seconds of the wall clock since 1970, given by the caller, since counts of several daemons are merged by
/// time.
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

/// Width of a bucket. Alerts look back a few minutes at least, so finer buckets would only cost space.
constexpr seconds burn_bucket{60};
/// A daemon keeps this much. Longer windows are covered by files that rml-burn saves.
constexpr seconds burn_retention{24 * 3600};
/// Service is reported for this long after a failure domain is drained or restored.
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
    objective,    ///< events of an objective: answered well, or not
    groups,       ///< group-milliseconds of a pool in a failure domain: serving, or down although wanted
    accelerators, ///< accelerator-milliseconds of a failure domain: in use or not wanted, or stranded
};

std::string_view to_string(burn_series_kind kind);

/// Names a series. `failure_domain` is empty for objectives.
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

/// The part of an objective that budgets need, with the generation that stated it.
struct burn_objective
{
    std::string name;
    double target_share{0.99};
    seconds window{3600};
    std::uint64_t generation{0};
};

/// A failure domain that was drained or restored. Every daemon records the same generation.
struct domain_change
{
    std::string failure_domain;
    std::uint64_t generation{0};
    bool drained{false};
    seconds at{0}; ///< earliest time at which a daemon acted on it
};

/// Counts of any number of daemons. Merging takes the larger count per source and bucket, because the counts
/// of one source only grow. It is therefore idempotent, commutative and associative: a snapshot that is read
/// twice, or an old one that is read after a new one, changes nothing. Group and accelerator times are
/// recorded only by the duty holder of the failure domain, so that sums over sources count each once.
class burn_ledger
{
public:
    using buckets = std::map<seconds, burn_counts>;           ///< by start
    using sources = std::map<std::string, buckets>;           ///< by `daemon@incarnation`
    using change_key = std::pair<std::string, std::uint64_t>; ///< failure domain and generation

    /// Adds to the bucket of a time.
    void add(const std::string& source, const burn_series& series, seconds at, const burn_counts& counts);

    /// Sets the counts of a bucket, unless it already has larger ones.
    void merge_bucket(const std::string& source, const burn_series& series, seconds start,
                      const burn_counts& counts);

    /// Keeps the objective of the highest generation.
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

/// When to alert: the burn rate is at least `rate` over the long and the short window. Windows are shares of
/// the objective's window. The values are those of the Site Reliability Workbook for 30 days: 1 h and 5 min
/// at 14.4, 6 h and 30 min at 6, 3 d and 6 h at 1.
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
    double budget_left{1}; ///< share of the error budget; negative when overspent
    std::vector<burn_alert> alerts;
};

/// Time lost by groups or accelerators.
struct lost_time
{
    burn_series series;
    burn_counts counts_ms;
    double lost_share{0};
};

/// How an objective did right after a failure domain left or returned.
struct domain_change_impact
{
    domain_change change;
    std::string objective;
    burn_counts counts;
};

struct burn_report
{
    seconds now{0};
    seconds period{0}; ///< of lost times and changes
    std::vector<objective_burn> objectives;
    std::vector<lost_time> group_downtime;
    std::vector<lost_time> stranded;
    std::vector<domain_change_impact> changes;
};

/// Share of bad events divided by the share that the target allows; 0 without events.
double burn_rate(const burn_counts& counts, double target_share);

/// Evaluates everything up to `now`.
burn_report make_burn_report(const burn_ledger& ledger, seconds now, seconds period);

/// One line of JSON. decode_burn reads it back and fails with `malformed`.
std::string encode_burn(const burn_ledger& ledger);
result<burn_ledger> decode_burn(std::string_view text);

} // namespace rml
