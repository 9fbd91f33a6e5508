/// Clock and duration types used in all interfaces.
#pragma once

#include <chrono>

namespace rml {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Monotonic clock. Leases, deadlines and grants never use the wall clock, which can be adjusted.
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;

} // namespace rml
