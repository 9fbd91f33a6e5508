/// Client of plain services.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/time.hpp"
#include "decision/outcome.hpp"
#include "http/message.hpp"
#include "target/connection_pool.hpp"

#include <string>

namespace rml::target {

struct service_call
{
    std::string request_id; ///< unique per attempt; the answer must carry the same id
    std::string method;
    std::string target;          ///< path and query at the service
    std::string content_type;    ///< may be empty
    std::string idempotency_key; ///< empty: none
    std::string body;
    bool once_only{false};
};

enum class service_end
{
    answered,
    not_sent, ///< no connection
    refused,  ///< the service refused the call without running it
    failed,   ///< broken connection or invalid answer after bytes were sent
    timed_out,
};

struct service_report
{
    service_end end{service_end::not_sent};
    attempt_outcome outcome;
    failure reason;        ///< unless answered
    http::response answer; ///< if answered
    milliseconds total{0};
};

/// Holds no state besides the pool; may be used by many coroutines at once.
class service_client
{
public:
    explicit service_client(connection_pool& connections) : connections(connections) {}

    /// Makes one attempt at one address. A once-only call always opens a new connection: the service may
    /// close an idle connection at the moment of sending, which would leave the outcome unknown.
    service_report call(const endpoint& service, const service_call& request, time_point deadline,
                        yield_context yield);

private:
    connection_pool& connections;
};

} // namespace rml::target
