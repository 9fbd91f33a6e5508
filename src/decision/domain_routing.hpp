/// Decides whether a request leaves the failure domain of its daemon, and to which other domain.
///
/// Traffic between failure domains costs money and each packet pays the delay and the losses of the link,
/// but the demand of a domain may swing by half of its mean within seconds, so its own targets are sometimes
/// too few. A request therefore stays while the targets of its domain have room, and only the excess leaves.
/// The share that leaves is computed from the demand, that is, from the requests of all daemons of the domain
/// wherever they run. It does not depend on how many have left already, so that daemons with reports of
/// different age agree on it and do not swing.
#pragma once

#include "base/time.hpp"
#include "decision/target_choice.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace rml {

enum class routing_reason
{
    near,      ///< stays in the failure domain of the daemon
    near_full, ///< leaves: the own targets have no room
    near_slow, ///< leaves: a target elsewhere answers sooner by more than the delay
    retry,     ///< of a request that another target has got; any failure domain
};

std::string_view to_string(routing_reason reason);

struct routing_decision
{
    routing_reason reason{routing_reason::near};
    std::size_t domain{0}; ///< index of the preferred domain; 0: the own one
};

/// What the decision is made from, apart from the targets.
struct routing_costs
{
    std::vector<duration> delays; ///< one way from the own domain, by index of the domain; 0 for the own one
    duration answer_time{0};      ///< usual time of an answer by a target of slowness 1
};

/// The decisions of one daemon for one pool of targets. Keeps only whether requests leave at present.
class domain_routing
{
public:
    /// `random` is uniformly distributed over all values.
    routing_decision decide(const std::vector<target_candidate>& candidates, const routing_costs& costs,
                            std::uint64_t random);
    /// Share of the requests that leaves, as of the last decision of a request that was not a retry.
    double leaving_share() const { return this->share; }
    /// Why requests leave at present; `near` when they stay.
    routing_reason regime() const { return this->current; }

private:
    routing_reason current{routing_reason::near};
    double share{0};
};

/// Marks the targets outside the preferred domain, which `choose_target` then takes only when the others are
/// full or not usable. A retry may use all domains, because its domain may have failed as a whole.
void mark_elsewhere(const routing_decision& decision, std::vector<target_candidate>& candidates);

} // namespace rml
