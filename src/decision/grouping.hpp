/// Forms and repairs the group plan of one failure domain.
///
/// Complete groups keep their members. Groups with missing members are repaired with as few reassignments as
/// possible, groups with the fewest missing members first; then new groups are formed while a pool demands
/// more. A group whose missing members cannot be replaced stays in the plan, since it is complete again when
/// they return.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "decision/shared_risk.hpp"
#include "model/plan.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace rml {

/// State of an engine that placement depends on.
struct engine_view
{
    instance_id instance;
    fabric_domain_id fabric;
    bool usable{false}; ///< recently observed and not leaving
    bool fenced{false}; ///< rejects orders with an old fencing number
    bool ready{false};  ///< serves exactly as the previous plan assigns it
    model_id model;     ///< model whose weights are in memory; empty: none
    std::string version;
};

/// Groups that a pool demands in this failure domain.
struct pool_demand
{
    model_pool_id pool;
    model_id model;
    std::string version;
    std::uint32_t group_size{1};
    std::uint32_t groups{0};
};

struct grouping_input
{
    failure_domain_id domain;
    bool drained{false}; ///< existing groups are kept for the end of the drain; no new group is formed
    std::vector<engine_view> engines;
    std::vector<pool_demand> pools;
    const domain_plan* previous{nullptr}; ///< null: no plan yet
    std::uint64_t previous_revision{0};
    const shared_risk* risk{nullptr}; ///< null: no loss statistics
    bool settled{true};               ///< engines without fencing may be reassigned (duty_lease)
    time_point now{};
};

struct grouping_stats
{
    std::uint32_t complete{0}; ///< groups whose members are all usable
    std::uint32_t incomplete{0};
    std::uint32_t repaired{0};
    std::uint32_t created{0};
    std::uint32_t dropped{0};
    std::uint32_t updated{0};      ///< complete groups that were assigned a new model, version or size
    std::uint32_t moved{0};        ///< copies of smaller groups formed to make room for a larger group
    std::uint32_t retired{0};      ///< surplus groups dissolved to make room for another group
    std::uint32_t reassigned{0};   ///< instances that joined a group they were not in
    std::uint32_t stranded{0};     ///< usable engines outside complete groups while demand is unmet
    std::uint32_t unmet_demand{0}; ///< groups that pools demand beyond their complete groups
};

struct grouping_outcome
{
    domain_plan plan;
    bool changed{false}; ///< the plan differs from the previous one and has to be committed
    grouping_stats stats;
};

/// Fails with `refused` when the result does not pass the checks of domain_plan::create, for example because
/// an engine is listed twice.
result<grouping_outcome> form_groups(const grouping_input& input);

/// Usable engines of one fabric domain, as input to divide_pools().
struct fabric_capacity
{
    fabric_domain_id fabric;
    failure_domain_id domain;
    std::uint32_t engines{0};
};

/// A pool to divide over failure domains.
struct pool_request
{
    model_pool_id pool;
    std::uint32_t group_size{1};
    std::uint32_t groups{0};
    std::vector<failure_domain_id> domains; ///< domains in service that the pool may use
};

/// Number of groups of each pool that each failure domain hosts, as even as the capacity allows. The result
/// is deterministic, so that all duty holders with the same input divide the pools alike.
std::map<std::pair<model_pool_id, failure_domain_id>, std::uint32_t>
divide_pools(const std::vector<pool_request>& pools, const std::vector<fabric_capacity>& fabrics);

} // namespace rml
