#include "gateway/connection_budget.hpp"

#include "base/limits.hpp"
#include "base/log.hpp"

namespace rml::gateway {

namespace {

constexpr std::array<const char*, target::discard_reasons> reason_names{
    "unusable", "idle_time", "ended_by_peer", "surplus", "cleared"};
constexpr milliseconds line_interval{1000};

gauge& create_state_gauge(metric_registry& metrics, const char* state)
{
    return metrics.create_gauge("rml_target_connections",
                                "Open connections to targets and the store, by state", {{"state", state}});
}

} // namespace

connection_budget::connection_budget(const client_limits& all_clients, target::connection_pool& pool,
                                     std::optional<std::uint64_t> descriptors, metric_registry& metrics)
    : clients(all_clients), connections(pool), idle(create_state_gauge(metrics, "idle")),
      in_use(create_state_gauge(metrics, "in_use")),
      opened(metrics.create_counter("rml_target_connections_opened_total",
                                    "Connections opened to targets and the store")),
      reused(metrics.create_counter("rml_target_connections_reused_total",
                                    "Idle connections that were used again")),
      refused(metrics.create_counter("rml_target_connections_refused_total",
                                     "Connections for requests not opened for want of descriptors"))
{
    if (descriptors) {
        this->budget.emplace(*descriptors);
    }
    for (std::size_t i = 0; i < target::discard_reasons; ++i) {
        this->discarded[i] =
            &metrics.create_counter("rml_target_connections_discarded_total",
                                    "Idle connections that were closed", {{"reason", reason_names[i]}});
    }
}

std::size_t connection_budget::client_connections() const
{
    std::size_t out = 0;
    for (std::size_t i = 0; i < client_addresses; ++i) {
        out += this->clients.connections(static_cast<client_address>(i));
    }
    return out;
}

void connection_budget::tick(time_point now)
{
    if (this->budget) {
        this->connections.update_limits(
            {this->budget->idle_connections(), this->budget->target_connections(this->client_connections())});
    }
    if (now >= this->next_check) {
        this->next_check = now + limits::target_idle_check;
        this->connections.expire(now);
    }
    const auto counts = this->connections.stats();
    this->report(counts);
    if (this->budget) {
        this->log_shortage(counts, now);
    }
}

void connection_budget::report(const target::pool_stats& counts)
{
    const auto idle_now = this->connections.idle();
    this->idle.update(static_cast<std::int64_t>(idle_now));
    this->in_use.update(static_cast<std::int64_t>(this->connections.open_connections() - idle_now));
    this->opened.add(counts.opened - this->reported.opened);
    this->reused.add(counts.reused - this->reported.reused);
    this->refused.add(counts.refused - this->reported.refused);
    for (std::size_t i = 0; i < target::discard_reasons; ++i) {
        this->discarded[i]->add(counts.discarded_by[i] - this->reported.discarded_by[i]);
    }
    this->reported = counts;
}

void connection_budget::log_shortage(const target::pool_stats& counts, time_point now)
{
    const auto open = this->client_connections() + this->connections.open_connections();
    const bool was_short = this->shortage;
    if (this->budget->is_short(open)) {
        this->shortage = true;
    } else if (this->budget->is_relaxed(open)) {
        this->shortage = false;
    }
    const bool begins = this->shortage && !was_short;
    const auto more_refused = counts.refused - this->refused_in_log;
    if (!begins && (more_refused == 0 || now < this->next_line)) {
        return;
    }
    this->next_line = now + line_interval;
    this->refused_in_log = counts.refused;
    log(log_level::warning, "few descriptors left",
        {{"client_connections", static_cast<std::int64_t>(this->client_connections())},
         {"target_connections", static_cast<std::int64_t>(this->connections.open_connections())},
         {"idle_target_connections", static_cast<std::int64_t>(this->connections.idle())},
         {"refused_target_connections", static_cast<std::int64_t>(more_refused)}});
}

} // namespace rml::gateway
