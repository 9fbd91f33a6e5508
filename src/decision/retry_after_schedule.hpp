/// Assigns the times after which refused callers are asked to retry. If all callers refused in a burst or
/// after the loss of a group got the same short time, they would retry at the same moment and most would be
/// refused again. Each refused caller gets a time of its own, at the rate at which slots become free.
#pragma once

#include "base/time.hpp"

namespace rml {

class retry_after_schedule
{
public:
    /// Time after which the caller should retry: at least `wait`, the expected queue wait, and at most
    /// `latest`, beyond which the answer would be late. `slots_per_s`: rate at which requests end; 0 when no
    /// target serves.
    milliseconds assign(milliseconds wait, double slots_per_s, milliseconds latest, time_point now);

private:
    time_point next_unassigned{}; ///< the first time that no caller has been assigned
};

} // namespace rml
