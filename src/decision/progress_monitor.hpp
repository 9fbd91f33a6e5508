/// Measures the silence of targets, for stall detection. A group with a failed member keeps its connections
/// open and sends nothing for seconds, so the silence of all its requests in flight is the first sign of the
/// failure.
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
    /// Bytes arrived from the target. `first`: they are the first ones of a request.
    void progress(const instance_id& target, bool first, time_point now);
    /// A request ended, with any result. `streaming`: it had received bytes.
    void end(const instance_id& target, bool streaming);

    /// Requests in flight at the target.
    std::uint32_t in_flight(const instance_id& target) const;
    /// Whether a request in flight at the target has received bytes.
    bool streaming(const instance_id& target) const;
    /// Time without bytes from the target while requests are in flight; zero when none is in flight.
    duration silence(const instance_id& target, time_point now) const;

    /// Whether bytes arrived within the time `within` before `now`. False when no request is in flight there.
    bool progressed(const instance_id& target, duration within, time_point now) const;

    /// Targets with requests in flight.
    std::vector<instance_id> busy() const;

    /// To be called at a regular interval. A late call shows that this process itself was paused, so the
    /// silence of all targets is measured from now on.
    void tick(time_point now);

private:
    struct state
    {
        std::uint32_t requests{0};
        std::uint32_t streaming{0}; ///< requests that have received bytes
        time_point silent_since{};  ///< last bytes, or start of the measured silence
        time_point last_bytes{};    ///< last arrival of bytes; unset before the first
    };
    std::unordered_map<instance_id, state> targets;
    pause_detector pauses;
};

} // namespace rml
