/// The daemon process: worker threads, the listener for callers and graceful shutdown.
#pragma once

#include "base/failure.hpp"
#include "objects/settings.hpp"

namespace rml::entryd {

/// Runs until SIGTERM or SIGINT. The first signal starts a graceful shutdown: the daemon continues to serve
/// for the address lifetime plus limits::drain_margin, then until no request is in flight, at most
/// limits::max_request_time longer. A second signal ends it at once. Fails with `unavailable` when an address
/// cannot be bound.
status run_daemon(const settings& configured);

} // namespace rml::entryd
