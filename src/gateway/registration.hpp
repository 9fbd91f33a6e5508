/// This daemon's leases in the platform's store: a long one for its registry entry, and a short one, the
/// manager lease, which at most one daemon holds at a time. Both expire when the daemon fails.
#pragma once

#include "base/suspension.hpp"
#include "decision/lease_term.hpp"
#include "gateway/manager_lease.hpp"
#include "gateway/ports.hpp"
#include "gateway/settings.hpp"
#include "gateway/store_mirror.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace rml::gateway {

class registration final : public manager_lease
{
public:
    registration(boost::asio::io_context& context, const platform_ports& ports, store_mirror& mirror,
                 fleet_state& fleet, const gateway_settings& configured, std::int64_t started_ms,
                 std::function<duration()> suspended = suspended_time);

    void start();
    /// Ends both leases, so that other daemons need not wait for their expiry.
    void leave(yield_context yield);
    /// Call after the mirror has applied changes of the store.
    void notify();
    /// The store answers again. Renews the entry at once: until the other daemons see it, a daemon among them
    /// that has started meanwhile does not know this one.
    void on_store_return();

    /// An answer of the store shows a newer era: the store returned from an older copy, which may lack the
    /// leases of this daemon and of the manager. Gives up both leases at once. Registers anew in its turn,
    /// and waits before it may become the manager until the previous one can no longer act.
    void on_new_era();

    /// Whether this daemon is among the first that try to become the manager.
    bool is_first_candidate() const { return this->candidate_rank() < first_candidates; }

    bool manages(time_point now) const override;
    std::uint64_t manager_revision() const override { return this->acquired_revision; }
    std::uint64_t mirrored_revision() const override { return this->mirror.revision(); }

private:
    struct held_lease
    {
        std::uint64_t id{0}; ///< 0: none
        milliseconds lifetime{0};
        lease_term term;
    };

    void maintain_entry(yield_context yield);
    bool register_daemon(yield_context yield);
    bool write_entry(yield_context yield);
    void maintain_manager_lease(yield_context yield);
    bool acquire_manager_lease(yield_context yield);
    void clear_manager_lease();
    result<held_lease> create_lease(milliseconds lifetime, yield_context yield);
    /// Clears the lease when the store answers that it has ended.
    bool renew(held_lease& lease, yield_context yield);
    void end(held_lease& lease, yield_context yield);
    /// Value of the manager key while this daemon holds it under that lease.
    std::string manager_key_value(std::uint64_t lease) const;
    /// Whether the manager key was written by this daemon under a lease that it does not hold. A write that
    /// was on its way while the store returned from an older copy may have used a lease that belongs to
    /// another daemon since, so the key would not end.
    bool has_orphaned_key(time_point now) const;
    void remove_orphaned_key(yield_context yield);
    static constexpr std::size_t first_candidates = 4;
    std::size_t candidate_rank() const;
    milliseconds candidate_delay() const;
    milliseconds manager_lifetime() const;

    boost::asio::io_context& context;
    const platform_ports& ports;
    store_mirror& mirror;
    fleet_state& fleet;
    const gateway_settings& configured;
    std::int64_t started_ms;
    const std::function<duration()> suspended;
    boost::asio::steady_timer entry_timer;
    boost::asio::steady_timer manager_timer;
    held_lease entry_lease;
    bool entry_written{false};
    bool store_was_read{false};
    bool store_returned{false}; ///< since the last attempt to renew the entry began
    held_lease manager_key_lease;
    std::uint64_t acquired_revision{0}; ///< 0: this daemon is not the manager
    std::optional<time_point> vacant_since;
    time_point era_seen{};      ///< first answer of the present era, unless it is the store's first
    time_point register_from{}; ///< turn of this daemon to register in the present era
    bool leaving{false};
};

} // namespace rml::gateway
