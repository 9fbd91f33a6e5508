/// Records the incarnations of members in the plan and raises a group's epoch when one of them has restarted.
/// An epoch thereby names one run of all members: connections, slots and evidence of an earlier run do not
/// fit it.
#pragma once

#include "decision/observation.hpp"
#include "model/plan.hpp"

namespace rml {

struct epoch_outcome
{
    std::vector<group_record> groups;
    bool changed{false}; ///< differs from the input
};

/// `next_epoch` must be higher than every epoch given before, such as the plan's revision plus one.
epoch_outcome record_incarnations(std::vector<group_record> groups, const observation_table& observations,
                                  std::uint64_t next_epoch, time_point now);

} // namespace rml
