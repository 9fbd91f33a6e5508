#include "caller/answer.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace rml::caller {

namespace {

using nlohmann::json;

std::string dump(const json& document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string event(const std::string& data)
{
    return "data: " + data + "\n\n";
}

json error_object(const refusal& refused)
{
    json body{{"kind", std::string(to_string(refused.reason.kind))},
              {"message", refused.reason.context},
              {"outcome", std::string(to_string(refused.result))}};
    if (refused.retry_after.count() > 0) {
        body["retry_after_ms"] = refused.retry_after.count();
    }
    return json{{"error", std::move(body)}};
}

json chunk(const std::string& request_id, json choice)
{
    choice["index"] = 0;
    return json{{"id", request_id},
                {"object", "chat.completion.chunk"},
                {"choices", json::array({std::move(choice)})}};
}

} // namespace

int status_of(failure_kind kind)
{
    switch (kind) {
    case failure_kind::malformed:
        return 400;
    case failure_kind::unauthorized:
        return 401;
    case failure_kind::refused:
        return 403;
    case failure_kind::not_found:
        return 404;
    case failure_kind::conflict:
        return 422;
    case failure_kind::outcome_unknown:
        return 409;
    case failure_kind::too_large:
        return 413;
    case failure_kind::rate_limited:
        return 429;
    case failure_kind::connection_broken:
    case failure_kind::connection_refused:
        return 502;
    case failure_kind::timeout:
        return 504;
    case failure_kind::unavailable:
    case failure_kind::stale:
    case failure_kind::lapsed:
    case failure_kind::invalid_settings:
        break;
    }
    return 503;
}

void add_outcome(http::response& answer, outcome result, const std::string& request_id)
{
    answer.headers.push_back({"x-rml-outcome", std::string(to_string(result))});
    answer.headers.push_back({"x-request-id", request_id});
}

http::response make_error(const refusal& refused, const std::string& request_id)
{
    const int status = refused.status != 0 ? refused.status : status_of(refused.reason.kind);
    auto answer = http::json_response(status, dump(error_object(refused)));
    add_outcome(answer, refused.result, request_id);
    if (refused.retry_after.count() > 0) {
        const auto rounded_up = std::chrono::ceil<seconds>(refused.retry_after);
        answer.headers.push_back({"retry-after", std::to_string(rounded_up.count())});
    }
    return answer;
}

std::string make_error_event(const refusal& refused)
{
    return event(dump(error_object(refused)));
}

std::string make_token_event(const std::string& request_id, const std::string& token)
{
    return event(dump(chunk(request_id, json{{"delta", {{"content", token}}}})));
}

std::string make_end_events(const std::string& request_id)
{
    return event(dump(chunk(request_id, json{{"delta", json::object()}, {"finish_reason", "stop"}}))) +
           event("[DONE]");
}

http::response make_completion(const std::string& request_id, const std::string& content)
{
    const json choice{
        {"index", 0}, {"message", {{"role", "assistant"}, {"content", content}}}, {"finish_reason", "stop"}};
    const json body{{"id", request_id}, {"object", "chat.completion"}, {"choices", json::array({choice})}};
    auto answer = http::json_response(200, dump(body));
    add_outcome(answer, outcome::completed, request_id);
    return answer;
}

} // namespace rml::caller
