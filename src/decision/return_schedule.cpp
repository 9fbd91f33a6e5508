#include "decision/return_schedule.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Part of the places that become free that is promised to returning callers; new ones need the rest.
constexpr double returning_part = 0.5;
/// Shortest time to come back: within it nothing changes.
constexpr milliseconds shortest{150};
/// With nothing that serves, a group may be formed from staged weights within about this time.
constexpr milliseconds outage_wait{1500};

} // namespace

milliseconds return_schedule::assign(milliseconds wait, double places_per_s, milliseconds latest,
                                     time_point now)
{
    const bool outage = places_per_s <= 0;
    const auto earliest = now + std::max(shortest, outage ? outage_wait : std::min(wait, latest));
    const auto assigned = std::max(this->next, earliest);
    if (assigned - now >= latest) {
        // Beyond this callers give up; the schedule does not grow further.
        return std::max(shortest, latest);
    }
    const auto rate = outage ? 0.0 : places_per_s * returning_part;
    if (rate > 0) {
        this->next = assigned + std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / rate));
    }
    return std::chrono::duration_cast<milliseconds>(assigned - now);
}

} // namespace rml
