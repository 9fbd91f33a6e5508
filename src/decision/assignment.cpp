#include "decision/assignment.hpp"

#include "base/limits.hpp"
#include "decision/evidence.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Whether the engine has applied the order for this rank, even if the weights are not loaded yet.
bool follows_order(const engine_status& report, const group_record& group, std::size_t rank)
{
    auto loaded = report;
    loaded.loaded = true;
    loaded.leaving = false;
    return serves_as_planned(loaded, group, rank);
}

bool holds_weights(const engine_status& report, const group_record& group)
{
    return report.loaded && report.model == group.model && report.version == group.version;
}

milliseconds backoff(std::uint32_t attempts)
{
    auto delay = limits::order_backoff_initial;
    for (std::uint32_t i = 1; i < attempts && delay < limits::order_backoff_max; ++i) {
        delay *= 2;
    }
    return std::min(delay, limits::order_backoff_max);
}

} // namespace

bool operator==(const assign_order& a, const assign_order& b)
{
    return a.instance == b.instance && a.group == b.group && a.epoch == b.epoch && a.rank == b.rank &&
           a.members == b.members && a.model == b.model && a.version == b.version && a.fencing == b.fencing;
}

void assignment::install_plan(const committed_plan& next)
{
    if (this->plan && next.revision <= this->plan->revision) {
        return;
    }
    std::unordered_map<instance_id, order_state> next_states;
    for (const auto& group : next.plan.groups()) {
        const auto* before = this->plan ? this->plan->plan.find(group.id) : nullptr;
        for (std::uint32_t rank = 0; rank < group.members.size(); ++rank) {
            const auto& instance = group.members[rank];
            auto& entry = next_states[instance];
            // Members whose order does not change keep their backoff.
            if (before != nullptr && *before == group) {
                entry = this->order_states[instance];
            }
            entry.group = group.id;
            entry.rank = rank;
        }
    }
    for (const auto& location : next.plan.locations()) {
        auto& entry = next_states[location.instance];
        const auto before = this->order_states.find(location.instance);
        if (before != this->order_states.end() && entry.group.empty() && before->second.group.empty()) {
            entry = before->second;
        }
    }
    this->order_states = std::move(next_states);
    this->plan = next;
}

assign_order assignment::order_for(const instance_id& instance, const order_state& state) const
{
    assign_order order;
    order.instance = instance;
    order.fencing = this->plan->revision;
    if (const auto* group = this->plan->plan.find(state.group); group != nullptr) {
        order.group = group->id;
        order.epoch = group->epoch;
        order.rank = state.rank;
        order.members = group->members;
        order.model = group->model;
        order.version = group->version;
    }
    return order;
}

void assignment::collect_group_orders(const group_record& group, const observation_table& observations,
                                      time_point now, std::vector<candidate>& candidates)
{
    std::size_t left = 0;
    const auto first = candidates.size();
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
        auto& state = this->order_states[group.members[rank]];
        const auto* seen = observations.fresh(group.members[rank], now);
        const bool ready = seen != nullptr && holds_weights(seen->report, group);
        left += ready ? 0 : 1;
        // An order counts as a load until a status sent after the order timeout can have arrived.
        state.starts_load =
            state.starts_load && now <= state.sent_at + limits::order_timeout + limits::observation_lifetime;
        if (seen != nullptr && follows_order(seen->report, group, rank)) {
            this->counts.loading += ready ? 0 : 1;
            state.starts_load = false;
            state.attempts = 0;
            continue;
        }
        this->counts.loading += state.starts_load ? 1 : 0;
        if (seen == nullptr) {
            continue;
        }
        if (!seen->report.leaving && !state.in_flight && now >= state.next_at) {
            candidates.push_back(
                {this->order_for(group.members[rank], state), 0, !ready && !state.starts_load});
        }
    }
    for (auto i = first; i < candidates.size(); ++i) {
        candidates[i].left_to_load = left;
    }
}

void assignment::collect_releases(const observation_table& observations, time_point now,
                                  std::vector<candidate>& candidates)
{
    for (const auto& location : this->plan->plan.locations()) {
        const auto& state = this->order_states[location.instance];
        const auto* seen = observations.fresh(location.instance, now);
        if (!state.group.empty() || seen == nullptr || seen->report.group.empty() || state.in_flight ||
            now < state.next_at) {
            continue;
        }
        candidates.push_back({this->order_for(location.instance, state), 0, false});
    }
}

std::vector<assign_order> assignment::next_orders(const observation_table& observations,
                                                  const assignment_context& context)
{
    if (!this->plan || !context.lease.permits_orders(context.now)) {
        return {};
    }
    this->counts.loading = 0;
    std::vector<candidate> candidates;
    this->collect_releases(observations, context.now, candidates);
    for (const auto& group : this->plan->plan.groups()) {
        this->collect_group_orders(group, observations, context.now, candidates);
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
        return a.left_to_load != b.left_to_load ? a.left_to_load < b.left_to_load
                                                : a.order.group < b.order.group;
    });
    auto loading = this->counts.loading;
    std::size_t in_flight = 0;
    for (const auto& [instance, state] : this->order_states) {
        in_flight += state.in_flight ? 1 : 0;
    }
    std::vector<assign_order> orders;
    for (auto& next : candidates) {
        const bool over_limit = next.starts_load && loading >= context.concurrent_loads;
        if (over_limit || in_flight + orders.size() >= limits::orders_in_flight) {
            continue;
        }
        loading += next.starts_load ? 1 : 0;
        orders.push_back(std::move(next.order));
    }
    return orders;
}

status assignment::start_order(const assign_order& order, const duty_lease& lease,
                               std::uint64_t orderable_revision, time_point now)
{
    const auto found = this->order_states.find(order.instance);
    if (found == this->order_states.end() || order.fencing != orderable_revision ||
        !(this->order_for(order.instance, found->second) == order)) {
        ++this->counts.refused_stale;
        return failure{failure_kind::stale, "order to " + order.instance.str()};
    }
    if (!lease.permits_orders(now)) {
        ++this->counts.refused_lapsed;
        return failure{failure_kind::lapsed, "order to " + order.instance.str()};
    }
    auto& state = found->second;
    this->counts.repeated += state.attempts > 0 ? 1 : 0;
    ++this->counts.sent;
    ++state.attempts;
    state.in_flight = true;
    state.starts_load = !order.group.empty();
    state.sent_at = now;
    state.next_at = now + backoff(state.attempts);
    return success();
}

void assignment::finish_order(const instance_id& instance)
{
    const auto found = this->order_states.find(instance);
    if (found != this->order_states.end()) {
        found->second.in_flight = false;
    }
}

} // namespace rml
