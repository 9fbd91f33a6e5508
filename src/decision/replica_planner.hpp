/// Places model replicas on engines. Each replica is a group of engines inside one fabric domain; single
/// engines fail permanently every few seconds, and whole fabric domains fail at once. The plan says which
/// groups to form, which groups to retire in favor of a model that needs the engines more, and which weights
/// to stage on which host.
///
/// The value of n groups of a model is its share times log(n). The group counts therefore approach the
/// models' shares, and the only group of a model is the most valuable one. A group that takes long to load
/// has less value.
///
/// An engine without a model's weights gets them staged on its host before it joins a group of that model.
/// Meanwhile it keeps its resident model and can still serve it. If the site has several models, engines
/// outside groups also load one: with one model resident and another one staged they can replace members of
/// either.
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
    bool free{false}; ///< healthy and in no group; an engine that is neither free nor in a group is not used
    model_id loaded;  ///< resident model: the engine joins its groups without loading; empty: none
    std::vector<model_id> staged; ///< models on its host: it joins their groups within the model's warm time
    model_id staging;             ///< model that is being copied to the host; empty: none
};

struct planner_group
{
    group_id group;
    model_id model;
    fabric_domain_id fabric;
    std::vector<instance_id> members;
    bool serving{false}; ///< false: being formed; such a group counts, but is never retired
};

struct planner_model
{
    model_id model;
    std::uint32_t group_size{1};
    double share{0};      ///< share of all engines that the model is due, 0 to 1
    milliseconds load{0}; ///< time to fetch the weights from the weight store
    milliseconds warm{0}; ///< time to join with staged weights
};

/// Reserves the free engines of a fabric domain for groups of one model.
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
    /// Number of these loads that are kept for engines outside groups. Engines without weights serve nobody,
    /// and a second model on the host of a member is of use only after the next loss.
    std::uint32_t loads_kept_for_spares{0};
    /// Members may load weights while they join. Set at the first start of a site: loads are short then, and
    /// no engine serves another model meanwhile.
    bool join_with_loads{false};
    /// Fabric domains in which groups were retired in favor of another model. The groups that the reservation
    /// announces count as existing.
    std::map<fabric_domain_id, planner_reservation> reserved;
};

struct planned_group
{
    model_id model;
    fabric_domain_id fabric;
    std::vector<instance_id> members; ///< the first is the head
    std::uint32_t loads{0};           ///< members that fetch weights from the weight store
    milliseconds expected{0};         ///< time until all members are ready
};

struct planned_stage
{
    instance_id instance;
    model_id model;
};

/// Serving groups to close so that their engines, together with the free ones of the domain, serve another
/// model.
struct planned_retirement
{
    std::vector<group_id> groups;
    fabric_domain_id fabric;
    model_id model;                 ///< model that the engines will serve
    std::uint32_t groups_formed{0}; ///< number of groups of the model that the engines suffice for
};

/// A model to load into the memory of an engine outside groups. Its host can then hold another one.
struct planned_warmup
{
    instance_id instance;
    model_id model;
    bool from_store{false}; ///< the weights are not staged on its host
};

struct replica_plan
{
    std::vector<planned_group> create;
    std::optional<planned_retirement> retire; ///< at most one per plan
    std::vector<planned_warmup> warm_up;
    std::vector<planned_stage> stage;
};

replica_plan plan_replicas(const planner_input& input);

} // namespace rml
