/// Slow start: limits the requests that one daemon may send to a cold target. When a target restarts, every
/// daemon has requests for it; each daemon's load is small, but the sum of all would crash the target.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace rml {

/// Facts about the fleet that the division of a target's limit needs.
struct fleet_share
{
    std::size_t daemons{1}; ///< live daemons, this one included
    std::size_t rank{0};    ///< rank of this daemon among them, from 0; differs per target
    bool settled{true};     ///< false while the list of daemons may be incomplete
};

/// Requests per second that this daemon may send. The sum over all daemons with the same list is at most
/// `requests_per_s`. A daemon whose list is not settled may send one.
std::uint32_t slow_start_share(double requests_per_s, const fleet_share& fleet);

/// Sliding window of one second over the requests sent to one cold target.
class slow_start_window
{
public:
    /// Counts a request and returns true if fewer than `limit` were sent in the last second; otherwise
    /// returns false.
    bool take(std::uint32_t limit, time_point now);

    /// Number of requests that `take` would still allow now.
    std::uint32_t available(std::uint32_t limit, time_point now) const;

private:
    std::deque<time_point> sent;
};

} // namespace rml
