/// For how long a target is avoided after a request that it did not run, and whether the other daemons are
/// told. Answers the load of a large fleet after a zone was lost or has returned: entries of targets that are
/// gone stay in the registry for seconds, and each daemon would find out by itself, one request after the
/// other.
#pragma once

#include "base/time.hpp"

namespace rml {

enum class target_fault
{
    refused,     ///< full, or closing for a reason that the registry is about to show
    unreachable, ///< took no connection in time
    replaced,    ///< another target is at its address, or it serves in no group any more
};

struct target_ejection
{
    duration time{}; ///< from the fault on; a new entry of the target ends it
    bool shared{false};
};

/// `heartbeat`: interval in which targets renew their entries.
target_ejection ejection_after(target_fault fault, milliseconds heartbeat);

} // namespace rml
