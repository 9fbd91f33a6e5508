#include "decision/watch_pace.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Gathers the changes of engines that start or join together.
constexpr milliseconds shortest_pause{80};
/// A group that is opened gets no requests from a daemon that does not know it; joins take a second or more.
constexpr milliseconds longest_pause{1000};

} // namespace

milliseconds gathering_pause(milliseconds known_within, milliseconds hang_detection)
{
    return std::clamp(known_within - hang_detection, shortest_pause, longest_pause);
}

} // namespace rml
