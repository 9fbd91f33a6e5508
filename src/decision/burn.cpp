#include "decision/burn.hpp"

#include <algorithm>
#include <cmath>

namespace rml {

namespace {

seconds bucket_start(seconds at)
{
    return at - at % burn_bucket;
}

/// Length of a share of a window, rounded up to whole buckets.
seconds share_of(seconds window, double share)
{
    const auto count =
        std::ceil(static_cast<double>(window.count()) * share / static_cast<double>(burn_bucket.count()));
    return burn_bucket * std::max<std::int64_t>(1, static_cast<std::int64_t>(count));
}

double bad_share(const burn_counts& counts)
{
    return counts.total() == 0 ? 0 : static_cast<double>(counts.bad) / static_cast<double>(counts.total());
}

objective_burn evaluate(const burn_ledger& ledger, const burn_objective& objective, seconds now)
{
    const burn_series series{burn_series_kind::objective, objective.name, ""};
    const auto sum_over = [&](seconds window) { return ledger.sum(series, now - window, now); };
    objective_burn burn{objective, sum_over(objective.window), 1, {}};
    burn.budget_left = 1 - burn_rate(burn.counts, objective.target_share);
    for (const auto& rule : burn_rules()) {
        burn_alert alert;
        alert.rule = rule.name;
        alert.long_window = share_of(objective.window, rule.long_share);
        alert.short_window = share_of(objective.window, rule.short_share);
        alert.long_rate = burn_rate(sum_over(alert.long_window), objective.target_share);
        alert.short_rate = burn_rate(sum_over(alert.short_window), objective.target_share);
        alert.firing = alert.long_rate >= rule.rate && alert.short_rate >= rule.rate;
        burn.alerts.push_back(alert);
    }
    return burn;
}

} // namespace

std::string_view to_string(burn_series_kind kind)
{
    switch (kind) {
    case burn_series_kind::objective:
        return "objective";
    case burn_series_kind::groups:
        return "groups";
    case burn_series_kind::accelerators:
        return "accelerators";
    }
    return "unknown";
}

void burn_ledger::add(const std::string& source, const burn_series& series, seconds at,
                      const burn_counts& counts)
{
    this->series[series][source][bucket_start(at)] += counts;
}

void burn_ledger::merge_bucket(const std::string& source, const burn_series& series, seconds start,
                               const burn_counts& counts)
{
    auto& bucket = this->series[series][source][bucket_start(start)];
    bucket.good = std::max(bucket.good, counts.good);
    bucket.bad = std::max(bucket.bad, counts.bad);
}

void burn_ledger::update_objective(const burn_objective& objective)
{
    const auto order = [](const burn_objective& o) {
        return std::tie(o.generation, o.target_share, o.window);
    };
    const auto [found, inserted] = this->objectives.emplace(objective.name, objective);
    if (!inserted && order(found->second) < order(objective)) {
        found->second = objective;
    }
}

void burn_ledger::add_domain_change(const domain_change& change)
{
    const auto [found, inserted] =
        this->changes.emplace(change_key{change.failure_domain, change.generation}, change);
    if (!inserted) {
        found->second.at = std::min(found->second.at, change.at);
        found->second.drained = found->second.drained || change.drained;
    }
}

void burn_ledger::merge(const burn_ledger& other)
{
    for (const auto& [name, sources] : other.series) {
        for (const auto& [source, buckets] : sources) {
            for (const auto& [start, counts] : buckets) {
                this->merge_bucket(source, name, start, counts);
            }
        }
    }
    for (const auto& entry : other.objectives) {
        this->update_objective(entry.second);
    }
    for (const auto& entry : other.changes) {
        this->add_domain_change(entry.second);
    }
}

void burn_ledger::destroy_before(seconds oldest)
{
    for (auto& entry : this->series) {
        auto& sources = entry.second;
        for (auto source = sources.begin(); source != sources.end();) {
            auto& buckets = source->second;
            buckets.erase(buckets.begin(), buckets.lower_bound(bucket_start(oldest)));
            source = buckets.empty() ? sources.erase(source) : std::next(source);
        }
    }
    for (auto entry = this->series.begin(); entry != this->series.end();) {
        entry = entry->second.empty() ? this->series.erase(entry) : std::next(entry);
    }
    for (auto entry = this->changes.begin(); entry != this->changes.end();) {
        entry =
            entry->second.at + domain_change_window < oldest ? this->changes.erase(entry) : std::next(entry);
    }
}

burn_counts burn_ledger::sum(const burn_series& series, seconds from, seconds to) const
{
    burn_counts total;
    const auto found = this->series.find(series);
    if (found == this->series.end()) {
        return total;
    }
    for (const auto& entry : found->second) {
        const auto& buckets = entry.second;
        for (auto bucket = buckets.upper_bound(from - burn_bucket);
             bucket != buckets.end() && bucket->first < to; ++bucket) {
            total += bucket->second;
        }
    }
    return total;
}

const std::vector<burn_rule>& burn_rules()
{
    static const std::vector<burn_rule> rules{{"page-fast", 1.0 / 720, 1.0 / 8640, 14.4},
                                              {"page-slow", 1.0 / 120, 1.0 / 1440, 6},
                                              {"ticket", 1.0 / 10, 1.0 / 120, 1}};
    return rules;
}

double burn_rate(const burn_counts& counts, double target_share)
{
    return counts.bad == 0 ? 0 : bad_share(counts) / (1 - target_share);
}

burn_report make_burn_report(const burn_ledger& ledger, seconds now, seconds period)
{
    burn_report report;
    report.now = now;
    report.period = period;
    for (const auto& entry : ledger.all_objectives()) {
        report.objectives.push_back(evaluate(ledger, entry.second, now));
    }
    for (const auto& entry : ledger.all_series()) {
        const auto& series = entry.first;
        if (series.kind == burn_series_kind::objective) {
            continue;
        }
        const auto counts = ledger.sum(series, now - period, now);
        auto& list = series.kind == burn_series_kind::groups ? report.group_downtime : report.stranded;
        list.push_back({series, counts, bad_share(counts)});
    }
    for (const auto& entry : ledger.all_changes()) {
        const auto& change = entry.second;
        if (change.at + domain_change_window < now - period || change.at > now) {
            continue;
        }
        for (const auto& objective : ledger.all_objectives()) {
            const auto counts = ledger.sum({burn_series_kind::objective, objective.first, ""}, change.at,
                                           change.at + domain_change_window);
            report.changes.push_back({change, objective.first, counts});
        }
    }
    return report;
}

} // namespace rml
