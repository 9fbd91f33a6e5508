/// Selects the daemons whose addresses are given to callers.
#pragma once

#include "base/metrics.hpp"
#include "decision/entry_choice.hpp"
#include "gateway/fleet_state.hpp"

#include <map>
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

/// Selects the entry daemons for callers that name their failure domain: the ones of that domain if the
/// configuration states its delays and they suffice, otherwise all.
class near_entry_list
{
public:
    explicit near_entry_list(metric_registry& metrics) : metrics(metrics) {}

    std::vector<listed_daemon> select(const failure_domain_id& domain, const fleet_state& fleet,
                                      const own_state& own, time_point now);

private:
    metric_registry& metrics;
    near_entries decision;
    std::map<failure_domain_id, bool> sufficed; ///< at the last query of a caller in the domain
};

} // namespace rml::gateway
