/// The gateway daemon: request path, peers, store and group management on one thread.
#pragma once

#include "gateway/ports.hpp"
#include "gateway/settings.hpp"
#include "target/connection_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace rml::gateway {

/// Creates the platform adapter of the process.
using port_factory =
    std::function<platform_ports(target::connection_pool& connections, const endpoint& store)>;

/// Serves until SIGTERM or SIGINT and then finishes the requests in progress. Fails with `unavailable` when
/// an address cannot be bound. SIGHUP reloads the settings through `reload`.
status run_gateway(const gateway_settings& configured, const port_factory& create_ports,
                   const std::function<result<gateway_settings>()>& reload);

} // namespace rml::gateway
