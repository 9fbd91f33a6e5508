/// Spreads calls that all daemons would make at the same moment. Load that it answers: a store that takes
/// some hundred calls a second returns from an older copy, and 390 daemons register again or read it anew.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <string_view>

namespace rml {

/// Delay of this daemon before its first call, evenly distributed over the daemons and always the same for
/// one of them. `calls_each` calls by each of `daemons` then stay within `calls_per_s` on average; no delay
/// if that is 0.
milliseconds spread_delay(std::string_view daemon, std::size_t daemons, double calls_each,
                          double calls_per_s);

} // namespace rml
