/// Choice of a target among those of a service or model. Answers the load of many daemons that see each
/// other's requests only some hundred milliseconds late: the less loaded of two random candidates, so that
/// they do not all pick the same idle target at once. Answers also the loss of a whole fabric domain: a
/// request that is moved goes to another domain if one has a place, because the rest of the first may be lost
/// unseen. When all targets that work are full, the dead ones look empty: a request waits rather than try
/// one.
#pragma once

#include "base/ids.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace rml {

struct target_candidate
{
    instance_id instance;
    fabric_domain_id fabric; ///< empty: none
    std::uint32_t own{0};    ///< requests of this daemon in flight there
    std::uint32_t others{0}; ///< requests of other daemons, as last heard
    std::uint32_t slots{1};  ///< requests that it runs at once
    double slowness{1};      ///< factor on its times, above 1: slower than usual
    bool tried{false};       ///< has had this request before
    bool doubtful{false};    ///< silent for a while; used when no other has a place
    bool avoided{false};     ///< believed to be gone, lost or closing; used when all untried ones are
};

/// Index of the chosen candidate, or nothing when those that may be used are full or tried. `random` is
/// uniform over all values.
std::optional<std::size_t> choose_target(const std::vector<target_candidate>& candidates,
                                         std::uint64_t random);

/// Free places over all candidates that are neither doubtful nor avoided.
std::size_t free_places(const std::vector<target_candidate>& candidates);

} // namespace rml
