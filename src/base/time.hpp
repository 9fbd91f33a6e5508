/// Clock and duration types of all signatures.
#pragma once

#include <chrono>

namespace rml {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Monotonic clock. Leases, deadlines and grants are never measured on the wall clock.
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;

} // namespace rml
