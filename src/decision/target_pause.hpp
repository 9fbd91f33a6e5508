/// The pause that a target asked for with `Retry-After`, and the gradual return of requests after it. All
/// daemons that the target refused would otherwise send their waiting requests at the same moment and
/// overload it again.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace rml {

/// Parses seconds with an optional fraction. Nothing for any other text, a date included: the daemon's time
/// of day may differ from the target's. Values above `limits::max_target_pause` are reduced to it.
std::optional<milliseconds> parse_pause(std::string_view text);

class target_pause
{
public:
    /// The target asked at `now` for no new request for `time`. A shorter pause does not end a longer one.
    /// `spread`, from 0 to 1 and different at each daemon, delays this daemon's first request.
    void extend(milliseconds time, double spread, time_point now);

    /// End of the pause for this daemon; in the past if there is none.
    time_point until() const { return this->ends; }

    /// Requests that this daemon may have in flight at the target; nothing: no limit.
    std::optional<std::uint32_t> in_flight_limit() const { return this->limit; }

    /// The target began to answer a request that was sent at `sent`.
    void record_answer(time_point sent);

private:
    time_point ends{};
    std::optional<std::uint32_t> limit;
};

} // namespace rml
