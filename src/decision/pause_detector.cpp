#include "decision/pause_detector.hpp"

namespace rml {

namespace {

/// A longer gap between two ticks shows that this process was paused or got no CPU time. Ticks are due every
/// 50 ms.
constexpr milliseconds longest_tick_gap{200};

} // namespace

bool pause_detector::tick(time_point now)
{
    const bool late = this->last_tick != time_point{} && now - this->last_tick > longest_tick_gap;
    this->last_pause = late ? now : this->last_pause;
    this->last_tick = now;
    return late;
}

bool pause_detector::paused_since(time_point since, time_point now) const
{
    const bool tick_is_due = this->last_tick != time_point{} && now - this->last_tick > longest_tick_gap;
    return tick_is_due || (this->last_pause != time_point{} && this->last_pause >= since);
}

} // namespace rml
