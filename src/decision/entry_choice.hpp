/// Chooses the daemons that callers are told to connect to: as few as can carry the load, the largest first,
/// and equally many in each failure domain. If every daemon of a large fleet took requests, each would have
/// one or two requests at a target, would learn of the others' requests a second late, and a small machine
/// would get as many requests as a large one. A few daemons know the load of the targets almost exactly.
#pragma once

#include "base/ids.hpp"

#include <cstddef>
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

} // namespace rml
