/// Time that this machine was suspended.
#pragma once

#include "base/time.hpp"

namespace rml {

/// Total since the boot. The steady clock stands still while the machine is suspended, but leases that others
/// keep for this process run on.
duration suspended_time();

} // namespace rml
