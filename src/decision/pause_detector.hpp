/// Detects that this process itself was paused or got no CPU time. A small machine can be busy for some
/// hundred milliseconds, for example with a large configuration; a peer whose answer is missing after that
/// may have answered in time.
#pragma once

#include "base/time.hpp"

namespace rml {

class pause_detector
{
public:
    /// To be called at a regular interval. Returns whether the call is late, that is, the process was paused.
    bool tick(time_point now);
    /// Whether the process was paused at any time after `since`, as far as known at `now`.
    bool paused_since(time_point since, time_point now) const;

private:
    time_point last_tick{};
    time_point last_pause{};
};

} // namespace rml
