/// Derives orders from a committed plan: which to send next, in which sequence, and when to repeat them.
#pragma once

#include "base/failure.hpp"
#include "decision/duty.hpp"
#include "decision/observation.hpp"
#include "model/plan.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace rml {

/// Order `assign` to one engine. An empty group releases it.
struct assign_order
{
    instance_id instance;
    group_id group;
    std::uint64_t epoch{0};
    std::uint32_t rank{0};
    std::vector<instance_id> members;
    model_id model;
    std::string version;
    std::uint64_t fencing{0}; ///< revision of the plan

    friend bool operator==(const assign_order& a, const assign_order& b);
};

/// Limits of one call of next_orders().
struct assignment_context
{
    duty_lease lease;
    std::size_t concurrent_loads{1}; ///< share of this duty in the weight store's limit of concurrent loads
    time_point now{};
};

struct assignment_stats
{
    std::uint64_t sent{0};
    std::uint64_t repeated{0};
    std::uint64_t refused_lapsed{0}; ///< orders not sent because the lease was no longer valid
    std::uint64_t refused_stale{0};  ///< orders not sent because the plan had changed
    std::size_t loading{0};          ///< engines that load weights now
};

/// Sends and repeats the orders of one duty.
class assignment
{
public:
    /// Replaces the plan in force. A plan whose revision is not higher is ignored.
    void install_plan(const committed_plan& plan);

    /// Orders to send next. Groups with the fewest members left to load come first, concurrent loads stay
    /// within the limit, and the order to an engine that has not applied it is repeated with exponential
    /// backoff. Engines without a fresh observation get no order. Empty when the lease is not valid.
    std::vector<assign_order> next_orders(const observation_table& observations,
                                          const assignment_context& context);

    /// Must be called directly before an order is sent; `now` must be read after all other preparation.
    /// `orderable_revision` comes from plan_commit. Fails with `lapsed` when the lease is not valid and with
    /// `stale` when the order does not belong to the plan in force.
    status start_order(const assign_order& order, const duty_lease& lease, std::uint64_t orderable_revision,
                       time_point now);
    /// Records that the order was answered or timed out.
    void finish_order(const instance_id& instance);

    const assignment_stats& stats() const { return this->counts; }

private:
    struct order_state
    {
        group_id group; ///< empty: not in any group
        std::uint32_t rank{0};
        bool in_flight{false};
        bool starts_load{false}; ///< the last order started a load that has not been observed yet
        std::uint32_t attempts{0};
        time_point sent_at{};
        time_point next_at{};
    };

    struct candidate
    {
        assign_order order;
        std::size_t left_to_load{0}; ///< members of the group that lack the weights
        bool starts_load{false};
    };

    assign_order order_for(const instance_id& instance, const order_state& state) const;
    void collect_group_orders(const group_record& group, const observation_table& observations,
                              time_point now, std::vector<candidate>& candidates);
    void collect_releases(const observation_table& observations, time_point now,
                          std::vector<candidate>& candidates);

    std::optional<committed_plan> plan;
    std::unordered_map<instance_id, order_state> order_states;
    assignment_stats counts;
};

} // namespace rml
