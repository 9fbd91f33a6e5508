#include "decision/spread_delay.hpp"

#include "base/hash.hpp"

#include <cmath>

namespace rml {

namespace {

/// Bits of a hash that a double represents exactly.
constexpr int fraction_bits = 53;
constexpr int hash_bits = 64;
constexpr double ms_per_s = 1000;

} // namespace

milliseconds spread_delay(std::string_view daemon, std::size_t daemons, double calls_each, double calls_per_s)
{
    if (calls_per_s <= 0) {
        return milliseconds(0);
    }
    const auto window_ms = static_cast<double>(daemons) * calls_each / calls_per_s * ms_per_s;
    const auto position =
        std::ldexp(static_cast<double>(hash64(daemon) >> (hash_bits - fraction_bits)), -fraction_bits);
    return milliseconds(static_cast<std::int64_t>(window_ms * position));
}

} // namespace rml
