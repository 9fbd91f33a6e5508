#include "decision/removal_doubt.hpp"

namespace rml {

namespace {

/// Heartbeats that an outage must last before entries can lapse: the registry drops an entry three heartbeats
/// after its last renewal, which may be one heartbeat older than the outage.
constexpr int intervals_to_lapse = 2;
/// Targets register again within 2 s after an outage, by the platform's statement; 0.5 s is for the watch.
constexpr milliseconds return_grace{2500};

} // namespace

removal_doubt::removal_doubt(milliseconds heartbeat) : shortest_lapse(heartbeat * intervals_to_lapse) {}

void removal_doubt::on_answer(duration silent, time_point now)
{
    if (silent >= this->shortest_lapse) {
        this->doubtful_until = now + return_grace;
    }
}

std::optional<time_point> removal_doubt::keep_until(time_point now) const
{
    return now < this->doubtful_until ? std::optional(this->doubtful_until) : std::nullopt;
}

} // namespace rml
