#include "caller/request_context.hpp"

namespace rml::caller {

namespace {

counter& outcome_counter(metric_registry& registry, outcome result)
{
    return registry.create_counter("rml_requests_total", "Requests by outcome.",
                                   {{"outcome", std::string(to_string(result))}});
}

} // namespace

request_metrics::request_metrics(metric_registry& registry)
    : completed(outcome_counter(registry, outcome::completed)),
      not_run(outcome_counter(registry, outcome::not_run)),
      unknown(outcome_counter(registry, outcome::unknown)),
      callers_disconnected(
          registry.create_counter("rml_callers_gone_total", "Callers that left before the answer.")),
      retries(registry.create_counter("rml_retries_total", "Attempts after one that was sent.")),
      resumes(registry.create_counter("rml_resumes_total", "Attempts that resumed a stream.")),
      retry_denied(registry.create_counter("rml_retries_denied_total", "Retries above the budget.")),
      claims(registry.create_counter("rml_once_only_sent_total", "Once-only requests that were sent.")),
      replays(registry.create_counter("rml_once_only_replayed_total",
                                      "Once-only requests answered from the stored answer.")),
      settling(registry.create_gauge("rml_claims_settling", "Claims being settled in the background.")),
      first_token(registry.create_histogram("rml_first_token_seconds", "Arrival to first token.")),
      between_tokens(registry.create_histogram("rml_between_tokens_seconds", "Time between tokens.")),
      service_time(registry.create_histogram("rml_service_seconds", "Time of service calls."))
{
}

void request_metrics::count(outcome result)
{
    switch (result) {
    case outcome::completed:
        return this->completed.add();
    case outcome::not_run:
        return this->not_run.add();
    case outcome::unknown:
        return this->unknown.add();
    }
}

void send_error(const request_context& request, request_metrics& metrics, const refusal& refused)
{
    metrics.count(refused.result);
    request.writer.send(make_error(refused, request.request_id));
}

} // namespace rml::caller
