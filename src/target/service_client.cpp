#include "target/service_client.hpp"

#include <algorithm>
#include <utility>

namespace rml::target {

namespace {

milliseconds since(time_point start)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
}

http::request make_request(const service_call& call, time_point deadline)
{
    http::request message{call.method, call.target, {{"x-request-id", call.request_id}}, call.body};
    const auto remaining_ms = std::max<std::int64_t>(0, -since(deadline).count());
    message.headers.push_back({"x-rml-deadline-ms", std::to_string(remaining_ms)});
    if (!call.content_type.empty()) {
        message.headers.push_back({"content-type", call.content_type});
    }
    if (!call.idempotency_key.empty()) {
        message.headers.push_back({"idempotency-key", call.idempotency_key});
    }
    return message;
}

void on_failure(service_report& report, const failure& reason)
{
    report.outcome.on_lost();
    report.end = reason.kind == failure_kind::timeout ? service_end::timed_out : service_end::failed;
    report.reason = reason;
}

void on_answer(service_report& report, const service_call& call, http::response answer)
{
    if (http::find_header(answer.headers, "x-request-id") != call.request_id) {
        return on_failure(report, {failure_kind::malformed, "answer to another request"});
    }
    if (answer.status == 503 && http::find_header(answer.headers, "x-not-run") == "true") {
        report.outcome.on_refused();
        report.end = service_end::refused;
        report.reason = {failure_kind::unavailable, "service refused"};
        return;
    }
    report.outcome.on_completed();
    report.end = service_end::answered;
    report.answer = std::move(answer);
}

} // namespace

service_report service_client::call(const endpoint& service, const service_call& request, time_point deadline,
                                    yield_context yield)
{
    const auto start = steady_clock::now();
    service_report report;
    bound_connection bound;
    if (!request.once_only) {
        bound = this->connections.take_idle(service, 0);
    }
    if (!bound.connection) {
        auto opened = this->connections.open(service, deadline, yield);
        if (failed(opened)) {
            report.outcome.on_lost();
            report.reason = error(opened);
            return report;
        }
        bound.connection = value(std::move(opened));
    }
    if (steady_clock::now() >= deadline) {
        report.outcome.on_lost();
        report.reason = {failure_kind::timeout, "deadline before sending"};
        return report;
    }
    report.outcome.on_send();
    auto answer = bound.connection->exchange(make_request(request, deadline), deadline, yield);
    if (failed(answer)) {
        on_failure(report, error(answer));
    } else {
        on_answer(report, request, value(std::move(answer)));
        if (report.end != service_end::failed) {
            this->connections.give_back(service, std::move(bound));
        }
    }
    report.total = since(start);
    return report;
}

} // namespace rml::target
