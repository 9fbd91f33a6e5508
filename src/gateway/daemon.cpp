#include "gateway/daemon.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "gateway/client_report.hpp"
#include "gateway/connection_budget.hpp"
#include "gateway/coroutine.hpp"
#include "gateway/crash_archive.hpp"
#include "gateway/entry_list.hpp"
#include "gateway/fleet_state.hpp"
#include "gateway/forwarder.hpp"
#include "gateway/group_manager.hpp"
#include "gateway/pages.hpp"
#include "gateway/peer_exchange.hpp"
#include "gateway/registration.hpp"
#include "gateway/store_mirror.hpp"
#include "gateway/store_position.hpp"
#include "http/server.hpp"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <limits>
#include <malloc.h>

namespace rml::gateway {

namespace {

/// Interval of stall detection, slot updates and group management; a fraction of the shortest stall limit.
constexpr milliseconds tick_interval{50};
/// Time after the start within which all daemons have registered; until then the list may be incomplete.
constexpr milliseconds peers_settle_time{3000};
/// A stopping daemon accepts requests for at least this long, since callers cache its address.
constexpr milliseconds min_stop_time{2500};
/// Part of the platform's grace time that is reserved for the answers to requests that are still open, and
/// for the exit of the process.
constexpr milliseconds stop_margin{700};
/// Time in which the answers to requests that are ended by the stop are written.
constexpr milliseconds last_answers_time{300};
/// Time for which callers may cache entry addresses.
constexpr milliseconds address_lifetime{2000};

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

machine_limits machine_of(const gateway_settings& configured)
{
    constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
    machine_limits out;
    if (configured.memory_mb) {
        out.memory_bytes = *configured.memory_mb * bytes_per_mb;
    }
    out.descriptors = configured.max_fds;
    return out;
}

/// Large blocks are mapped one by one, so that the memory of a body returns to the system with its end.
/// Without a fixed threshold, the first freed body makes the allocator keep blocks of its size.
void keep_freed_memory_small()
{
    constexpr int mapped_bytes = 64 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, mapped_bytes);
    ::mallopt(M_TRIM_THRESHOLD, mapped_bytes);
}

void return_freed_memory()
{
    ::malloc_trim(0);
}

class gateway_daemon
{
public:
    gateway_daemon(const gateway_settings& settings, const port_factory& create_ports,
                   const std::function<result<gateway_settings>()>& read_settings)
        : configured(settings), reload(read_settings), started_ms(wall_clock_ms()),
          clients(bounds_for(machine_of(settings))), clients_report(this->clients, this->metrics),
          connections(this->context),
          budget(this->clients, this->connections, settings.max_fds, this->metrics),
          ports(create_ports(this->connections, settings.store.address)),
          fleet(settings.daemon, settings.failure_domain),
          mirror(this->context, this->ports, this->fleet, this->configured),
          holder(this->context, this->ports, this->mirror, this->fleet, this->configured, this->started_ms),
          requests(this->context, this->ports, this->fleet, this->connections, this->configured,
                   this->metrics),
          archive(this->context, this->ports, this->requests.crashes(), this->metrics),
          manager(this->context, this->ports, this->fleet, this->holder, this->configured, this->metrics),
          exchange(this->context, this->fleet), readiness([this] { return this->ready(); }),
          entries(
              *this->ports.decoder,
              [this](const std::optional<failure_domain_id>& domain) {
                  const auto now = steady_clock::now();
                  std::vector<endpoint> out;
                  for (const auto& entry : domain ? this->near.select(*domain, this->fleet, this->own(), now)
                                                  : entry_daemons(this->fleet, this->own(), now)) {
                      out.push_back(entry.caller);
                  }
                  return out;
              },
              std::min(address_lifetime, settings.bounds.entry_lifetime)),
          metrics_text(this->metrics), signals(this->context, SIGTERM, SIGINT, SIGHUP), timer(this->context)
    {
    }

