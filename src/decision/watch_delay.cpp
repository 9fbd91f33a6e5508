#include "decision/watch_delay.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Coalesces the changes of engines that start or join at the same time.
constexpr milliseconds min_delay{80};
/// A new group gets no requests from a daemon that does not know it yet; joins take a second or more, so this
/// delay is acceptable.
constexpr milliseconds max_delay{1000};

} // namespace

milliseconds coalescing_delay(milliseconds max_staleness, milliseconds hang_detection)
{
    return std::clamp(max_staleness - hang_detection, min_delay, max_delay);
}

} // namespace rml
