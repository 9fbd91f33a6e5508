/// Limits on the requests that all daemons together send to one target: what it tolerates while it is cold,
/// and what it states in its answers. Each daemon's load is small, but the sum of all would overload the
/// target.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace rml {

/// Facts about the fleet that the division of a target's limit needs.
struct fleet_share
{
    std::size_t daemons{1}; ///< daemons that share the limit, this one included
    std::size_t rank{0};    ///< rank of this daemon among them, from 0; differs per target
    bool settled{true};     ///< false while the list of daemons may be incomplete
    bool takes_part{true};  ///< false for a daemon that has no part of the limit
};

/// Requests that one daemon may send within any span of `window`.
struct request_allowance
{
    std::uint32_t requests{0};
    duration window{0};
};

/// This daemon's part of a limit on the requests per second of all daemons. In any span of the window, the
/// sum over all daemons with the same list is at most the limit. A limit of less than one request in the
/// window lengthens the window. A daemon whose list is not settled may send one request in it.
/// `requests_per_s` is above 0.
request_allowance divide_rate(double requests_per_s, duration window, const fleet_share& fleet);

/// The requests that this daemon has sent to one target and that count against limits.
class request_window
{
public:
    /// Counts a request and returns true if all allowances permit it; otherwise returns false. It counts
    /// also without allowances: the target may state a limit before it answers.
    bool take(const std::vector<request_allowance>& allowances, time_point now);
    /// Removes a request that `take` counted at `counted_at`, if it is still in the window.
    void give_back(time_point counted_at);
    /// Number of requests that `take` would still permit now.
    std::uint32_t available(const std::vector<request_allowance>& allowances, time_point now) const;

private:
    std::uint32_t sent_since(time_point time) const;

    std::deque<time_point> sent;
};

/// Parses requests per second: digits with an optional fraction. Nothing for any other text. The result is
/// within `limits::min_stated_rate` and `limits::max_stated_rate`.
std::optional<double> parse_request_rate(std::string_view text);

/// What one life of a target says about its limit, from answers to this and to other daemons.
class stated_rate
{
public:
    /// An answer that was received at `heard` names the rate, or names none. Answers received before the
    /// latest known one change nothing.
    void record(std::optional<double> requests_per_s, time_point heard);
    /// The limit in force, or nothing. It grows by half after each `limits::stated_rate_patience` in which no
    /// daemon has received an answer: requests that nobody sends could not show that it has ended.
    std::optional<double> in_force(time_point now) const;
    /// Latest statement of the target; no rate if it ended its limit or never named one.
    const std::optional<double>& latest() const { return this->rate; }
    time_point heard_at() const { return this->heard; }

private:
    std::optional<double> rate;
    time_point heard{};
};

} // namespace rml
