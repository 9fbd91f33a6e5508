#include "gateway/registration.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "gateway/coroutine.hpp"

#include <algorithm>

namespace rml::gateway {

namespace {

/// Lifetime of a daemon's lease: the time for which groups go unmanaged after the holder's death. Three
/// renewals fit into it.
constexpr milliseconds lease_lifetime{1500};
constexpr int renewals_per_lease = 3;
/// A third of the lease, so that a renewal that gets no answer can be repeated in time.
constexpr milliseconds store_timeout{500};
/// After a failed call; short against the lease.
constexpr milliseconds retry_pause{200};
/// A holder stops giving orders this long before its lease ends, for orders that are under way.
constexpr milliseconds order_margin{300};
/// Candidates for the management wait one after the other, so that one write usually decides.
constexpr milliseconds candidate_step{120};
constexpr std::size_t longest_candidate_queue = 8;

} // namespace

registration::registration(boost::asio::io_context& owner, const platform_ports& platform,
                           store_mirror& store, fleet_state& state, const gateway_settings& settings,
                           std::int64_t life)
    : context(owner), ports(platform), mirror(store), fleet(state), configured(settings), started_ms(life),
      identity(settings.daemon.str() + "@" + std::to_string(life)), timer(owner)
{
}

void registration::start()
{
    start_coroutine(this->context, [this](yield_context yield) { this->run(yield); });
}

bool registration::manages(time_point now) const
{
    return this->managed_since != 0 && now + order_margin < this->lease_until;
}

void registration::notify()
{
    const auto& holder = this->mirror.manager();
    if (holder && holder->holder == this->identity) {
        // Also after a commit whose answer was lost.
        if (this->managed_since == 0 && this->lease != 0) {
            this->managed_since = holder->revision;
            log(log_level::info, "group management taken over",
                {{"revision", static_cast<std::int64_t>(holder->revision)}});
        }
    } else if (this->managed_since != 0 && (holder ? holder->revision > this->managed_since
                                                   : this->mirror.revision() >= this->managed_since)) {
        log(log_level::warning, "group management lost", {{"holder", holder ? holder->holder : ""}});
        this->managed_since = 0;
    }
    if (!holder != this->vacant_since.has_value()) {
        this->vacant_since = holder ? std::nullopt : std::optional(steady_clock::now());
        this->timer.cancel();
    }
}

milliseconds registration::candidate_delay() const
{
    const auto now = steady_clock::now();
    const auto rank = this->fleet.share_for(instance_id(own_keys::manager), now).rank;
    return candidate_step * static_cast<int>(std::min(rank, longest_candidate_queue));
}

void registration::run(yield_context yield)
{
    while (!this->leaving) {
        const bool good =
            this->mirror.complete() && (this->lease == 0 ? this->ensure_lease(yield) : this->renew(yield));
        if (good && this->vacant_since && !this->leaving) {
            this->try_to_manage(yield);
        }
        const auto now = steady_clock::now();
        auto wake = now + (good ? this->lifetime / renewals_per_lease : retry_pause);
        if (this->vacant_since && good) {
            wake = std::min(wake, std::max(now + retry_pause, *this->vacant_since + this->candidate_delay()));
        }
        this->timer.expires_at(wake);
        boost::system::error_code ignored;
        this->timer.async_wait(yield[ignored]);
    }
}

bool registration::ensure_lease(yield_context yield)
{
    const auto wanted = std::max(lease_lifetime, this->configured.store.shortest_lease);
    const auto sent = steady_clock::now();
    const auto created = this->ports.store->create_lease(wanted, sent + store_timeout, yield);
    if (failed(created)) {
        log(log_level::debug, "no lease", {context_field(error(created))});
        return false;
    }
    this->lease = value(created).id;
    this->lifetime = value(created).lifetime;
    this->lease_until = sent + this->lifetime;
    this->entry_written = false;
    return this->renew(yield);
}

bool registration::renew(yield_context yield)
{
    const auto sent = steady_clock::now();
    if (!this->entry_written) {
        const daemon_entry own{this->configured.listen.caller, this->configured.listen.peer, this->started_ms,
                               this->configured.failure_domain, this->configured.cpu_share};
        store_commit change;
        change.puts.push_back({own_keys::daemons_prefix + this->configured.daemon.str(),
                               encode_daemon_entry(own), this->lease});
        const auto written = this->ports.store->commit(change, sent + store_timeout, yield);
        if (failed(written)) {
            log(log_level::info, "daemon entry not written", {context_field(error(written))});
            if (error(written).kind == failure_kind::lapsed) {
                this->drop_lease();
            }
            return false;
        }
        this->entry_written = true;
        return true;
    }
    const auto renewed = this->ports.store->renew_lease(this->lease, sent + store_timeout, yield);
    if (succeeded(renewed)) {
        this->lease_until = sent + this->lifetime;
        return true;
    }
    if (error(renewed).kind == failure_kind::lapsed) {
        log(log_level::warning, "lease lapsed", {context_field(error(renewed))});
        this->drop_lease();
    }
    return false;
}

void registration::drop_lease()
{
    this->lease = 0;
    this->entry_written = false;
    this->managed_since = 0;
}

void registration::try_to_manage(yield_context yield)
{
    const auto now = steady_clock::now();
    if (this->managed_since != 0 || this->mirror.manager() ||
        now < *this->vacant_since + this->candidate_delay()) {
        return;
    }
    store_commit change;
    change.expected.push_back({own_keys::manager, 0});
    change.puts.push_back({own_keys::manager, this->identity, this->lease});
    const auto written = this->ports.store->commit(change, now + store_timeout, yield);
    if (failed(written)) {
        // After a lost answer the mirror shows whether the commit took effect.
        log(log_level::info, "group management not taken", {context_field(error(written))});
        return;
    }
    if (this->lease != 0) {
        this->managed_since = value(written);
        log(log_level::info, "group management taken over",
            {{"revision", static_cast<std::int64_t>(this->managed_since)}});
    }
}

void registration::leave(yield_context yield)
{
    this->leaving = true;
    this->managed_since = 0;
    this->timer.cancel();
    if (this->lease == 0) {
        return;
    }
    const auto ended = this->ports.store->end_lease(this->lease, steady_clock::now() + store_timeout, yield);
    if (failed(ended)) {
        log(log_level::info, "lease not ended, it lapses", {context_field(error(ended))});
    }
    this->lease = 0;
}

} // namespace rml::gateway
