#include "target/engine_client.hpp"

#include "base/limits.hpp"
#include "target/event_stream.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace rml::target {

namespace {

constexpr std::size_t order_body_bytes = 64 * 1024;

milliseconds since(time_point start)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
}

std::string deadline_header(time_point deadline)
{
    return std::to_string(std::max<std::int64_t>(0, -since(deadline).count()));
}

http::request make_generate_message(const generate_request& request, time_point deadline)
{
    const nlohmann::json body{{"prompt", request.prompt},
                              {"max_tokens", request.max_tokens},
                              {"priority", request.priority},
                              {"resume_tokens", request.resume_tokens}};
    return {"POST",
            "/v1/generate",
            {{"content-type", "application/json"},
             {"x-request-id", request.request_id},
             {"x-rml-deadline-ms", deadline_header(deadline)}},
            body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

http::request make_assign_message(const assign_order& order)
{
    auto members = nlohmann::json::array();
    for (const auto& member : order.members) {
        members.push_back(member.str());
    }
    const nlohmann::json body{{"group", order.group.str()}, {"group_epoch", order.group_epoch},
                              {"rank", order.rank},         {"members", std::move(members)},
                              {"model", order.model.str()}, {"version", order.version},
                              {"fencing", order.fencing}};
    return {"POST", "/assign", {{"content-type", "application/json"}}, body.dump()};
}

struct token_event
{
    std::uint64_t index{0};
    std::string token;
};

result<token_event> decode_token(const std::string& data)
{
    try {
        const auto document = nlohmann::json::parse(data);
        return token_event{document.at("index").get<std::uint64_t>(),
                           document.at("token").get<std::string>()};
    } catch (const nlohmann::json::exception& e) {
        return failure{failure_kind::malformed, std::string("token event: ") + e.what()};
    }
}

/// Polls the sink and closes the connection when the sink is closed, also while no byte arrives.
class sink_watch
{
public:
    sink_watch(http::client_connection& connection, const token_sink& sink, yield_context yield)
        : shared(std::make_shared<watch_state>(http::executor_of(yield), connection, sink))
    {
        arm(this->shared);
    }
    ~sink_watch()
    {
        this->shared->ended = true;
        this->shared->timer.cancel();
    }
    sink_watch(const sink_watch&) = delete;
    sink_watch& operator=(const sink_watch&) = delete;

    bool fired() const { return this->shared->fired; }

private:
    /// Accessed on the coroutine's executor only.
    struct watch_state
    {
        watch_state(const boost::asio::any_io_executor& executor, http::client_connection& connection,
                    const token_sink& sink)
            : timer(executor), connection(connection), sink(sink)
        {
        }
        boost::asio::steady_timer timer;
        http::client_connection& connection;
        const token_sink& sink;
        bool ended{false};
        bool fired{false};
    };

    static void arm(const std::shared_ptr<watch_state>& state)
    {
        state->timer.expires_after(limits::disconnect_poll_interval);
        state->timer.async_wait([state](const boost::system::error_code& code) {
            if (code || state->ended) {
                return;
            }
            if (state->sink.closed()) {
                state->fired = true;
                state->connection.close();
                return;
            }
            arm(state);
        });
    }

    std::shared_ptr<watch_state> shared;
};

/// One generate request on one connection.
class generate_call
{
public:
    generate_call(http::client_connection& connection, const engine_target& target,
                  const generate_request& request, token_sink& sink, time_point deadline, yield_context yield)
        : connection(connection), target(target), request(request), sink(sink), deadline(deadline),
          yield(yield), next_index(request.resume_tokens.size())
    {
    }

    generate_report run()
    {
        this->start = steady_clock::now();
        const sink_watch watch(this->connection, this->sink, this->yield);
        this->report.outcome.on_send();
        if (auto written = this->connection.write_request(
                make_generate_message(this->request, this->deadline), this->deadline, this->yield);
            failed(written)) {
            this->fail(error(written));
        } else if (auto head = this->connection.read_head(this->read_limit(), this->yield); failed(head)) {
            this->fail(error(head));
        } else {
            this->on_head(value(head));
        }
        if (watch.fired() && this->report.end != generate_end::completed) {
            this->report.end = generate_end::sink_closed;
        }
        this->report.total = since(this->start);
        return std::move(this->report);
    }

private:
    time_point read_limit() const
    {
        const auto limit = this->report.tokens == 0 ? limits::first_token_timeout : limits::token_gap_timeout;
        return std::min(this->deadline, steady_clock::now() + limit);
    }

    void fail(failure reason)
    {
        this->report.end =
            reason.kind == failure_kind::timeout ? generate_end::timed_out : generate_end::failed;
        this->report.reason = std::move(reason);
        this->report.outcome.on_lost();
    }

    void on_head(const http::response& head)
    {
        if (http::find_header(head.headers, "x-request-id") != this->request.request_id) {
            return this->fail({failure_kind::malformed, "answer to another request"});
        }
        if (head.status != 200) {
            return this->on_refusal(head);
        }
        const auto group = this->target.group.str() + "@" + std::to_string(this->target.epoch);
        if (http::find_header(head.headers, "x-group") != group) {
            return this->fail({failure_kind::stale, "answer of another group or epoch"});
        }
        if (http::find_header(head.headers, "x-incarnation") != std::to_string(this->target.incarnation)) {
            return this->fail({failure_kind::stale, "answer of another incarnation"});
        }
        this->read_tokens();
    }

    void on_refusal(const http::response& head)
    {
        const bool can_refuse = head.status == 503 || head.status == 429;
        if (!can_refuse || http::find_header(head.headers, "x-not-run") != "true") {
            return this->fail({failure_kind::unavailable, "engine status " + std::to_string(head.status)});
        }
        this->report.outcome.on_refused();
        this->report.end = generate_end::refused;
        this->report.reason = {head.status == 429 ? failure_kind::rate_limited : failure_kind::unavailable,
                               "engine refused"};
    }

    /// Reads the rest of the body, so that the connection can be reused.
    void drain_body()
    {
        const auto limit = std::min(this->deadline, steady_clock::now() + limits::status_timeout);
        while (true) {
            auto part = this->connection.read_body_part(limit, this->yield);
            if (failed(part) || !value(part)) {
                return;
            }
            if (!value(part)->empty()) {
                this->connection.close(); // unexpected bytes after [DONE]
                return;
            }
        }
    }

    void read_tokens()
    {
        while (true) {
            auto event = this->events.next();
            if (failed(event)) {
                return this->fail(error(event));
            }
            if (value(event)) {
                if (!this->on_event(*value(event))) {
                    return;
                }
                continue;
            }
            auto part = this->connection.read_body_part(this->read_limit(), this->yield);
            if (failed(part)) {
                return this->fail(error(part));
            }
            if (!value(part)) {
                return this->fail({failure_kind::connection_broken, "answer cut before its end"});
            }
            this->events.append(*value(part));
        }
    }

    /// Handles one event. Returns false when no further event is to be read.
    bool on_event(const std::string& data)
    {
        if (data == "[DONE]") {
            this->report.end = generate_end::completed;
            this->report.outcome.on_completed();
            if (this->events.partial()) {
                this->connection.close();
            } else {
                this->drain_body();
            }
            return false;
        }
        auto event = decode_token(data);
        if (failed(event)) {
            this->fail(error(event));
            return false;
        }
        if (value(event).index != this->next_index || this->next_index >= this->request.max_tokens) {
            this->fail({failure_kind::malformed, "token " + std::to_string(value(event).index) +
                                                     " in place of " + std::to_string(this->next_index)});
            return false;
        }
        if (this->report.tokens++ == 0) {
            this->report.first_token = since(this->start);
        }
        ++this->next_index;
        if (auto delivered = this->sink.on_token(value(event).token); failed(delivered)) {
            this->fail(error(delivered));
            this->report.end = generate_end::sink_closed;
            return false;
        }
        return true;
    }

    http::client_connection& connection;
    const engine_target& target;
    const generate_request& request;
    token_sink& sink;
    time_point deadline;
    yield_context yield;
    std::uint64_t next_index;
    time_point start;
    event_reader events;
    generate_report report;
};

} // namespace

result<bound_connection> engine_client::connect(const endpoint& engine, engine_status* report,
                                                time_point deadline, yield_context yield)
{
    auto opened = this->connections.open(engine, deadline, yield);
    if (failed(opened)) {
        return error(opened);
    }
    bound_connection bound{value(std::move(opened)), 0};
    const auto limit = std::min(deadline, steady_clock::now() + limits::status_timeout);
    auto answer = bound.connection->exchange({"GET", "/status", {}, ""}, limit, yield);
    if (failed(answer)) {
        return error(answer);
    }
    if (value(answer).status != 200) {
        return failure{failure_kind::unavailable, "engine status " + std::to_string(value(answer).status)};
    }
    auto decoded = decode_engine_status(value(answer).body);
    if (failed(decoded)) {
        return error(decoded);
    }
    bound.incarnation = value(decoded).incarnation;
    *report = value(std::move(decoded));
    return bound;
}

result<bound_connection> engine_client::acquire(const engine_target& target, time_point deadline,
                                                yield_context yield)
{
    if (auto idle = this->connections.take_idle(target.address, target.incarnation); idle.connection) {
        return idle;
    }
    engine_status report;
    auto bound = this->connect(target.address, &report, deadline, yield);
    if (failed(bound)) {
        return bound;
    }
    if (report.incarnation != target.incarnation || report.group != target.group ||
        report.group_epoch != target.epoch || report.rank != 0) {
        this->connections.give_back(target.address, value(std::move(bound)));
        return failure{failure_kind::stale, "engine is not the one of the permit"};
    }
    return bound;
}

result<engine_status> engine_client::read_status(const endpoint& engine, time_point deadline,
                                                 yield_context yield)
{
    auto idle = this->connections.take_idle(engine, std::nullopt);
    if (!idle.connection) {
        engine_status report;
        auto bound = this->connect(engine, &report, deadline, yield);
        if (failed(bound)) {
            return error(bound);
        }
        this->connections.give_back(engine, value(std::move(bound)));
        return report;
    }
    auto answer = idle.connection->exchange({"GET", "/status", {}, ""}, deadline, yield);
    if (failed(answer)) {
        return error(answer);
    }
    if (value(answer).status != 200) {
        return failure{failure_kind::unavailable, "engine status " + std::to_string(value(answer).status)};
    }
    auto report = decode_engine_status(value(answer).body);
    if (succeeded(report) && value(report).incarnation == idle.incarnation) {
        this->connections.give_back(engine, std::move(idle));
    }
    return report;
}

result<engine_status> engine_client::assign(const endpoint& engine, const assign_order& order,
                                            const std::function<status()>& check_before_send,
                                            time_point deadline, yield_context yield)
{
    auto opened = this->connections.open(engine, deadline, yield);
    if (failed(opened)) {
        return error(opened);
    }
    value(opened)->update_body_limit(order_body_bytes);
    if (const auto permitted = check_before_send(); failed(permitted)) {
        return error(permitted);
    }
    auto answer = value(opened)->exchange(make_assign_message(order), deadline, yield);
    if (failed(answer)) {
        return failure{failure_kind::outcome_unknown, "assign: " + error(answer).context};
    }
    if (value(answer).status == 409) {
        return failure{failure_kind::stale, "assign: fencing number refused"};
    }
    if (value(answer).status != 200) {
        return failure{failure_kind::outcome_unknown,
                       "assign: status " + std::to_string(value(answer).status)};
    }
    return decode_engine_status(value(answer).body);
}

generate_report engine_client::generate(const engine_target& target, const generate_request& request,
                                        token_sink& sink, time_point deadline, yield_context yield)
{
    auto acquired = this->acquire(target, deadline, yield);
    if (failed(acquired) || steady_clock::now() >= deadline) {
        generate_report report;
        report.end = generate_end::not_sent;
        report.reason =
            failed(acquired) ? error(acquired) : failure{failure_kind::timeout, "deadline before sending"};
        report.outcome.on_lost();
        return report;
    }
    auto& bound = value(acquired);
    auto report = generate_call(*bound.connection, target, request, sink, deadline, yield).run();
    if (report.end == generate_end::refused) {
        // An engine may write a refusal once more with the id of the next request, so its connection is not
        // reused.
        return report;
    }
    if (report.end == generate_end::completed) {
        this->connections.give_back(target.address, std::move(bound));
    } else if (report.reason.kind != failure_kind::connection_broken ||
               report.end == generate_end::sink_closed) {
        // After a broken connection no cancel is needed: the engine detects the break itself.
        this->cancel_in_background(target.address, request.request_id);
    }
    return report;
}

status engine_client::cancel(const endpoint& engine, const std::string& request_id, time_point deadline,
                             yield_context yield)
{
    auto opened = this->connections.open(engine, deadline, yield);
    if (failed(opened)) {
        return error(opened);
    }
    auto answer = value(opened)->exchange({"DELETE", "/v1/requests/" + request_id, {}, ""}, deadline, yield);
    if (failed(answer)) {
        return error(answer);
    }
    if (value(answer).status == 404) {
        return failure{failure_kind::not_found, "cancel " + request_id};
    }
    if (value(answer).status != 200) {
        return failure{failure_kind::unavailable, "cancel: status " + std::to_string(value(answer).status)};
    }
    return success();
}

void engine_client::cancel_in_background(const endpoint& engine, const std::string& request_id)
{
    boost::asio::spawn(this->context, [this, engine, request_id](yield_context yield) {
        this->cancel(engine, request_id, steady_clock::now() + limits::cancel_timeout, yield);
    });
}

} // namespace rml::target
