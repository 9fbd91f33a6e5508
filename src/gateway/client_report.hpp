/// Metrics and log lines about clients that were turned away.
#pragma once

#include "base/metrics.hpp"
#include "decision/client_limits.hpp"

namespace rml::gateway {

class client_report
{
public:
    client_report(const client_limits& clients, metric_registry& metrics);

    /// Updates the metrics, and logs at most once a second what was turned away since the last line.
    void tick(time_point now);

private:
    const client_limits& clients;
    gauge& held;
    std::array<gauge*, client_addresses> connections{};
    std::array<counter*, turn_away_reasons> turned_away{};
    std::array<counter*, turn_away_reasons> released{};
    turned_away_counts counted;
    turned_away_counts logged;
    time_point next_line{};
};

} // namespace rml::gateway
