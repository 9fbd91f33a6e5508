/// Settings of the gateway daemon: JSON with comments. Unknown, repeated and missing keys are errors.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "objects/settings.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace rml::gateway {

struct listen_addresses
{
    endpoint caller;    ///< requests
    endpoint readiness; ///< polled by the platform once a second
    endpoint entries;   ///< serves entry addresses to callers
    endpoint metrics;
    endpoint peer; ///< UDP, between daemons
};

struct store_settings
{
    endpoint address;
    double writes_per_s{0}; ///< of all daemons together
    double reads_per_s{0};
    milliseconds shortest_lease{1000};
};

/// Service levels that the operators guarantee to their users.
struct service_bounds
{
    milliseconds drain{2000};         ///< from the notice that a target drains to the last request sent to it
    milliseconds stop_grace{8000};    ///< from SIGTERM to SIGKILL
    milliseconds config_apply{2000};  ///< from the acknowledgement of a configuration to its use
    milliseconds stall{5000};         ///< longest stall of a group that lost a member
    double retry_share{0.2};          ///< retries per request
    milliseconds retry_window{10000}; ///< window in which the share is counted
    double retry_slack{0};            ///< retries allowed beyond the share in a window, over all daemons
    milliseconds entry_lifetime{5000}; ///< longest time for which callers may cache entry addresses
};

struct gateway_settings
{
    daemon_id daemon;
    region_id region;
    failure_domain_id failure_domain;
    listen_addresses listen;
    store_settings store;
    milliseconds registry_heartbeat{1200};  ///< interval in which targets renew their entries
    double cpu_share{1};                    ///< of a core
    std::optional<std::uint64_t> memory_mb; ///< of the machine; without it, clients are not limited by memory
    std::optional<std::uint64_t> max_fds;   ///< descriptors that the process may have open
    service_bounds bounds;
    log_settings log; ///< without a file: standard output
};

/// Fails with `invalid_settings`; the context names the key, what was found and what is allowed.
result<gateway_settings> parse_gateway_settings(const std::string& text);

} // namespace rml::gateway
