/// Keeps the evidence on requests and parts of prompts that crash targets in the platform's store, so that it
/// outlasts a restart of all daemons. The manager writes what the daemons have told each other; every daemon
/// reads it with the rest of the store.
#pragma once

#include "base/metrics.hpp"
#include "gateway/crash_guard.hpp"
#include "gateway/ports.hpp"

#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <string>

namespace rml::gateway {

class crash_archive
{
public:
    crash_archive(boost::asio::io_context& context, const platform_ports& ports, crash_guard& guard,
                  metric_registry& registry);

    /// Applies a record of the store. No value: the record was removed.
    void on_stored(const std::string& key, const std::optional<std::string>& value, time_point now);
    /// The store returned from an older copy: what it contained is unknown until it is read again.
    void on_new_era() { this->stored.clear(); }
    /// To be called by the manager, every 50 ms: writes established records that the store does not have, and
    /// removes others, at most once per `write_interval`.
    void tick(time_point now);

private:
    static constexpr milliseconds write_interval{500};
    /// Pause after a write that failed.
    static constexpr seconds retry_interval{2};

    void write(const store_commit& change, const std::map<std::string, std::string>& written,
               yield_context yield);

    boost::asio::io_context& context;
    const platform_ports& ports;
    crash_guard& guard;
    counter& writes;
    std::map<std::string, std::string> stored; ///< what each record of the store says, without times, by key
    bool writing{false};
    time_point next_write{};
};

} // namespace rml::gateway
