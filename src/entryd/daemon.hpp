/// The process: worker threads, the callers' listener and graceful shutdown.
#pragma once

#include "base/failure.hpp"
#include "objects/settings.hpp"

namespace rml::entryd {

/// Runs until SIGTERM or SIGINT. After the first signal the daemon leaves: it keeps serving for the address
/// lifetime plus limits::drain_margin and until no request is in flight, at most limits::max_request_time
/// longer. A second signal ends it at once. Fails with `unavailable` when an address cannot be bound.
status run_daemon(const settings& configured);

} // namespace rml::entryd
