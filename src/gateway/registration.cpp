#include "gateway/registration.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "decision/spread_delay.hpp"
#include "gateway/coroutine.hpp"

#include <algorithm>
#include <utility>

namespace rml::gateway {

namespace {

/// Lifetime of the manager lease: groups have no manager for this long after the manager has failed. Three
/// renewals fit into it.
constexpr milliseconds manager_lease_lifetime{1500};
/// Lifetime of a daemon's entry. Other daemons detect a failed daemon by its missing peer messages, so the
/// lease of its entry can be longer; each renewal by each daemon is a call to the store.
constexpr milliseconds entry_lifetime{6000};
constexpr int renewals_per_lease = 3;
/// A third of the shorter lease, so that an unanswered renewal can be retried in time.
constexpr milliseconds store_timeout{500};
/// Delay after a failed call for the manager lease; short in comparison with its lifetime.
constexpr milliseconds retry_delay{200};
/// Longest delay after failed calls for the entry. The delay starts at retry_delay and doubles, so that a
/// large fleet stays far below the store's rate limit during an outage of the store.
constexpr milliseconds max_entry_retry_delay{1600};
/// The manager sends no orders during this last part of its lease, because orders take time to arrive.
constexpr milliseconds order_margin{300};
/// Difference between the delays of two candidates of successive rank, so that usually only one of them
/// writes the manager key.
constexpr milliseconds candidate_step{120};
constexpr std::size_t max_candidate_rank = 24;
/// Writes of a daemon that registers: its lease and its entry.
constexpr double writes_per_registration = 2;
/// Part of the store's writes per second that registrations may take after its return from an older copy; the
/// renewals of leases and the manager need the rest.
constexpr double registration_write_share = 0.5;

} // namespace

registration::registration(boost::asio::io_context& owner, const platform_ports& platform,
                           store_mirror& store, fleet_state& state, const gateway_settings& settings,
                           std::int64_t incarnation_start_ms, std::function<duration()> suspended_source)
    : context(owner), ports(platform), mirror(store), fleet(state), configured(settings),
      started_ms(incarnation_start_ms), suspended(std::move(suspended_source)), entry_timer(owner),
      manager_timer(owner)
{
}

void registration::start()
{
    start_coroutine(this->context, [this](yield_context yield) { this->maintain_entry(yield); });
    start_coroutine(this->context, [this](yield_context yield) { this->maintain_manager_lease(yield); });
}

bool registration::manages(time_point now) const
{
    return this->acquired_revision != 0 &&
           this->manager_key_lease.term.holds(now + order_margin, this->suspended());
}

std::string registration::manager_key_value(std::uint64_t lease) const
{
    // A key that was written under an earlier lease ends with that lease, so its value must not match this
    // one.
    return this->configured.daemon.str() + "@" + std::to_string(this->started_ms) + "/" +
           std::to_string(lease);
}

bool registration::has_orphaned_key(time_point now) const
{
    const auto& holder = this->mirror.manager();
    const auto own = this->manager_key_value(0);
    const auto prefix = own.substr(0, own.rfind('/') + 1);
    return this->era_seen != time_point{} && now >= this->era_seen + this->manager_lifetime() && holder &&
           holder->holder.compare(0, prefix.size(), prefix) == 0 &&
           holder->holder != this->manager_key_value(this->manager_key_lease.id);
}

void registration::remove_orphaned_key(yield_context yield)
{
    const auto& holder = this->mirror.manager();
    store_commit change;
    change.expected.push_back({own_keys::manager, holder->revision});
    change.removals.emplace_back(own_keys::manager);
    log(log_level::warning, "removing the manager key of an earlier era", {{"holder", holder->holder}});
    const auto removed = this->ports.store->commit(change, steady_clock::now() + store_timeout, yield);
    if (failed(removed)) {
        log(log_level::info, "manager key not removed", {context_field(error(removed))});
    }
}

void registration::notify()
{
    if (this->mirror.complete() && !std::exchange(this->store_was_read, true)) {
        this->entry_timer.cancel(); // the entry need not wait for the next retry
    }
    const auto& holder = this->mirror.manager();
    const bool own = holder && this->manager_key_lease.id != 0 &&
                     holder->holder == this->manager_key_value(this->manager_key_lease.id);
    if (own) {
        // The commit may have taken effect although its answer was lost.
        if (this->acquired_revision == 0) {
            this->acquired_revision = holder->revision;
            log(log_level::info, "manager lease acquired",
                {{"revision", static_cast<std::int64_t>(holder->revision)}});
        }
    } else if (this->acquired_revision != 0 &&
               (holder ? holder->revision > this->acquired_revision
                       : this->mirror.revision() >= this->acquired_revision)) {
        log(log_level::warning, "manager lease lost", {{"holder", holder ? holder->holder : ""}});
        this->clear_manager_lease();
    }
    if (!holder != this->vacant_since.has_value()) {
        this->vacant_since = holder ? std::nullopt : std::optional(steady_clock::now());
        this->manager_timer.cancel();
    }
}

void registration::on_store_return()
{
    this->store_returned = true;
    this->entry_timer.cancel();
}

void registration::on_new_era()
{
    const auto now = steady_clock::now();
    const auto& store = this->configured.store;
    const auto delay = spread_delay(this->configured.daemon.str(), this->fleet.daemons(now),
                                    writes_per_registration, store.writes_per_s * registration_write_share);
    this->era_seen = now;
    this->register_from = now + delay;
    if (this->acquired_revision != 0) {
        log(log_level::warning, "manager lease lost",
            {{"holder", "unknown: the store returned from an older copy"}});
    }
    log(log_level::info, "registering again in the new era of the store", {{"delay_ms", delay.count()}});
    // The ids may belong to leases of other daemons now, so the leases are neither renewed nor ended.
    this->clear_manager_lease();
    this->entry_lease = {};
    this->entry_written = false;
    this->entry_timer.cancel();
    this->manager_timer.cancel();
}

milliseconds registration::manager_lifetime() const
{
    return std::max(manager_lease_lifetime, this->configured.store.shortest_lease);
}

milliseconds registration::candidate_delay() const
{
    return candidate_step * static_cast<int>(std::min(this->candidate_rank(), max_candidate_rank));
}

std::size_t registration::candidate_rank() const
{
    // Larger instances rank first: the manager sends all orders and notifies all daemons of store changes.
    const auto now = steady_clock::now();
    const auto own = std::pair(this->configured.cpu_share,
                               rendezvous_weight(own_keys::manager, this->configured.daemon.str()));
    std::size_t rank = 0;
    for (const auto& [daemon, peer] : this->fleet.peers()) {
        const auto other = std::pair(peer.entry.cores, rendezvous_weight(own_keys::manager, daemon.str()));
        const bool present = peer.registered || this->fleet.live(peer, now);
        rank += daemon != this->fleet.self && present && other > own ? 1U : 0U;
    }
    return rank;
}

result<registration::held_lease> registration::create_lease(milliseconds lifetime, yield_context yield)
{
    const auto wanted = std::max(lifetime, this->configured.store.shortest_lease);
    const auto sent = steady_clock::now();
    const auto suspended_before = this->suspended();
    const auto created = this->ports.store->create_lease(wanted, sent + store_timeout, yield);
    if (failed(created)) {
        log(log_level::debug, "store granted no lease", {context_field(error(created))});
        return error(created);
    }
    return held_lease{
        value(created).id, value(created).lifetime, {sent + value(created).lifetime, suspended_before}};
}

bool registration::renew(held_lease& lease, yield_context yield)
{
    const auto sent = steady_clock::now();
    const auto suspended_before = this->suspended();
    const auto id = lease.id;
    const auto renewed = this->ports.store->renew_lease(id, sent + store_timeout, yield);
    if (lease.id != id) {
        return false; // the lease was released or replaced during the call
    }
    if (succeeded(renewed)) {
        lease.term = {sent + lease.lifetime, suspended_before};
        return true;
    }
    if (error(renewed).kind == failure_kind::lapsed) {
        log(log_level::warning, "lease expired before its renewal", {context_field(error(renewed))});
        lease = {};
    }
    return false;
}

void registration::maintain_entry(yield_context yield)
{
    auto retry = retry_delay;
    while (!this->leaving) {
        if (steady_clock::now() < this->register_from) {
            this->entry_timer.expires_at(this->register_from);
            boost::system::error_code ignored;
            this->entry_timer.async_wait(yield[ignored]);
            continue;
        }
        this->store_returned = false;
        const bool good = this->mirror.complete() && this->register_daemon(yield);
        // An incomplete mirror is no failure: the first read of the store is still in progress.
        const bool back_off = !good && this->mirror.complete() && !this->store_returned;
        retry = back_off ? std::min(retry * 2, max_entry_retry_delay) : retry_delay;
        this->entry_timer.expires_after(good ? this->entry_lease.lifetime / renewals_per_lease : retry);
        boost::system::error_code ignored;
        this->entry_timer.async_wait(yield[ignored]);
    }
}

bool registration::register_daemon(yield_context yield)
{
    if (this->entry_written && this->renew(this->entry_lease, yield)) {
        return true;
    }
    if (this->entry_lease.id == 0) {
        if (steady_clock::now() < this->register_from) {
            return false; // the store returned from an older copy during the renewal
        }
        const auto created = this->create_lease(entry_lifetime, yield);
        if (failed(created)) {
            return false;
        }
        this->entry_lease = value(created);
        this->entry_written = false;
    }
    return !this->entry_written && this->write_entry(yield);
}

bool registration::write_entry(yield_context yield)
{
    const daemon_entry own{this->configured.listen.caller, this->configured.listen.peer, this->started_ms,
                           this->configured.failure_domain, this->configured.cpu_share};
    const auto lease = this->entry_lease.id;
    store_commit change;
    change.puts.push_back(
        {own_keys::daemons_prefix + this->configured.daemon.str(), encode_daemon_entry(own), lease});
    const auto written = this->ports.store->commit(change, steady_clock::now() + store_timeout, yield);
    if (this->entry_lease.id != lease) {
        return false; // the lease was released during the call
    }
    if (failed(written)) {
        log(log_level::info, "daemon entry not written; retrying", {context_field(error(written))});
        if (error(written).kind == failure_kind::lapsed) {
            this->entry_lease = {};
        }
        return false;
    }
    this->entry_written = true;
    return true;
}

void registration::clear_manager_lease()
{
    this->acquired_revision = 0;
    this->manager_key_lease = {};
}

void registration::maintain_manager_lease(yield_context yield)
{
    while (!this->leaving) {
        const auto now = steady_clock::now();
        auto wake = time_point::max();
        if (this->acquired_revision != 0) {
            if (!this->manager_key_lease.term.holds(now, this->suspended())) {
                log(log_level::warning, "manager lease lost", {{"holder", "none: own lease expired"}});
                this->clear_manager_lease();
                continue;
            }
            const bool renewed = this->renew(this->manager_key_lease, yield);
            if (this->manager_key_lease.id == 0) {
                this->clear_manager_lease();
                continue;
            }
            wake = now + (renewed ? this->manager_key_lease.lifetime / renewals_per_lease : retry_delay);
        } else if (this->vacant_since && this->mirror.complete()) {
            const auto free_from =
                this->era_seen == time_point{}
                    ? *this->vacant_since
                    : std::max(*this->vacant_since, this->era_seen + this->manager_lifetime());
            wake = free_from + this->candidate_delay();
            if (now >= wake) {
                if (this->acquire_manager_lease(yield)) {
                    continue;
                }
                wake = steady_clock::now() + retry_delay;
            }
        }
        if (this->acquired_revision == 0 && !this->vacant_since && this->era_seen != time_point{}) {
            if (this->has_orphaned_key(now)) {
                this->remove_orphaned_key(yield);
            }
            wake = steady_clock::now() + this->manager_lifetime();
        }
        this->manager_timer.expires_at(wake);
        boost::system::error_code ignored;
        this->manager_timer.async_wait(yield[ignored]);
    }
}

bool registration::acquire_manager_lease(yield_context yield)
{
    // The lease of an earlier attempt is reused: its commit may have taken effect although its answer was
    // lost.
    if (!this->manager_key_lease.term.holds(steady_clock::now() + this->manager_key_lease.lifetime / 2,
                                            this->suspended())) {
        const auto created = this->create_lease(manager_lease_lifetime, yield);
        if (failed(created) || this->mirror.manager() || this->leaving) {
            return false; // the unused lease expires soon
        }
        this->manager_key_lease = value(created);
    }
    // The call that created the lease may have shown a new era, and the store may grant longer leases than it
    // is asked for.
    if (this->era_seen != time_point{} &&
        steady_clock::now() <
            this->era_seen + std::max(this->manager_lifetime(), this->manager_key_lease.lifetime)) {
        return false;
    }
    const auto lease = this->manager_key_lease.id;
    store_commit change;
    change.expected.push_back({own_keys::manager, 0});
    change.puts.push_back({own_keys::manager, this->manager_key_value(lease), lease});
    const auto written = this->ports.store->commit(change, steady_clock::now() + store_timeout, yield);
    if (this->manager_key_lease.id != lease && !this->leaving) {
        return false; // the lease was given up during the call
    }
    if (failed(written)) {
        // After a lost answer the mirror shows whether the commit took effect.
        log(log_level::info, "manager key not written", {context_field(error(written))});
        if (error(written).kind == failure_kind::lapsed) {
            this->manager_key_lease = {};
        }
        return this->acquired_revision != 0;
    }
    if (this->leaving) {
        this->end(this->manager_key_lease, yield);
        return false;
    }
    if (this->acquired_revision == 0) {
        this->acquired_revision = value(written);
        log(log_level::info, "manager lease acquired",
            {{"revision", static_cast<std::int64_t>(this->acquired_revision)}});
        this->mirror.watch_now(); // orders need the store as of this revision
    }
    return true;
}

void registration::end(held_lease& lease, yield_context yield)
{
    if (lease.id == 0) {
        return;
    }
    const auto id = std::exchange(lease, held_lease{}).id;
    const auto ended = this->ports.store->end_lease(id, steady_clock::now() + store_timeout, yield);
    if (failed(ended)) {
        log(log_level::info, "lease not ended; it will expire", {context_field(error(ended))});
    }
}

void registration::leave(yield_context yield)
{
    this->leaving = true;
    this->acquired_revision = 0;
    this->entry_timer.cancel();
    this->manager_timer.cancel();
    this->end(this->manager_key_lease, yield);
    this->end(this->entry_lease, yield);
}

} // namespace rml::gateway
