/// Selects the daemons whose addresses are given to callers.
#pragma once

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
};

/// Returns the fewest daemons that accept requests and together carry the load. Registered daemons without
/// recent reports are returned only when no other daemon is left.
std::vector<listed_daemon> entry_daemons(const fleet_state& fleet, const own_state& own, time_point now);

} // namespace rml::gateway
