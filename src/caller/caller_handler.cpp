#include "caller/caller_handler.hpp"

#include "base/hash.hpp"
#include "base/limits.hpp"
#include "caller/request_id.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace rml::caller {

namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view entries_path = "/v1/entries";
constexpr std::string_view services_prefix = "/services/";
// Other methods, such as HEAD and CONNECT, frame their responses differently.
constexpr std::array<std::string_view, 5> service_methods{"GET", "POST", "PUT", "PATCH", "DELETE"};

/// Request id sent by the caller, or a new one if the header is missing or empty. Fails with `malformed`.
result<std::string> read_request_id(const http::request& message)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    auto id = http::find_header(message.headers, "x-request-id");
    if (!id || id->empty()) {
        return create_random_id();
    }
    if (id->size() > limits::request_id_bytes || id->find_first_not_of(allowed) != std::string::npos) {
        return failure{failure_kind::malformed, "x-request-id: up to 128 letters, digits, '.', '_' or '-'"};
    }
    return std::move(*id);
}

/// Deadline of the request: arrival plus the remaining time stated by the caller, at most
/// limits::max_request_time. Fails with `malformed`.
result<time_point> read_deadline(const http::request& message, time_point arrival)
{
    const auto text = http::find_header(message.headers, "x-rml-deadline-ms");
    if (!text) {
        return arrival + limits::max_request_time;
    }
    std::uint64_t remaining_ms = 0;
    const auto* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, remaining_ms);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return failure{failure_kind::malformed, "x-rml-deadline-ms: milliseconds expected"};
    }
    const auto limit = static_cast<std::uint64_t>(limits::max_request_time.count());
    return arrival + milliseconds(static_cast<std::int64_t>(std::min(remaining_ms, limit)));
}

std::optional<std::string> read_token(const http::request& message)
{
    constexpr std::string_view scheme = "Bearer ";
    auto header = http::find_header(message.headers, "authorization");
    if (!header || header->size() <= scheme.size() || header->substr(0, scheme.size()) != scheme) {
        return std::nullopt;
    }
    return header->substr(scheme.size());
}

template <class Id>
bool contains(const std::vector<Id>& ids, const Id& wanted)
{
    return std::find(ids.begin(), ids.end(), wanted) != ids.end();
}

bool is_open_path(std::string_view path)
{
    return path == "/healthz" || path == "/readyz" || path == "/metrics";
}

} // namespace

caller_handler::caller_handler(boost::asio::io_context& context, serving_state& state,
                               target::connection_pool& connections, metric_registry& registry)
    : state(state), registry(registry), engines(context, connections), services(connections),
      metrics(registry), generations(state, this->engines, this->metrics),
      service_calls(context, state, this->services, this->metrics)
{
}

void caller_handler::handle(const http::request& message, http::response_writer& writer, yield_context yield)
{
    if (is_open_path(http::path_of(message.target))) {
        return this->handle_open(message, writer, yield);
    }
    const auto arrival = steady_clock::now();
    request_context request{create_random_id(), nullptr, arrival, arrival, 0, message, writer, yield};
    if (auto id = read_request_id(message); failed(id)) {
        return send_error(request, this->metrics, {error(id), {}, {}, 0});
    } else {
        request.request_id = value(std::move(id));
    }
    const auto deadline = read_deadline(message, arrival);
    if (failed(deadline)) {
        return send_error(request, this->metrics, {error(deadline), {}, {}, 0});
    }
    request.deadline = value(deadline);
    if (const auto token = read_token(message)) {
        request.account = this->state.find_account(*token);
    }
    if (!request.account) {
        return send_error(request, this->metrics,
                          {{failure_kind::unauthorized, "bearer token missing or not known"}, {}, {}, 0});
    }
    const auto seed = hash64(request.account->name.str(), hash64(http::path_of(message.target)));
    request.fingerprint = hash64(message.body, seed);
    this->handle_authenticated(request);
}

void caller_handler::handle_open(const http::request& message, http::response_writer& writer, yield_context)
{
    const auto path = http::path_of(message.target);
    http::response answer{200, {{"content-type", "text/plain; version=0.0.4"}}, "ok\n"};
    if (message.method != "GET") {
        answer.status = 405;
        answer.body = "GET expected\n";
    } else if (path == "/metrics") {
        answer.body = this->registry.render();
    } else if (path == "/readyz" && !this->state.ready()) {
        answer.status = 503;
        answer.body = "not ready\n";
    }
    writer.send(answer);
}

void caller_handler::handle_authenticated(const request_context& request)
{
    const auto path = http::path_of(request.message.target);
    const auto& method = request.message.method;
    if (path == chat_path && method == "POST") {
        return this->handle_chat(request);
    }
    if (path == entries_path && method == "GET") {
        return this->handle_entries(request);
    }
    if (path.substr(0, services_prefix.size()) == services_prefix) {
        return this->handle_service(request);
    }
    send_error(request, this->metrics, {{failure_kind::not_found, "no such call"}, {}, {}, 0});
}

void caller_handler::handle_chat(const request_context& request)
{
    const auto chat = parse_chat_request(request.message.body);
    if (failed(chat)) {
        return send_error(request, this->metrics, {error(chat), {}, {}, 0});
    }
    if (!contains(request.account->pools, value(chat).pool)) {
        return send_error(request, this->metrics,
                          {{failure_kind::refused, "account has no right to the model"}, {}, {}, 0});
    }
    this->generations.run(request, value(chat));
}

void caller_handler::handle_service(const request_context& request)
{
    const auto& method = request.message.method;
    if (std::find(service_methods.begin(), service_methods.end(), method) == service_methods.end()) {
        return send_error(request, this->metrics,
                          {{failure_kind::malformed, "method " + method + " is not passed on"}, {}, {}, 0});
    }
    const auto path = parse_service_path(request.message.target);
    if (failed(path)) {
        return send_error(request, this->metrics, {error(path), {}, {}, 0});
    }
    const auto& name = value(path).service;
    if (!contains(request.account->services, name)) {
        return send_error(request, this->metrics,
                          {{failure_kind::refused, "account has no right to the service"}, {}, {}, 0});
    }
    const auto service = this->state.find_service(name);
    if (!service) {
        return send_error(request, this->metrics,
                          {{failure_kind::not_found, "service " + name.str()}, {}, {}, 0});
    }
    this->service_calls.run(request, *service, value(path));
}

void caller_handler::handle_entries(const request_context& request)
{
    const auto listed = this->state.entries();
    auto entries = nlohmann::json::array();
    for (const auto& entry : listed.entries) {
        entries.push_back(to_string(entry));
    }
    const nlohmann::json body{{"entries", std::move(entries)}, {"lifetime_ms", listed.lifetime.count()}};
    auto answer = http::json_response(200, body.dump());
    add_outcome(answer, outcome::completed, request.request_id);
    request.writer.send(answer);
}

} // namespace rml::caller
