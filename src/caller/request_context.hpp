/// State of a request that is shared by its handlers, and the metrics of the request path.
#pragma once

#include "base/metrics.hpp"
#include "base/time.hpp"
#include "caller/answer.hpp"
#include "caller/serving_state.hpp"
#include "http/message.hpp"
#include "http/server.hpp"

#include <memory>
#include <string>

namespace rml::caller {

struct request_context
{
    std::string request_id; ///< sent by the caller or generated; only echoed and logged
    std::shared_ptr<const account_object> account;
    time_point arrival;
    time_point deadline;
    std::uint64_t fingerprint{0}; ///< hash of account, path and body
    const http::request& message;
    http::response_writer& writer;
    yield_context yield;
};

/// Metrics of the request path.
struct request_metrics
{
    explicit request_metrics(metric_registry& registry);

    counter& completed;
    counter& not_run;
    counter& unknown;
    counter& callers_disconnected;
    counter& retries;      ///< attempts that follow an attempt that was sent
    counter& resumes;      ///< attempts that resumed a stream
    counter& retry_denied; ///< retries denied because the retry budget was exhausted
    counter& claims;       ///< once-only requests that were sent
    counter& replays;      ///< once-only requests answered from the stored answer
    gauge& settling;       ///< claims being settled in the background
    latency_histogram& first_token;
    latency_histogram& between_tokens;
    latency_histogram& service_time;

    void count(outcome result);
};

/// Sends an error response and counts its outcome.
void send_error(const request_context& request, request_metrics& metrics, const refusal& refused);

} // namespace rml::caller
