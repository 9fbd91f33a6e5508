/// Answers to callers: error bodies, status codes and the parts of a generation.
#pragma once

#include "base/failure.hpp"
#include "base/time.hpp"
#include "decision/outcome.hpp"
#include "http/message.hpp"

#include <string>

namespace rml::caller {

/// Reason and outcome of a request that ends without the requested answer.
struct refusal
{
    failure reason;
    outcome result{outcome::not_run};
    milliseconds retry_after{0}; ///< 0: no retry-after
    int status{0};               ///< 0: derived from the reason
};

/// HTTP status of a failure, as docs/protocols.md lists them.
int status_of(failure_kind kind);

/// Error body with x-rml-outcome and x-request-id.
http::response make_error(const refusal& refused, const std::string& request_id);

/// Error event that ends an incomplete stream in place of [DONE].
std::string make_error_event(const refusal& refused);

/// Adds x-rml-outcome and x-request-id.
void add_outcome(http::response& answer, outcome result, const std::string& request_id);

/// Server-sent event with one token.
std::string make_token_event(const std::string& request_id, const std::string& token);

/// Events that end a complete stream: finish_reason and [DONE].
std::string make_end_events(const std::string& request_id);

/// Answer to a non-streamed generation request.
http::response make_completion(const std::string& request_id, const std::string& content);

} // namespace rml::caller
