/// Choice of the daemons that callers are told to connect to. Answers the load of a large fleet of unequal
/// machines: when every daemon takes requests, each has one or two at a target, hears of the others' only a
/// second late, and a small machine takes as many as a large one. As few daemons as carry the load, the
/// largest first and as many in each failure domain, see the load of the targets nearly as it is.
#pragma once

#include "base/ids.hpp"

#include <cstddef>
#include <vector>

namespace rml {

struct entry_candidate
{
    daemon_id daemon;
    failure_domain_id failure_domain;
    double cores{0};            ///< share of a core that it may use, above 0
    bool store_reachable{true}; ///< knows the present configuration
};

/// Indices of the chosen candidates. `requests_per_s`: arriving at all daemons together. All are chosen when
/// fewer cannot carry that.
std::vector<std::size_t> choose_entries(const std::vector<entry_candidate>& candidates,
                                        double requests_per_s);

} // namespace rml
