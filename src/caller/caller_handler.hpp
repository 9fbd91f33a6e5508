/// HTTP handler for the requests of callers.
#pragma once

#include "base/metrics.hpp"
#include "caller/generation.hpp"
#include "caller/request_context.hpp"
#include "caller/service_calls.hpp"
#include "caller/serving_state.hpp"
#include "http/server.hpp"
#include "target/connection_pool.hpp"
#include "target/engine_client.hpp"
#include "target/service_client.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>

namespace rml::caller {

/// Serves the requests listed in docs/protocols.md, "Callers to a daemon". Must outlive the last run of the
/// io_context.
class caller_handler final : public http::handler
{
public:
    caller_handler(boost::asio::io_context& context, serving_state& state,
                   target::connection_pool& connections, metric_registry& registry);

    void handle(const http::request& message, http::response_writer& writer, yield_context yield) override;

    /// Number of claims that are still being settled in the background. A daemon waits for them before it
    /// shuts down.
    std::int64_t open_settlements() const { return this->metrics.settling.value(); }

private:
    void handle_open(const http::request& message, http::response_writer& writer, yield_context yield);
    void handle_authenticated(const request_context& request);
    void handle_chat(const request_context& request);
    void handle_service(const request_context& request);
    void handle_entries(const request_context& request);

    serving_state& state;
    metric_registry& registry;
    target::engine_client engines;
    target::service_client services;
    request_metrics metrics;
    generation_relay generations;
    service_relay service_calls;
};

} // namespace rml::caller
