#include "decision/retry_after_schedule.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Share of the slots that become free which is planned for returning callers; the rest is for new callers.
constexpr double returning_share = 0.5;
/// An earlier retry would find the same state.
constexpr milliseconds min_retry_after{150};
/// While no target serves, a group can be formed from staged weights within about this time.
constexpr milliseconds outage_retry_after{1500};

} // namespace

milliseconds retry_after_schedule::assign(milliseconds wait, double slots_per_s, milliseconds latest,
                                          time_point now)
{
    const bool outage = slots_per_s <= 0;
    const auto earliest =
        now + std::max(min_retry_after, outage ? outage_retry_after : std::min(wait, latest));
    const auto assigned = std::max(this->next_unassigned, earliest);
    if (assigned - now >= latest) {
        // Callers do not wait longer than `latest`, so the schedule does not grow beyond it.
        return std::max(min_retry_after, latest);
    }
    const auto rate = outage ? 0.0 : slots_per_s * returning_share;
    if (rate > 0) {
        this->next_unassigned =
            assigned + std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / rate));
    }
    return std::chrono::duration_cast<milliseconds>(assigned - now);
}

} // namespace rml
