/// Failure domains as the request path sees them: their indices and delays, the routing decisions of each
/// pool, and what is counted and logged of them. Does nothing for services without stated delays.
#pragma once

#include "base/metrics.hpp"
#include "decision/domain_routing.hpp"
#include "gateway/fleet_state.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rml::gateway {

/// Requests to the targets of one failure domain.
struct domain_traffic
{
    counter& requests;
    counter& bytes; ///< bodies of requests and answers
};

/// Failure domains of the targets of a service; the own one has the index 0.
class domain_index
{
public:
    domain_index(failure_domain_id own, const domain_delays& delays);

    /// Index of the domain, which is added if it is not known yet.
    std::size_t find(const failure_domain_id& domain);
    /// One-way delays by index. A link whose delay is not stated counts as the longest link of the own
    /// domain.
    const std::vector<duration>& delays() const { return this->one_way; }

private:
    const domain_delays stated;
    const duration longest;
    std::vector<failure_domain_id> names;
    std::vector<duration> one_way;
};

class domain_router
{
public:
    domain_router(const fleet_state& fleet, metric_registry& registry);

    /// The failure domains of the service's targets, or null if requests choose among all targets alike: no
    /// delays are stated, or none of a link of the own domain.
    domain_index* index_of(const service_id& service);
    /// Counters of requests to that domain, or null while no service states delays.
    domain_traffic* traffic_to(const failure_domain_id& domain);
    /// Counts the decision for a request that was given the target.
    void record(const routing_decision& decision, const target_candidate& target);
    /// Logs when requests of a pool begin or end to leave the domain.
    void log_regime(const std::string& pool, const domain_routing& routing);

private:
    void update_config();

    const fleet_state& fleet;
    metric_registry& registry;
    std::uint64_t applied_version{0};
    bool configured{false}; ///< a service states delays
    std::map<service_id, domain_index> indices;
    std::map<failure_domain_id, domain_traffic> traffic;
    std::map<routing_reason, counter*> decisions;
    std::map<std::string, routing_reason> logged; ///< by pool
};

} // namespace rml::gateway
