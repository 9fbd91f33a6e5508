/// Requests that one daemon may send to a target in cold start. Answers the load of a target that restarts
/// while every daemon has work for it: each daemon's share is small, but all shares together would crash it.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace rml {

/// The fleet as far as the division of an allowance needs it.
struct fleet_share
{
    std::size_t daemons{1}; ///< live daemons, this one included
    std::size_t rank{0};    ///< of this daemon among them for the target, from 0; differs per target
    bool settled{true};     ///< false while the list of daemons may still be incomplete
};

/// Requests per second that this daemon may send. The sum over all daemons with the same list is at most
/// `requests_per_s`. An unsettled daemon takes one.
std::uint32_t slow_start_share(double requests_per_s, const fleet_share& fleet);

/// Sliding window of one second over the requests sent to one cold target.
class slow_start_window
{
public:
    /// Counts a request and returns true when fewer than `limit` were sent in the last second.
    bool take(std::uint32_t limit, time_point now);

    /// Requests that `take` would still allow now.
    std::uint32_t available(std::uint32_t limit, time_point now) const;

private:
    std::deque<time_point> sent;
};

} // namespace rml
