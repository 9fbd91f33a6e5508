/// Delay between two watch calls to a store whose content changes all the time. Without a delay, each change
/// costs each daemon of a large fleet a call.
#pragma once

#include "base/time.hpp"

namespace rml {

/// `max_staleness`: time within which a change must be known. `hang_detection`: time until a watch call
/// without an answer is detected and everything has been read again. A change that follows an answer
/// immediately is known in time even if the next watch hangs, unless the bound is too short for the minimum
/// delay.
milliseconds coalescing_delay(milliseconds max_staleness, milliseconds hang_detection);

} // namespace rml
