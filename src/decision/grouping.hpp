/// Forms and repairs the plan of one failure domain.
///
/// Healthy groups stay as they are. Broken groups are repaired with as few reassignments as possible, groups
/// with the fewest missing members first; then new groups are formed while a pool wants more. An incomplete
/// group whose members cannot be replaced stays in the plan, since it is whole again when they return.
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

/// An engine of the failure domain as far as placement needs it.
struct engine_view
{
    instance_id instance;
    fabric_domain_id fabric;
    bool usable{false}; ///< observed lately and not leaving
    bool fenced{false}; ///< refuses old fencing numbers
    bool ready{false};  ///< serves exactly as the previous plan says
    model_id model;     ///< weights in memory; empty: none
    std::string version;
};

/// What a pool wants of this failure domain.
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
    bool drained{false}; ///< groups are kept for the return, and nothing is formed
    std::vector<engine_view> engines;
    std::vector<pool_demand> pools;
    const domain_plan* previous{nullptr}; ///< null: none yet
    std::uint64_t previous_revision{0};
    const shared_risk* risk{nullptr}; ///< null: nothing learnt
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
    std::uint32_t updated{0};      ///< healthy groups given a new model or version
    std::uint32_t moved{0};        ///< copies of smaller groups formed so that a larger group will find room
    std::uint32_t retired{0};      ///< surplus groups given up so that another group can be formed
    std::uint32_t reassigned{0};   ///< instances that joined a group they were not in
    std::uint32_t stranded{0};     ///< usable engines outside complete groups while a pool wants more groups
    std::uint32_t unmet_demand{0}; ///< complete groups missing to what the pools want
};

struct grouping_outcome
{
    domain_plan plan;
    bool changed{false}; ///< differs from the previous plan and is to be committed
    grouping_stats stats;
};

/// Fails with `refused` when the result does not pass the checks of domain_plan::create, for example because
/// an engine is listed twice.
result<grouping_outcome> form_groups(const grouping_input& input);

/// Usable engines of one fabric domain, for the division of pools.
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
    std::vector<failure_domain_id> domains; ///< those that the pool may use and that are in service
};

/// Groups of each pool that each failure domain is to host: as even as the capacity allows. Every duty holder
/// computes the same division from the same input.
std::map<std::pair<model_pool_id, failure_domain_id>, std::uint32_t>
divide_pools(const std::vector<pool_request>& pools, const std::vector<fabric_capacity>& fabrics);

} // namespace rml
