#include "decision/removal_grace.hpp"

namespace rml {

namespace {

/// Heartbeats that an outage must last before entries can lapse: the registry drops an entry three heartbeats
/// after its last renewal, which may be one heartbeat older than the outage.
constexpr int heartbeats_of_outage = 2;
/// Targets register again within 2 s after an outage, by the platform's statement; 0.5 s is for the watch.
constexpr milliseconds reregistration_time{2500};

} // namespace

removal_grace::removal_grace(milliseconds heartbeat) : shortest_outage(heartbeat * heartbeats_of_outage) {}

void removal_grace::on_answer(duration silent, time_point now)
{
    if (silent >= this->shortest_outage) {
        this->grace_until = now + reregistration_time;
    }
}

std::optional<time_point> removal_grace::keep_until(time_point now) const
{
    return now < this->grace_until ? std::optional(this->grace_until) : std::nullopt;
}

} // namespace rml
