/// Daemons that callers are told to connect to.
#pragma once

#include "gateway/fleet_state.hpp"

#include <vector>

namespace rml::gateway {

/// What this daemon says of itself.
struct own_state
{
    daemon_entry entry;
    bool ready{false}; ///< takes requests
    bool store_reachable{false};
    double requests_per_s{0};
};

struct listed_daemon
{
    daemon_id daemon;
    endpoint caller; ///< where callers connect
};

/// As few of the daemons that take requests as carry the load. A daemon that was heard and fell silent is
/// named only when no other is left.
std::vector<listed_daemon> entry_daemons(const fleet_state& fleet, const own_state& own, time_point now);

} // namespace rml::gateway
