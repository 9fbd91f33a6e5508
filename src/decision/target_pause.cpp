#include "decision/target_pause.hpp"

#include "base/decimal_text.hpp"
#include "base/limits.hpp"

#include <algorithm>
#include <charconv>

namespace rml {

namespace {

/// Part of a pause by which the first requests of the daemons are spread after its end.
constexpr double spread_share = 0.25;
constexpr milliseconds max_spread{1000};
/// A target that has begun to answer this many requests of one daemon at a time has recovered.
constexpr std::uint32_t recovered_requests = 16;
constexpr int milliseconds_per_second = 1000;
constexpr std::size_t fraction_digits = 3; // milliseconds; further digits have no effect

} // namespace

std::optional<milliseconds> parse_pause(std::string_view text)
{
    const auto parts = split_decimal(text);
    if (!parts) {
        return std::nullopt;
    }
    const auto& [whole, fraction] = *parts;
    std::int64_t seconds_part = 0;
    const auto code = std::from_chars(whole.data(), whole.data() + whole.size(), seconds_part).ec;
    if (code != std::errc() || seconds_part >= seconds(limits::max_target_pause).count()) {
        return limits::max_target_pause;
    }
    std::int64_t thousandths = 0;
    for (std::size_t digit = 0; digit < fraction_digits; ++digit) {
        thousandths = thousandths * 10 + (digit < fraction.size() ? fraction[digit] - '0' : 0);
    }
    return milliseconds(seconds_part * milliseconds_per_second + thousandths);
}

void target_pause::extend(milliseconds time, double spread, time_point now)
{
    if (time <= milliseconds(0)) {
        return;
    }
    const auto range = std::min<std::chrono::duration<double>>(time * spread_share, max_spread);
    const auto delay = std::chrono::duration_cast<duration>(range * std::clamp(spread, 0.0, 1.0));
    this->ends = std::max(this->ends, now + time + delay);
    this->limit = 1;
}

void target_pause::record_answer(time_point sent)
{
    if (!this->limit || sent < this->ends) {
        return;
    }
    *this->limit *= 2;
    if (*this->limit > recovered_requests) {
        this->limit.reset();
    }
}

} // namespace rml
