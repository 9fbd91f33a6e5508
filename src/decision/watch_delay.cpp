#include "decision/watch_delay.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Coalesces the changes of engines that start or join at the same time.
constexpr milliseconds min_delay{80};
/// A new group gets no requests from a daemon that does not know it yet; joins take a second or more, so this
/// delay is acceptable.
constexpr milliseconds max_delay{1000};
/// Two notices were lost and a third is late.
constexpr milliseconds min_patience{700};
/// A lease of the manager and the takeover by its successor.
constexpr milliseconds max_patience{1900};

} // namespace

milliseconds feed_patience(bool candidate, milliseconds max_staleness, milliseconds read_time)
{
    return candidate ? min_patience : std::clamp(max_staleness - read_time, min_patience, max_patience);
}

milliseconds coalescing_delay(milliseconds max_staleness, milliseconds hang_detection)
{
    return std::clamp(max_staleness - hang_detection, min_delay, max_delay);
}

} // namespace rml
