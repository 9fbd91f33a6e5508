#include "decision/request_rate.hpp"

#include "base/decimal_text.hpp"
#include "base/limits.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace rml {

namespace {

/// Growth of a limit that no answer confirms.
constexpr double unconfirmed_growth = 1.5;

} // namespace

request_allowance divide_rate(double requests_per_s, duration window, const fleet_share& fleet)
{
    const auto per_request =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / requests_per_s));
    request_allowance out{1, std::max(window, per_request)};
    if (!fleet.settled) {
        return out;
    }
    if (!fleet.takes_part) {
        out.requests = 0;
        return out;
    }
    const auto in_window = requests_per_s * std::chrono::duration<double>(out.window).count();
    const auto total = static_cast<std::size_t>(std::max(1.0, std::floor(in_window)));
    const auto daemons = std::max<std::size_t>(1, fleet.daemons);
    // The remainder goes to the daemons of the lowest ranks, so that a large fleet still uses the target.
    const auto extra = fleet.rank < total % daemons ? 1U : 0U;
    out.requests = static_cast<std::uint32_t>(total / daemons) + extra;
    return out;
}

std::uint32_t request_window::sent_since(time_point time) const
{
    return static_cast<std::uint32_t>(
        std::count_if(this->sent.begin(), this->sent.end(), [&](time_point at) { return at > time; }));
}

std::uint32_t request_window::available(const std::vector<request_allowance>& allowances,
                                        time_point now) const
{
    auto out = std::numeric_limits<std::uint32_t>::max();
    for (const auto& [requests, window] : allowances) {
        const auto recent = this->sent_since(now - window);
        out = std::min(out, requests > recent ? requests - recent : 0);
    }
    return out;
}

bool request_window::take(const std::vector<request_allowance>& allowances, time_point now)
{
    duration longest{limits::stated_rate_window}; // a limit may be stated later
    for (const auto& allowance : allowances) {
        longest = std::max(longest, allowance.window);
    }
    while (!this->sent.empty() && this->sent.front() + longest <= now) {
        this->sent.pop_front();
    }
    if (this->available(allowances, now) == 0) {
        return false;
    }
    this->sent.push_back(now);
    return true;
}

void request_window::give_back(time_point counted_at)
{
    const auto found = std::lower_bound(this->sent.begin(), this->sent.end(), counted_at);
    if (found != this->sent.end() && *found == counted_at) {
        this->sent.erase(found);
    }
}

std::optional<double> parse_request_rate(std::string_view text)
{
    const auto parts = split_decimal(text);
    if (!parts) {
        return std::nullopt;
    }
    double out = 0;
    const auto code =
        std::from_chars(text.data(), text.data() + text.size(), out, std::chars_format::fixed).ec;
    if (code == std::errc::result_out_of_range) { // also for a value too close to 0
        const bool small = parts->whole.find_first_not_of('0') == std::string_view::npos;
        out = small ? limits::min_stated_rate : limits::max_stated_rate;
    }
    return std::clamp(out, limits::min_stated_rate, limits::max_stated_rate);
}

void stated_rate::record(std::optional<double> requests_per_s, time_point heard_at)
{
    if (heard_at >= this->heard) {
        this->heard = heard_at;
        this->rate = requests_per_s;
    }
}

std::optional<double> stated_rate::in_force(time_point now) const
{
    if (!this->rate || now <= this->heard) {
        return this->rate;
    }
    const auto unconfirmed = (now - this->heard) / limits::stated_rate_patience;
    return std::min(*this->rate * std::pow(unconfirmed_growth, static_cast<double>(unconfirmed)),
                    limits::max_stated_rate);
}

} // namespace rml
