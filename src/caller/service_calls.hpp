/// Calls of plain services, with claims for those that must not be repeated.
#pragma once

#include "caller/request_context.hpp"
#include "target/service_client.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <string>

namespace rml::caller {

/// A parsed target "/services/<service>/<path>?<query>".
struct service_path
{
    service_id service;
    std::string path;   ///< with a leading slash, without the query
    std::string target; ///< path and query
};

/// Fails with `malformed`. Paths are limited to plain segments, so that two spellings of a once-only path
/// cannot differ here and be the same at the service.
result<service_path> parse_service_path(std::string_view target);

/// True when the service lists the path as once-only.
bool is_once_only(const office_service_object& service, const std::string& path);

/// Used by many coroutines at once.
class service_relay
{
public:
    service_relay(boost::asio::io_context& context, serving_state& state, target::service_client& services,
                  request_metrics& metrics)
        : context(context), state(state), services(services), metrics(metrics)
    {
    }

    /// Answers one request of an account that has the right to the service.
    void run(const request_context& request, const office_service_object& service, const service_path& path);

private:
    boost::asio::io_context& context;
    serving_state& state;
    target::service_client& services;
    request_metrics& metrics;
    std::atomic<std::size_t> next_address{0};
};

} // namespace rml::caller
