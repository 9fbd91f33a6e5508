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

/// Time without change notices after which a daemon watches the store itself. Only the daemons that may
/// become the next manager need to see at once that there is none; the others would all call the store at
/// each change of the manager. `read_time`: time in which the daemon then reads what it missed.
milliseconds feed_patience(bool candidate, milliseconds max_staleness, milliseconds read_time);

} // namespace rml
