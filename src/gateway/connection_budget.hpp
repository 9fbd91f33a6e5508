/// Keeps the connections to targets within the descriptors of the machine, and shows them in metrics and log
/// lines.
#pragma once

#include "base/metrics.hpp"
#include "decision/client_limits.hpp"
#include "decision/descriptor_budget.hpp"
#include "target/connection_pool.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace rml::gateway {

class connection_budget
{
public:
    /// `descriptors`: that the process may have open; absent: only idle connections are limited.
    connection_budget(const client_limits& clients, target::connection_pool& connections,
                      std::optional<std::uint64_t> descriptors, metric_registry& metrics);

    /// Closes idle connections that have ended, and limits the others by what the clients leave free. To be
    /// called every 50 ms.
    void tick(time_point now);

private:
    std::size_t client_connections() const;
    void report(const target::pool_stats& counts);
    void log_shortage(const target::pool_stats& counts, time_point now);

    const client_limits& clients;
    target::connection_pool& connections;
    std::optional<descriptor_budget> budget;
    gauge& idle;
    gauge& in_use;
    counter& opened;
    counter& reused;
    counter& refused;
    std::array<counter*, target::discard_reasons> discarded{};
    target::pool_stats reported;
    std::uint64_t refused_in_log{0};
    bool shortage{false}; ///< few descriptors are left
    time_point next_check{};
    time_point next_line{};
};

} // namespace rml::gateway