    status run()
    {
        if (this->configured.memory_mb) {
            keep_freed_memory_small();
        }
        const auto listen = [this](const endpoint& address, http::handler& handler, client_address kind,
                                   std::unique_ptr<http::server>& server) {
            http::client_policy policy;
            policy.limits = &this->clients;
            policy.address = kind;
            policy.discards_bodies = kind != client_address::caller;
            auto created = http::server::create(this->context, address, handler, {}, policy);
            if (failed(created)) {
                return status(error(created));
            }
            server = value(std::move(created));
            return success();
        };
        const auto& own = this->configured.listen;
        for (const auto& listening :
             {listen(own.caller, this->requests, client_address::caller, this->caller_server),
              listen(own.readiness, this->readiness, client_address::readiness, this->readiness_server),
              listen(own.entries, this->entries, client_address::entries, this->entries_server),
              listen(own.metrics, this->metrics_text, client_address::metrics, this->metrics_server)}) {
            if (failed(listening)) {
                return listening;
            }
        }
        if (const auto started = this->exchange.start(
                this->configured.listen.peer, [this](bool to_all) { return this->compose_report(to_all); });
            failed(started)) {
            return error(started);
        }
        this->fleet.started_ms = this->started_ms;
        this->connect_callbacks();
        log(log_level::info, "started",
            {{"daemon", this->configured.daemon.str()},
             {"failure_domain", this->configured.failure_domain.str()},
             {"caller_address", to_string(this->configured.listen.caller)}});
        this->mirror.start();
        this->holder.start();
        this->wait_for_signal();
        this->schedule_tick();
        this->context.run();
        log(log_level::info, "stopped",
            {{"daemon", this->configured.daemon.str()},
             {"open_requests", static_cast<std::int64_t>(this->requests.open_requests())}});
        return success();
    }

private:
    void connect_callbacks()
    {
        this->ports.engines->on_signals = [this](const target_entry& engine, const target_signals& signals) {
            this->fleet.record_signals(engine, signals, steady_clock::now());
        };
        this->mirror.on_change = [this] {
            if (this->mirror.complete() && !std::exchange(this->store_was_read, true)) {
                this->fleet.record_store_read();
                // The others need not wait for the next report, nor this daemon for its list of entry
                // daemons.
                this->exchange.send_now();
                this->entries_updated = {};
            }
            this->holder.notify();
            this->apply_server_limits();
            this->manager.tick();
        };
        this->mirror.on_store_return = [this] { this->holder.on_store_return(); };
        this->mirror.on_new_era = [this] {
            this->holder.on_new_era();
            this->archive.on_new_era();
        };
        this->mirror.on_crash_record = [this](const std::string& key,
                                              const std::optional<std::string>& value) {
            this->archive.on_stored(key, value, steady_clock::now());
        };
        this->mirror.needs_changes_at_once = [this] { return this->holder.manages(steady_clock::now()); };
        this->mirror.may_become_manager = [this] { return this->holder.is_first_candidate(); };
        this->mirror.on_store_changes = [this](const std::vector<change_notice>& notices) {
            if (this->holder.manages(steady_clock::now())) {
                for (const auto& notice : notices) {
                    this->exchange.send_notice(notice);
                }
                this->notice_sent = steady_clock::now();
            }
        };
        this->exchange.on_notice = [this](const change_notice& notice) {
            this->mirror.accept_notice(notice);
        };
        this->exchange.on_report = [this](const peer_report& report) { this->accept_report(report); };
        this->manager.on_ending = [this] { this->exchange.send_now(); };
        this->fleet.on_target_ended = [this](const endpoint& address) { this->connections.clear(address); };
        this->fleet.on_request_limit = [this] { this->exchange.send_to_all_soon(); };
        this->requests.on_scarce_slots = [this] { this->exchange.send_soon(); };
        this->requests.crashes().on_change = [this] { this->exchange.send_to_all_soon(); };
        this->requests.on_suspect = [this] {
            this->exchange.send_now();
            for (const auto& head : this->requests.stalled_targets()) {
                this->manager.on_suspect(head);
            }
            for (const auto& head :
                 this->fleet.suspicions.suspected_by(this->configured.daemon, steady_clock::now())) {
                this->manager.on_suspect(head);
            }
        };
    }

    own_state own() const
    {
        return {daemon_entry{this->configured.listen.caller, this->configured.listen.peer, this->started_ms,
                             this->configured.failure_domain, this->configured.cpu_share},
                this->ready(), this->mirror.reachable(steady_clock::now()), this->requests.requests_per_s()};
    }

    bool ready() const { return this->mirror.complete() && this->fleet.config() && !this->leaving; }

    void apply_server_limits()
    {
        const auto& config = this->fleet.config();
        if (!config || config->version() == this->applied_version) {
            return;
        }
        this->applied_version = config->version();
        http::server_options options;
        options.header_bytes = config->limits().header_bytes;
        options.body_bytes = config->limits().body_bytes;
        options.head_timeout = config->limits().header_timeout;
        options.idle_timeout = config->limits().idle_timeout;
        this->caller_server->update_options(options);
    }

