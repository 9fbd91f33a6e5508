#include "gateway/client_report.hpp"

#include "base/log.hpp"

namespace rml::gateway {

namespace {

constexpr std::array<const char*, client_addresses> address_names{"caller", "readiness", "entries",
                                                                  "metrics"};
constexpr std::array<const char*, turn_away_reasons> reason_names{"memory", "connections"};
constexpr milliseconds line_interval{1000};

} // namespace

client_report::client_report(const client_limits& all, metric_registry& metrics)
    : clients(all), held(metrics.create_gauge("rml_client_bytes", "Bytes that all clients hold"))
{
    for (std::size_t i = 0; i < client_addresses; ++i) {
        this->connections[i] = &metrics.create_gauge("rml_client_connections", "Open connections of clients",
                                                     {{"address", address_names[i]}});
    }
    for (std::size_t i = 0; i < turn_away_reasons; ++i) {
        this->turned_away[i] =
            &metrics.create_counter("rml_clients_turned_away_total", "Clients that gave way to others",
                                    {{"reason", reason_names[i]}});
        this->released[i] =
            &metrics.create_counter("rml_clients_turned_away_bytes_total", "Bytes that these clients held",
                                    {{"reason", reason_names[i]}});
    }
}

void client_report::tick(time_point now)
{
    this->held.update(static_cast<std::int64_t>(this->clients.held()));
    for (std::size_t i = 0; i < client_addresses; ++i) {
        this->connections[i]->update(
            static_cast<std::int64_t>(this->clients.connections(static_cast<client_address>(i))));
    }
    const auto& counts = this->clients.turned_away();
    for (std::size_t i = 0; i < turn_away_reasons; ++i) {
        this->turned_away[i]->add(counts.clients[i] - this->counted.clients[i]);
        this->released[i]->add(counts.bytes[i] - this->counted.bytes[i]);
    }
    this->counted = counts;
    if (now < this->next_line) {
        return;
    }
    for (std::size_t i = 0; i < turn_away_reasons; ++i) {
        if (const auto more = counts.clients[i] - this->logged.clients[i]; more > 0) {
            this->next_line = now + line_interval;
            log(log_level::warning, "clients turned away",
                {{"reason", std::string(reason_names[i])},
                 {"clients", static_cast<std::int64_t>(more)},
                 {"their_bytes", static_cast<std::int64_t>(counts.bytes[i] - this->logged.bytes[i])},
                 {"held_bytes", static_cast<std::int64_t>(this->clients.held())},
                 {"caller_connections",
                  static_cast<std::int64_t>(this->clients.connections(client_address::caller))}});
        }
    }
    this->logged = counts;
}

} // namespace rml::gateway
