/// When refused callers are asked to come back. Answers the load of a burst or a lost group: callers that are
/// all told the same short time return as one crowd and are refused again, which leaves most of them without
/// an answer. Each refused caller gets a time of its own, at the rate at which places become free.
#pragma once

#include "base/time.hpp"

namespace rml {

class retry_after_schedule
{
public:
    /// Time after which the caller is to come back: not before `wait`, the expected wait for a place, and not
    /// after `latest`, beyond which it would not be answered in time. `places_per_s` is the rate at which
    /// requests end; 0 when nothing serves.
    milliseconds assign(milliseconds wait, double slots_per_s, milliseconds latest, time_point now);

private:
    time_point next_unassigned{}; ///< the first time that nobody has been given
};

} // namespace rml
