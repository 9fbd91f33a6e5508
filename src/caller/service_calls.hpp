/// Calls of plain services. A claim in the store guards each once-only call against repetition.
#pragma once

#include "caller/request_context.hpp"
#include "target/service_client.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <string>

namespace rml::caller {

/// Parsed request target "/services/<service>/<path>?<query>".
struct service_path
{
    service_id service;
    std::string path;   ///< with a leading slash, without the query
    std::string target; ///< path and query
};

/// Fails with `malformed`. Only plain path segments are accepted: a service might resolve a second spelling
/// to a once-only path which is_once_only() does not match.
result<service_path> parse_service_path(std::string_view target);

/// True when the service lists the path as once-only.
bool is_once_only(const office_service_object& service, const std::string& path);

/// Relays calls between callers and services. May be used by many coroutines at once.
class service_relay
{
public:
    service_relay(boost::asio::io_context& context, serving_state& state, target::service_client& services,
                  request_metrics& metrics)
        : context(context), state(state), services(services), metrics(metrics)
    {
    }

    /// Handles one request. The account must be authorized for the service.
    void run(const request_context& request, const office_service_object& service, const service_path& path);

private:
    boost::asio::io_context& context;
    serving_state& state;
    target::service_client& services;
    request_metrics& metrics;
    std::atomic<std::size_t> next_address{0};
};

} // namespace rml::caller
