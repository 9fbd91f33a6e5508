/// Choice of a target among those of a service or model. Answers the load of many daemons that see each
/// other's requests only some hundred milliseconds late: the less loaded of two random candidates, so that
/// they do not all pick the same idle target at once. Answers also the loss of a whole fabric domain: a
/// request that is moved goes to another domain if one has a place, because the rest of the first may be lost
/// unseen. When all targets that work are full, the dead ones look empty: a request waits rather than try
/// one. In overload each place that comes free is seen by all daemons, so the last places of a target are
/// kept for one daemon after the other, in an order that differs from target to target.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace rml {

struct target_candidate
{
    instance_id instance;
    fabric_domain_id fabric;   ///< empty: none
    std::uint32_t own{0};      ///< requests of this daemon in flight there
    std::uint32_t others{0};   ///< requests of other daemons, as last heard
    std::uint32_t slots{1};    ///< requests that it runs at once
    std::uint32_t reserved{0}; ///< of its free places, those reserved for other daemons
    double slowness{1};        ///< factor on its times, above 1: slower than usual
    bool tried{false};         ///< has had this request before
    bool suspected{false};     ///< silent for a while; used when no other has a place
    bool ejected{false};       ///< believed to be gone, lost or closing; used when all untried ones are
};

/// Place of a daemon in the order in which the daemons take the last places of targets.
struct daemon_order
{
    std::uint32_t position{0};
    std::uint32_t daemons{1}; ///< that take requests; those beyond take what all of them leave
};

/// Places that the target at `index` of a list that all daemons have keeps for others than that daemon.
std::uint32_t reserved_slots(const daemon_order& order, std::size_t index, std::uint32_t slots);

/// Index of the chosen candidate, or nothing when those that may be used are full or tried. `random` is
/// uniform over all values.
std::optional<std::size_t> choose_target(const std::vector<target_candidate>& candidates,
                                         std::uint64_t random);

/// Whether others that take the same places are to hear of a change at once, since few are left.
bool slots_scarce(const target_candidate& candidate);

/// Free places over all candidates that are neither doubtful nor avoided.
std::size_t free_slots(const std::vector<target_candidate>& candidates);

} // namespace rml
