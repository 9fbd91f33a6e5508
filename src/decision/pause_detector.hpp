/// Notices that this process itself stood still or was starved. Answers the load of a small machine that is
/// busy for some hundred milliseconds, for example with a large configuration: what did not answer it
/// meanwhile may have answered in time.
#pragma once

#include "base/time.hpp"

namespace rml {

class pause_detector
{
public:
    /// Call it at a regular interval. Returns whether it is called late, so that the process stood still.
    bool tick(time_point now);
    /// Whether the process stood still at any time after `since`, as far as known at `now`.
    bool paused_since(time_point since, time_point now) const;

private:
    time_point last_tick{};
    time_point last_pause{};
};

} // namespace rml
