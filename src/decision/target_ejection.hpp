/// Decides for how long a target is ejected after a request that it did not run, and whether the other
/// daemons are notified. After the loss or the return of a zone, registry entries of targets that no longer
/// exist remain for seconds. Without notification each daemon of a large fleet would detect that by itself,
/// request by request.
#pragma once

#include "base/time.hpp"

namespace rml {

enum class target_fault
{
    refused,     ///< full, or closing, which the registry does not show yet
    unreachable, ///< accepted no connection within the timeout
    replaced,    ///< another target uses its address, or it is no longer a member of a group
};

struct target_ejection
{
    duration time{};    ///< time from the fault until the ejection ends; a new registry entry ends it earlier
    bool shared{false}; ///< notify the other daemons
};

/// `heartbeat`: interval at which targets renew their registry entries.
target_ejection ejection_after(target_fault fault, milliseconds heartbeat);

} // namespace rml
