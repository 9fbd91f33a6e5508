/// Pause between two watches of a store whose content changes all the time. Answers the load of a large
/// fleet: without a pause each change costs each daemon a call.
#pragma once

#include "base/time.hpp"

namespace rml {

/// `known_within`: time in which a change must be known. `hang_detection`: time in which a watch that gets no
/// answer is noticed and everything is read anew. A change that comes just after an answer is known in time
/// even if the next watch hangs, unless there is no room for any pause.
milliseconds coalescing_delay(milliseconds max_staleness, milliseconds hang_detection);

} // namespace rml
