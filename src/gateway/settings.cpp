#include "gateway/settings.hpp"

#include "base/json_reader.hpp"

namespace rml::gateway {

namespace {

constexpr field_rule positive{0.001, 1e9};

void read_listen(object_reader reader, listen_addresses& out)
{
    reader.required("caller", out.caller);
    reader.required("readiness", out.readiness);
    reader.required("entries", out.entries);
    reader.required("metrics", out.metrics);
    reader.required("peer", out.peer);
    reader.finish();
}

void read_store(object_reader reader, store_settings& out)
{
    reader.required("address", out.address);
    reader.required("writes_per_s", out.writes_per_s, positive);
    reader.required("reads_per_s", out.reads_per_s, positive);
    reader.required("shortest_lease_ms", out.shortest_lease);
    reader.finish();
}

/// Reads a platform bound that is given in whole or fractional seconds.
void read_seconds(object_reader& reader, const char* name, milliseconds& out)
{
    double found = std::chrono::duration<double>(out).count();
    reader.optional(name, found, {0, 1e6});
    out = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(found));
}

void read_machine_limit(object_reader& reader, const char* name, const field_rule& rule,
                        std::optional<std::uint64_t>& out)
{
    if (reader.has(name)) {
        reader.required(name, out.emplace(), rule);
    }
}

void read_bounds(object_reader reader, service_bounds& out)
{
    reader.optional("drain_ms", out.drain);
    read_seconds(reader, "stop_grace_s", out.stop_grace);
    reader.optional("config_apply_ms", out.config_apply);
    reader.optional("stall_ms", out.stall);
    reader.optional("retry_share", out.retry_share, {0, 1});
    read_seconds(reader, "retry_window_s", out.retry_window);
    reader.optional("retry_slack", out.retry_slack);
    read_seconds(reader, "entry_lifetime_s", out.entry_lifetime);
    reader.finish();
}

} // namespace

result<gateway_settings> parse_gateway_settings(const std::string& text)
{
    return read_settings_document<gateway_settings>(text, [](object_reader& reader, gateway_settings& out) {
        reader.required("daemon", out.daemon);
        reader.required("region", out.region);
        reader.required("failure_domain", out.failure_domain);
        read_listen(reader.child("listen"), out.listen);
        read_store(reader.child("store"), out.store);
        reader.optional("registry_heartbeat_ms", out.registry_heartbeat);
        reader.optional("cpu_share", out.cpu_share, positive);
        read_machine_limit(reader, "memory_mb", {64, 1e6}, out.memory_mb);
        read_machine_limit(reader, "max_fds", {128, 1e6}, out.max_fds);
        read_bounds(reader.child("bounds", false), out.bounds);
        read_log_settings(reader.child("log", false), out.log);
    });
}

} // namespace rml::gateway
