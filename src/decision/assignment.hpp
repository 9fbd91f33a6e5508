/// From a committed plan to orders: which orders to send next, in which sequence, and how often.
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

/// What one step may do.
struct assignment_context
{
    duty_lease lease;
    std::size_t concurrent_loads{1}; ///< this duty's share of the weight store's concurrent limit
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

/// Orders of one duty.
class assignment
{
public:
    /// Takes over the plan in force. Lower revisions are ignored.
    void install_plan(const committed_plan& plan);

    /// Orders to send next: groups with the fewest members left to load come first, loads stay within the
    /// limit, and an engine that does not follow is asked again after a growing delay. Engines without a
    /// fresh observation get no order. Empty when the lease is not valid.
    std::vector<assign_order> next_orders(const observation_table& observations,
                                          const assignment_context& context);

    /// To be called directly before an order is sent, with a clock read after everything else was prepared.
    /// `orderable_revision` comes from plan_commit. Fails with `lapsed` when the lease is not valid, `stale`
    /// when the order is not of the plan in force.
    status start_order(const assign_order& order, const duty_lease& lease, std::uint64_t orderable_revision,
                       time_point now);
    /// The order was answered or timed out.
    void finish_order(const instance_id& instance);

    const assignment_stats& stats() const { return this->counts; }

private:
    struct order_state
    {
        group_id group; ///< empty: not in any group
        std::uint32_t rank{0};
        bool in_flight{false};
        bool starts_load{false}; ///< the last order starts a load that has not been observed yet
        std::uint32_t attempts{0};
        time_point sent_at{};
        time_point next_at{};
    };

    struct candidate
    {
        assign_order order;
        std::size_t left_to_load{0}; ///< members of the group without the weights
        bool starts_load{false};
    };

    assign_order order_for(const instance_id& instance, const order_state& wanted) const;
    void collect_group_orders(const group_record& group, const observation_table& observations,
                              time_point now, std::vector<candidate>& candidates);
    void collect_releases(const observation_table& observations, time_point now,
                          std::vector<candidate>& candidates);

    std::optional<committed_plan> plan;
    std::unordered_map<instance_id, order_state> order_states;
    assignment_stats counts;
};

} // namespace rml
