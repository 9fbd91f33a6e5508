/// Finds targets that stand still. A group with a dark member keeps its connections open and answers nothing
/// for seconds, so the silence of everything in flight there is the first sign of the loss.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "decision/pause_detector.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace rml {

class progress_monitor
{
public:
    /// A request was sent to the target.
    void begin(const instance_id& target, time_point now);
    /// Any bytes arrived from the target. `first`: the first ones of their request.
    void progress(const instance_id& target, bool first, time_point now);
    /// A request ended, however it did. `answering`: it has had bytes.
    void end(const instance_id& target, bool streaming);

    /// Requests in flight at the target.
    std::uint32_t in_flight(const instance_id& target) const;
    /// Whether one of them has had bytes.
    bool streaming(const instance_id& target) const;
    /// Time since the last sign of life while requests are in flight; zero when none is.
    duration silence(const instance_id& target, time_point now) const;

    /// Whether bytes arrived from the target within that time. False when no request is in flight there.
    bool progressed(const instance_id& target, duration within, time_point now) const;

    /// Targets with requests in flight.
    std::vector<instance_id> busy() const;

    /// Call it at a regular interval. When it is called late, this process itself stood still: the silence of
    /// all targets starts anew.
    void tick(time_point now);

private:
    struct state
    {
        std::uint32_t requests{0};
        std::uint32_t streaming{0}; ///< requests that have had bytes
        time_point silent_since{};  ///< sign of life, or start of the silence that is measured
        time_point last_bytes{};    ///< bytes arrived
    };
    std::unordered_map<instance_id, state> targets;
    pause_detector pauses;
};

} // namespace rml
