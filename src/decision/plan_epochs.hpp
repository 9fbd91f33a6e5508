/// Records the incarnations of members in the plan and raises a group's epoch when a member has restarted. An
/// epoch thereby identifies one incarnation of every member, and connections, slots and evidence of earlier
/// incarnations do not match it.
#pragma once

#include "decision/observation.hpp"
#include "model/plan.hpp"

namespace rml {

struct epoch_outcome
{
    std::vector<group_record> groups;
    bool changed{false}; ///< the groups differ from the input
};

/// `next_epoch` must be higher than every earlier epoch, for example the plan's revision plus one.
epoch_outcome record_incarnations(std::vector<group_record> groups, const observation_table& observations,
                                  std::uint64_t next_epoch, time_point now);

} // namespace rml
