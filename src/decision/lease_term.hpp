/// Until when a lease that another process keeps may be acted on.
#pragma once

#include "base/time.hpp"

namespace rml {

struct lease_term
{
    time_point until{};   ///< counts from before the call that granted or renewed it
    duration suspended{}; ///< time that this machine had been suspended at that moment

    /// Whether the lease still holds at `now`. `suspended_now`: time that the machine has been suspended by
    /// then, which the steady clock does not count.
    bool holds(time_point now, duration suspended_now) const
    {
        return now + (suspended_now - this->suspended) < this->until;
    }
};

} // namespace rml
