/// Decides how many requests a daemon that has just started may have at a target before it knows whether the
/// target states a limit on its requests.
///
/// A daemon that restarts alone may have used its part of a limit in its previous life, and the others go on
/// using theirs: it sends one request. When all daemons of a fleet restart at once, after a loss of power, no
/// daemon knows a limit and the targets are idle: with one request each, half of the answers are late and
/// requests are refused beside idle targets. The daemons then divide the slots of each target.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rml {

/// Another daemon, as known to one that has just started.
struct start_peer
{
    std::int64_t started_ms{0}; ///< start of its latest known life, Unix ms by its own clock
    bool heard{false};          ///< it has sent a report in that life
};

/// Whether the fleet starts at once with the daemon that started at `own_started_ms`. `waited`: time since
/// this daemon has read the store, where lives that have ended are still registered for some seconds.
bool fleet_starts(std::int64_t own_started_ms, const std::vector<start_peer>& others, duration waited);

/// Requests that this daemon may have at a target with that many slots before its first answer. `entries`:
/// daemons that callers connect to.
std::uint32_t start_allowance(bool whole_fleet_starts, std::uint32_t slots, std::size_t entries);

} // namespace rml
