/// Placement of model replicas on engines where each replica is a group inside one fabric domain, engines are
/// lost for good every few seconds and whole fabric domains go dark. Decides which groups to form, which to
/// give up for a model that lacks more, and which weights to stage where.
///
/// The value of n groups of a model is its share times log(n), so the counts tend to the models' shares, and
/// the last group of a model is worth most. What takes long to load is worth less.
///
/// Engines that lack a model's weights get them staged on their host before they join: until then they keep
/// the model that they have in memory and can still serve it.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rml {

struct planner_engine
{
    instance_id instance;
    fabric_domain_id fabric;
    bool free{false}; ///< healthy and in no group; engines that are neither free nor in a group do not count
    model_id loaded;  ///< joins a group of this model at once; empty: none
    std::vector<model_id> staged; ///< on its host: joins a group of these within the model's warm time
    model_id staging;             ///< on its way to the host; empty: none
};

struct planner_group
{
    group_id group;
    model_id model;
    fabric_domain_id fabric;
    std::vector<instance_id> members;
    bool serving{false}; ///< false: being formed; it counts, but is not given up
};

struct planner_model
{
    model_id model;
    std::uint32_t group_size{1};
    double share{0};      ///< of all engines, 0 to 1
    milliseconds load{0}; ///< join without staged weights
    milliseconds warm{0}; ///< join with staged weights
};

/// Free engines of a fabric domain that are kept for groups of a model.
struct planner_reservation
{
    model_id model;
    std::uint32_t groups{1};
};

struct planner_input
{
    std::vector<planner_engine> engines;
    std::vector<planner_group> groups;
    std::vector<planner_model> models;
    std::uint32_t loads_allowed{0}; ///< loads from the weight store that may start now
    /// Members may load while they join. At the first start of a site loads are short, and no engine has
    /// anything to lose.
    bool join_with_loads{false};
    /// Fabric domains where groups were given up for another model. Its groups count as if they were there.
    std::map<fabric_domain_id, planner_reservation> reserved;
};

struct planned_group
{
    model_id model;
    fabric_domain_id fabric;
    std::vector<instance_id> members; ///< the first is the head
    std::uint32_t loads{0};           ///< members that load from the weight store
    milliseconds expected{0};         ///< time until all members are ready
};

struct planned_stage
{
    instance_id instance;
    model_id model;
};

/// Serving groups to close, so that their engines and the free ones of the domain serve another model.
struct planned_retirement
{
    std::vector<group_id> groups;
    fabric_domain_id fabric;
    model_id model;                 ///< that the engines are for
    std::uint32_t groups_formed{0}; ///< groups of it that the engines make
};

struct replica_plan
{
    std::vector<planned_group> create;
    std::optional<planned_retirement> retire; ///< at most one per plan
    std::vector<planned_stage> stage;
};

replica_plan plan_replicas(const planner_input& input);

} // namespace rml
