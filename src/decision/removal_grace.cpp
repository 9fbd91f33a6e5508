#include "decision/removal_grace.hpp"

namespace rml {

namespace {

/// Length of the shortest outage, in heartbeats, in which entries can expire: the registry drops an entry
/// three heartbeats after its last renewal, which may precede the outage by one heartbeat.
constexpr int heartbeats_of_outage = 2;
/// The platform guarantees that targets register again within 2 s after an outage; 0.5 s is the allowance for
/// the watch.
constexpr milliseconds reregistration_time{2500};
/// The registry drops an entry after three heartbeats; 0.5 s are the allowance for the watch.
constexpr int heartbeats_to_lapse = 3;
constexpr milliseconds watch_allowance{500};

} // namespace

removal_grace::removal_grace(milliseconds heartbeat)
    : shortest_outage(heartbeat * heartbeats_of_outage),
      lapse_time(heartbeat * heartbeats_to_lapse + watch_allowance)
{
}

void removal_grace::on_older_copy(time_point now)
{
    this->grace_until = now + reregistration_time;
    this->held_until = now + this->lapse_time;
}

std::optional<time_point> removal_grace::hold_until(time_point now) const
{
    return now < this->held_until ? std::optional(this->held_until) : std::nullopt;
}

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
