/// Chooses the daemons that callers are told to connect to: as few as can carry the load, the largest first,
/// and equally many in each failure domain. If every daemon of a large fleet took requests, each would have
/// one or two requests at a target, would learn of the others' requests a second late, and a small machine
/// would get as many requests as a large one. A few daemons know the load of the targets almost exactly.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace rml {

struct entry_candidate
{
    daemon_id daemon;
    failure_domain_id failure_domain;
    double cores{0};            ///< CPU cores that the daemon may use, above 0
    bool store_reachable{true}; ///< whether the daemon receives the current configuration
};

/// Indices of the chosen candidates. `requests_per_s`: rate of arrivals at all daemons together. All
/// candidates are chosen when fewer cannot carry that rate.
std::vector<std::size_t> choose_entries(const std::vector<entry_candidate>& candidates,
                                        double requests_per_s);

/// The entry daemons of one failure domain and what arrives there.
struct domain_entries
{
    std::size_t daemons{0};       ///< chosen and ready in the domain
    double min_cores{0};          ///< of the smallest of them
    double requests_per_s{0};     ///< arriving at the daemons of the domain
    double all_requests_per_s{0}; ///< arriving at all daemons
};

/// Decides whether the callers of a failure domain are told the entry daemons of that domain only: requests
/// that cross to another domain pay for each byte and its delay, but the demand of a domain may exceed what
/// its daemons can carry, and a domain may lose them.
class near_entries
{
public:
    /// Once callers are told all daemons, the arrivals no longer show the demand of the domain. It is then
    /// taken to have kept its share of all requests for a time.
    bool suffice(const failure_domain_id& domain, const domain_entries& entries, time_point now);

private:
    struct shortage
    {
        double share{0}; ///< of the domain in all requests when its daemons became too few
        time_point since{};
    };
    std::map<failure_domain_id, shortage> short_domains;
};

} // namespace rml
