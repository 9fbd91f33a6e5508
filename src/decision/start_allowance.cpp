#include "decision/start_allowance.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Daemons whose starts are closer than this have started together. A daemon knows all limits when it has run
/// for 3 s; the rest allows for clocks that differ.
constexpr milliseconds same_start_window{3500};
/// A daemon that has run for longer reports within this time to one that it finds in the store: the manager
/// passes new entries on after 80 ms, and reports come each 100 to 550 ms.
constexpr milliseconds max_report_delay{700};

} // namespace

bool fleet_starts(std::int64_t own_started_ms, const std::vector<start_peer>& others, duration waited)
{
    std::size_t starting = 0;
    std::size_t silent = 0;
    for (const auto& other : others) {
        const bool earlier = other.started_ms < own_started_ms - same_start_window.count();
        if (earlier && other.heard) {
            return false;
        }
        ++(earlier ? silent : starting);
    }
    return starting > silent || (starting > 0 && waited >= max_report_delay);
}

std::uint32_t start_allowance(bool whole_fleet_starts, std::uint32_t slots, std::size_t entries)
{
    if (!whole_fleet_starts) {
        return 1;
    }
    const auto part = slots / std::max<std::size_t>(1, entries);
    return std::max(1U, static_cast<std::uint32_t>(part));
}

} // namespace rml
