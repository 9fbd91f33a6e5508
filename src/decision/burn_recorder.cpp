#include "decision/burn_recorder.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Whether a request meets an objective; no value if the objective does not count the request.
std::optional<bool> meets_objective(const objective_object& objective, const request_sample& sample)
{
    const auto within = [&](const std::optional<milliseconds>& time) {
        return time && *time <= objective.threshold;
    };
    switch (objective.kind) {
    case objective_kind::answered:
        return sample.answered;
    case objective_kind::first_token:
        return within(sample.first_token); // a request without any token misses the objective
    case objective_kind::between_tokens:
        return sample.between_tokens ? std::optional(within(sample.between_tokens)) : std::nullopt;
    }
    return std::nullopt;
}

burn_counts weighted(std::uint32_t good, std::uint32_t bad, milliseconds elapsed)
{
    const auto time = static_cast<std::uint64_t>(std::max<std::int64_t>(0, elapsed.count()));
    return {good * time, bad * time};
}

} // namespace

void burn_recorder::install_objects(const object_set& set, seconds at)
{
    for (const auto& objective : set.objectives) {
        this->counts.update_objective(
            {objective.name, objective.target_share, objective.window, set.generation});
    }
    for (const auto& domain : set.failure_domains) {
        const auto& before = this->objects.failure_domains;
        const auto found =
            std::find_if(before.begin(), before.end(),
                         [&](const failure_domain_object& previous) { return previous.name == domain.name; });
        if (found != before.end() && found->state != domain.state) {
            this->counts.add_domain_change(
                {domain.name.str(), set.generation, domain.state == service_state::drained, at});
        }
    }
    this->objects = set;
}

void burn_recorder::record_request(const request_sample& sample, seconds at)
{
    for (const auto& objective : this->objects.objectives) {
        if (objective.pool != sample.pool || objective.service != sample.service) {
            continue;
        }
        if (const auto good = meets_objective(objective, sample)) {
            this->counts.add(this->source, {burn_series_kind::objective, objective.name, ""}, at,
                             *good ? burn_counts{1, 0} : burn_counts{0, 1});
        }
    }
}

void burn_recorder::record_groups(const group_sample& sample, milliseconds elapsed, seconds at)
{
    const auto serving = std::min(sample.serving, sample.wanted);
    this->counts.add(this->source, {burn_series_kind::groups, sample.pool.str(), sample.failure_domain.str()},
                     at, weighted(serving, sample.wanted - serving, elapsed));
}

void burn_recorder::record_accelerators(const accelerator_sample& sample, milliseconds elapsed, seconds at)
{
    const auto stranded = std::min(sample.stranded, sample.healthy);
    this->counts.add(this->source, {burn_series_kind::accelerators, "", sample.failure_domain.str()}, at,
                     weighted(sample.healthy - stranded, stranded, elapsed));
}

} // namespace rml
