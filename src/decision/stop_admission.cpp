#include "decision/stop_admission.hpp"

#include <algorithm>

namespace rml {

namespace {

/// A target may pause for a second or so, and the load of a stopping process moves to the others.
constexpr milliseconds slowdown_reserve{1500};

} // namespace

void recent_maximum::record(duration value, time_point now)
{
    if (now >= this->began + this->period) {
        this->previous = now < this->began + 2 * this->period ? this->current : std::nullopt;
        this->current.reset();
        this->began = now;
    }
    this->current = std::max(this->current.value_or(value), value);
}

std::optional<duration> recent_maximum::value(time_point now) const
{
    if (now >= this->began + 2 * this->period) {
        return std::nullopt;
    }
    return this->current && this->previous ? std::max(*this->current, *this->previous) : this->current;
}

bool ends_before_stop(const late_request& request)
{
    const bool may_run_until_deadline = request.once || !request.longest;
    const auto needed = may_run_until_deadline
                            ? request.until_deadline
                            : std::min<duration>(request.until_deadline, *request.longest + slowdown_reserve);
    return needed <= request.until_stop;
}

} // namespace rml