    peer_report compose_report(bool to_all)
    {
        peer_report out;
        out.daemon = this->configured.daemon;
        out.started_ms = this->started_ms;
        out.leaving = this->leaving;
        out.ready = this->ready();
        out.store_reachable = this->mirror.reachable(steady_clock::now());
        for (const auto& target : this->fleet.in_flight.busy()) {
            out.in_flight[target] = this->fleet.in_flight.in_flight(target);
        }
        for (const auto& [target, tokens] : this->fleet.unread.all()) {
            out.unread_tokens[target] = static_cast<std::uint32_t>(
                std::min<std::uint64_t>(tokens, std::numeric_limits<std::uint32_t>::max()));
        }
        out.stalled = this->requests.stalled_targets();
        out.suspected = this->fleet.suspicions.suspected_by(this->configured.daemon, steady_clock::now());
        out.answering = this->responding_suspects(steady_clock::now());
        out.manages = this->holder.manages(steady_clock::now());
        if (out.manages) {
            out.ejected = this->manager.ejected();
            out.slow = this->manager.slow(steady_clock::now());
        }
        out.offered_load = this->requests.offered_load();
        out.requests_per_s = this->requests.requests_per_s();
        out.limits_known = this->fleet.knows_limits();
        out.request_limits = this->fleet.request_limits(steady_clock::now());
        out.departures = this->fleet.departures(out.manages, steady_clock::now());
        if (out.manages) {
            out.removals = this->fleet.recent_removals(steady_clock::now());
        }
        this->requests.crashes().add_trials(out);
        if (to_all) {
            this->requests.crashes().add_evidence(out, steady_clock::now());
        }
        return out;
    }

    /// Suspected targets that have recently made progress with requests of this daemon.
    std::vector<instance_id> responding_suspects(time_point now) const
    {
        std::vector<instance_id> out;
        for (const auto& target : this->fleet.in_flight.busy()) {
            if (this->fleet.suspected(target, now) &&
                this->fleet.in_flight.progressed(target, recent_progress, now)) {
                out.push_back(target);
            }
        }
        return out;
    }

    void accept_report(const peer_report& report)
    {
        const auto now = steady_clock::now();
        this->requests.crashes().accept(report, now);
        for (const auto& head : report.stalled) {
            this->manager.on_suspect(head);
        }
        for (const auto& head : report.suspected) {
            this->manager.on_suspect(head);
            this->fleet.suspicions.record(head, report.daemon, now);
            if (this->fleet.suspicions.count(head, now) >= votes_to_eject) {
                this->fleet.suspect(head, now + peer_suspicion);
            }
        }
        for (const auto& target : report.departures) {
            this->fleet.record_departure(target, departure_source::peer, now);
        }
        for (const auto& notice : report.request_limits) {
            this->fleet.record_request_limit(notice, now);
        }
        for (const auto& target : report.removals) {
            this->fleet.confirm_removal(target, now);
        }
        for (const auto& head : report.answering) {
            this->manager.on_progress(head);
        }
        for (const auto& [head, factor] : report.slow) {
            this->fleet.update_slowness(head, factor, now);
        }
        if (report.manages) {
            this->fleet.update_ejected(report.daemon, report.ejected, now);
        }
    }

    void schedule_tick()
    {
        this->timer.expires_after(tick_interval);
        this->timer.async_wait([this](const boost::system::error_code& code) {
            if (!code) {
                this->tick();
                this->schedule_tick();
            }
        });
    }

    void tick()
    {
        const auto now = steady_clock::now();
        this->fleet.expire_targets(now);
        if (now >= this->peers_expire) {
            this->peers_expire = now + peer_expiry_interval;
            this->fleet.expire_peers(now);
        }
        this->store_era.update(era_number(this->mirror.era()));
        this->era_reads.add(this->mirror.era_reads() - this->era_reads.value());
        this->fleet.peers_settled = now - this->started >= peers_settle_time;
        this->fleet.update_start(now);
        this->requests.tick();
        this->clients_report.tick(now);
        this->budget.tick(now);
        if (this->configured.memory_mb && this->clients.returns_memory(now)) {
            return_freed_memory();
        }
        if (now >= this->entries_updated + entries_interval) {
            this->entries_updated = now;
            std::set<daemon_id> entry_ids;
            for (const auto& entry : entry_daemons(this->fleet, this->own(), now)) {
                entry_ids.insert(entry.daemon);
            }
            this->requests.update_entries(entry_ids);
            this->exchange.update_entries(std::move(entry_ids));
        }
        if (this->holder.manages(now)) {
            this->send_notice(now);
            auto offered_load = this->requests.offered_load();
            for (const auto& [daemon, peer] : this->fleet.peers()) {
                if (daemon != this->fleet.self && this->fleet.live(peer, now)) {
                    for (const auto& [model, amount] : peer.last_report.offered_load) {
                        offered_load[model] += amount;
                    }
                }
            }
            this->manager.update_offered_load(std::move(offered_load));
            for (const auto& head : this->responding_suspects(now)) {
                this->manager.on_progress(head);
            }
            this->manager.tick();
            this->archive.tick(now);
            this->fleet.update_ejected(this->configured.daemon, this->manager.ejected(), now);
        }
        if (this->leaving) {
            this->end_if_idle(now);
        }
    }

