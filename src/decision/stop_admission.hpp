/// Decides which requests a process that is about to stop still takes. A request that is taken and cannot end
/// before the process does is cut, although another process could have answered it.
#pragma once

#include "base/time.hpp"

#include <optional>

namespace rml {

/// Longest duration that was recorded within the last one to two periods.
class recent_maximum
{
public:
    explicit recent_maximum(duration period) : period(period) {}

    void record(duration value, time_point now);
    /// Nothing when none was recorded in that time.
    std::optional<duration> value(time_point now) const;

private:
    duration period;
    time_point began{}; ///< of the current period
    std::optional<duration> current;
    std::optional<duration> previous;
};

/// A request that arrives at a stopping process.
struct late_request
{
    duration until_stop{};           ///< time until the process ends its requests
    duration until_deadline{};       ///< time until its caller gives up
    std::optional<duration> longest; ///< time that it is expected to take at most; nothing: unknown
    bool once{false};                ///< must not run twice, so that its caller cannot repeat it after a cut
};

/// Whether the request can be expected to end before the process stops.
bool ends_before_stop(const late_request& request);

} // namespace rml
