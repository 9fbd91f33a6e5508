#include "decision/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace rml {

namespace {

/// The limit of a cold target is stated per second.
constexpr seconds window{1};

} // namespace

std::uint32_t slow_start_share(double requests_per_s, const fleet_share& fleet)
{
    if (!fleet.settled) {
        return 1;
    }
    const auto total = static_cast<std::size_t>(std::max(0.0, std::floor(requests_per_s)));
    const auto daemons = std::max<std::size_t>(1, fleet.daemons);
    // The remainder goes to the daemons of the lowest ranks, so that a large fleet still uses the target.
    const auto extra = fleet.rank < total % daemons ? 1U : 0U;
    return static_cast<std::uint32_t>(total / daemons) + extra;
}

bool slow_start_window::take(std::uint32_t limit, time_point now)
{
    while (!this->sent.empty() && this->sent.front() + window <= now) {
        this->sent.pop_front();
    }
    if (this->sent.size() >= limit) {
        return false;
    }
    this->sent.push_back(now);
    return true;
}

std::uint32_t slow_start_window::available(std::uint32_t limit, time_point now) const
{
    const auto recent = static_cast<std::uint32_t>(std::count_if(
        this->sent.begin(), this->sent.end(), [&](time_point at) { return at + window > now; }));
    return limit > recent ? limit - recent : 0;
}

} // namespace rml