    /// Ends the event loop when no request is being read or handled, and at the end of the grace time.
    void end_if_idle(time_point now)
    {
        if (now >= this->requests_end) {
            this->requests.end_requests();
            this->caller_server->refuse_partial_requests();
        }
        const auto stats = this->caller_server->stats();
        if (this->requests.open_requests() == 0 && stats.reading == 0 &&
            now - this->leaving_since >= min_stop_time) {
            // Requests whose bytes arrive before the connections are closed are still served.
            this->caller_server->stop();
            this->stopping = true;
        }
        if ((this->stopping && stats.open == stats.closing) ||
            now >= this->requests_end + last_answers_time) {
            this->requests.log_open_requests();
            this->context.stop();
        }
    }

    /// Sends the known store revision when no changes were forwarded for `notice_interval`.
    void send_notice(time_point now)
    {
        if (now < this->notice_sent + notice_interval) {
            return;
        }
        if (const auto notice = this->mirror.compose_notice(now)) {
            this->exchange.send_notice(*notice);
            this->notice_sent = now;
        }
    }

    void wait_for_signal()
    {
        this->signals.async_wait([this](const boost::system::error_code& code, int signal) {
            if (code) {
                return;
            }
            if (signal == SIGHUP) {
                this->reload_settings();
            } else if (!this->leaving) {
                this->leave();
            }
            this->wait_for_signal();
        });
    }

    void reload_settings()
    {
        const auto read = this->reload();
        if (failed(read)) {
            log(log_level::error, "settings file is invalid; keeping the settings in use",
                {context_field(error(read))});
            return;
        }
        // Addresses are bound at the start; only the bounds and the shortest lease can change at run time.
        this->configured.bounds = value(read).bounds;
        this->configured.store.shortest_lease = value(read).store.shortest_lease;
        log(log_level::info, "settings reloaded", {{"daemon", this->configured.daemon.str()}});
    }

    void leave()
    {
        this->leaving = true;
        this->leaving_since = steady_clock::now();
        this->requests_end = this->leaving_since + this->configured.bounds.stop_grace - stop_margin;
        this->requests.begin_stop(this->requests_end);
        log(log_level::info, "leaving",
            {{"open_requests", static_cast<std::int64_t>(this->requests.open_requests())}});
        this->caller_server->drain();
        this->exchange.send_now();
        start_coroutine(this->context, [this](yield_context yield) { this->holder.leave(yield); });
    }

    /// Two notices may be lost before the other daemons watch the store themselves.
    static constexpr milliseconds notice_interval{250};
    static constexpr milliseconds peer_expiry_interval{1000};
    /// The entry daemons change when a daemon is lost, which takes longer than this to detect.
    static constexpr milliseconds entries_interval{200};
    /// Reports come every 100 ms and renew the suspicion of another daemon; otherwise it ends.
    static constexpr milliseconds peer_suspicion{600};
    /// Three reports of a small site, and not above the lowest stall limit.
    static constexpr milliseconds recent_progress{300};

    gateway_settings configured;
    const std::function<result<gateway_settings>()>& reload;
    std::int64_t started_ms;
    time_point started{steady_clock::now()};
    /// Outlives the context, whose end unwinds the coroutines of open connections.
    client_limits clients;
    boost::asio::io_context context{1};
    metric_registry metrics;
    client_report clients_report;
    gauge& store_era{this->metrics.create_gauge("rml_store_era", "Era of the store's newest answer")};
    counter& era_reads{this->metrics.create_counter("rml_store_era_reads_total",
                                                    "Reads of the whole store because of a new era")};
    target::connection_pool connections;
    connection_budget budget;
    platform_ports ports;
    fleet_state fleet;
    store_mirror mirror;
    registration holder;
    forwarder requests;
    crash_archive archive;
    group_manager manager;
    peer_exchange exchange;
    near_entry_list near{this->metrics};
    readiness_page readiness;
    entries_page entries;
    metrics_page metrics_text;
    std::unique_ptr<http::server> caller_server;
    std::unique_ptr<http::server> readiness_server;
    std::unique_ptr<http::server> entries_server;
    std::unique_ptr<http::server> metrics_server;
    boost::asio::signal_set signals;
    boost::asio::steady_timer timer;
    std::uint64_t applied_version{0};
    bool store_was_read{false};
    time_point entries_updated{};
    time_point notice_sent{};
    time_point peers_expire{}; ///< next check for daemons that are gone
    bool leaving{false};
    bool stopping{false}; ///< the server for callers accepts no more connections
    time_point leaving_since{};
    time_point requests_end{}; ///< open requests are ended then; set when leaving
};

} // namespace

status run_gateway(const gateway_settings& configured, const port_factory& create_ports,
                   const std::function<result<gateway_settings>()>& reload)
{
    return gateway_daemon(configured, create_ports, reload).run();
}

} // namespace rml::gateway
