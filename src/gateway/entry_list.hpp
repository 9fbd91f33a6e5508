/// Selects the daemons whose addresses are given to callers.
#pragma once

#include "decision/entry_choice.hpp"
#include "gateway/fleet_state.hpp"

#include <vector>

namespace rml::gateway {

/// State of this daemon, as the selection needs it.
struct own_state
{
    daemon_entry entry;
    bool ready{false}; ///< accepts requests
    bool store_reachable{false};
    double requests_per_s{0};
};

struct listed_daemon
{
    daemon_id daemon;
    endpoint caller; ///< where callers connect
    failure_domain_id failure_domain;
    double cores{0};
    bool ready{false}; ///< as its recent report says
};

/// Returns the fewest daemons that accept requests and together carry the load. Registered daemons without
/// recent reports are returned only when no other daemon is left.
std::vector<listed_daemon> entry_daemons(const fleet_state& fleet, const own_state& own, time_point now);

/// Those of the entry daemons that a caller in the failure domain is given: the ones in its domain if the
/// configuration states the delays of the domain and they suffice, otherwise all.
std::vector<listed_daemon> entry_daemons_near(const failure_domain_id& domain, near_entries& decision,
                                              const fleet_state& fleet, const own_state& own, time_point now);

} // namespace rml::gateway
