/// Chooses a target of a service or model.
///
/// Daemons learn of each other's requests with a delay of some hundred milliseconds. The choice is therefore
/// the less loaded of two random candidates, so that the daemons do not all pick the same idle target.
/// A request that is rerouted goes to another fabric domain if one has a free slot: domains fail as a whole,
/// so the other targets of the first domain may have failed without being detected yet.
/// While all working targets are full, the failed ones look idle: a request waits instead of trying one.
/// In overload all daemons see each slot that becomes free. The last slots of a target are therefore reserved
/// for one daemon after the other, in an order that differs from target to target.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace rml {

struct target_candidate
{
    instance_id instance;
    fabric_domain_id fabric;         ///< empty: none
    std::uint32_t own{0};            ///< requests of this daemon in flight at the target
    std::uint32_t others{0};         ///< requests of other daemons, as last reported
    std::uint32_t neighbours{0};     ///< those of them from daemons of the own failure domain
    std::size_t domain{0};           ///< index of the failure domain; 0: of this daemon, or not known
    std::uint32_t slots{1};          ///< requests that the target runs concurrently
    std::uint32_t reserved{0};       ///< free slots that are reserved for other daemons
    double slowness{1};              ///< factor on the service time; above 1: slower than usual
    bool tried{false};               ///< this request was already sent to the target
    bool elsewhere{false};           ///< outside the failure domain that the request should be served in
    bool awaits_first_answer{false}; ///< see start_allowance; its free slots count nevertheless
    bool suspected{false};           ///< silent for a while; chosen when no other target has a free slot
    bool ejected{false};             ///< presumed failed or closing; chosen when all untried targets are
};

/// Position of a daemon in the order in which the daemons may take the last slots of targets.
struct daemon_order
{
    std::uint32_t position{0};
    std::uint32_t daemons{1}; ///< daemons that take requests; later positions get only unreserved slots
};

/// Slots of a target that are reserved for other daemons than the one in `order`. `index`: position of the
/// target in a list that is the same at all daemons.
std::uint32_t reserved_slots(const daemon_order& order, std::size_t index, std::uint32_t slots);

/// Expected time until a target sends the first token of the request; nothing if it is not known.
using first_token_estimate = std::function<std::optional<duration>(const target_candidate&)>;

/// Index of the chosen candidate, or nothing when all usable candidates are full or were tried. `random` is
/// uniformly distributed over all values. `estimate` is called for the two drawn candidates only; their loads
/// are compared if it is not set or does not know both times.
std::optional<std::size_t> choose_target(const std::vector<target_candidate>& candidates,
                                         std::uint64_t random, const first_token_estimate& estimate = {});

/// Index of the usable candidate with the fewest requests, for a request that may crash its target, or
/// nothing when all usable candidates are full or were tried. `random` decides between equal ones.
std::optional<std::size_t> choose_least_loaded(const std::vector<target_candidate>& candidates,
                                               std::uint64_t random);

/// Whether a target that could be chosen later awaits its first answer.
bool any_awaits_first_answer(const std::vector<target_candidate>& candidates);

/// Whether so few slots are free that a change must be reported to the other daemons at once.
bool slots_scarce(const target_candidate& candidate);

/// Sum of the free slots of all candidates that are neither suspected nor ejected.
std::size_t free_slots(const std::vector<target_candidate>& candidates);

} // namespace rml
