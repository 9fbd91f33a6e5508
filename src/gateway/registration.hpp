/// This daemon's lease in the platform's store: its own entry, and the right to manage groups, which one
/// daemon holds at a time. Both end with the lease when the daemon dies.
#pragma once

#include "gateway/management_right.hpp"
#include "gateway/ports.hpp"
#include "gateway/settings.hpp"
#include "gateway/store_mirror.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <string>

namespace rml::gateway {

class registration final : public management_right
{
public:
    registration(boost::asio::io_context& context, const platform_ports& ports, store_mirror& mirror,
                 fleet_state& fleet, const gateway_settings& configured, std::int64_t started_ms);

    void start();
    /// Ends the lease, so that the others need not wait for it to lapse.
    void leave(yield_context yield);
    /// The mirror has seen changes.
    void notify();

    bool manages(time_point now) const override;
    std::uint64_t management_revision() const override { return this->managed_since; }

private:
    void run(yield_context yield);
    bool ensure_lease(yield_context yield);
    bool renew(yield_context yield);
    void try_to_manage(yield_context yield);
    milliseconds candidate_delay() const;
    void drop_lease();

    boost::asio::io_context& context;
    const platform_ports& ports;
    store_mirror& mirror;
    fleet_state& fleet;
    const gateway_settings& configured;
    std::int64_t started_ms;
    std::string identity; ///< daemon and its life
    boost::asio::steady_timer timer;
    std::uint64_t lease{0};
    milliseconds lifetime{0};
    time_point lease_until{};
    bool entry_written{false};
    std::uint64_t managed_since{0}; ///< 0: does not manage
    std::optional<time_point> vacant_since;
    bool leaving{false};
};

} // namespace rml::gateway
