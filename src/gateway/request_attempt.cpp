#include "gateway/request_run.hpp"

#include "base/limits.hpp"
#include "decision/answer_status.hpp"

#include <algorithm>
#include <utility>

namespace rml::gateway::detail {

namespace {

/// Connecting takes a few round trips. TCP retransmits a lost first packet only after 1 s, which is longer
/// than most objectives.
constexpr milliseconds connect_timeout{350};
/// Connecting that goes on when a stopping daemon ends its requests must leave time for the last answers.
constexpr milliseconds last_connect_time{150};
/// Longest idle time of a connection that carries a request that must not run twice: a target may drop an
/// idle connection without notice, and then it is unknown whether the request has run.
constexpr milliseconds non_idempotent_idle_limit{500};
constexpr std::uint32_t max_urgency_value = 9;
/// Weight of the newest request in the smoothed share of failed ones.
constexpr double failure_smoothing = 0.15;
/// 421 Misdirected Request: the target is not the one that the request names, or is not the head of a group.
constexpr int wrong_target_status = 421;

/// Hop-by-hop headers, and `expect` and `content-length`, which are not forwarded either.
bool is_connection_header(std::string_view name)
{
    static constexpr std::string_view names[] = {"connection", "keep-alive",        "proxy-connection",
                                                 "te",         "trailer",           "upgrade",
                                                 "expect",     "transfer-encoding", "content-length"};
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view entry) { return http::equal_names(entry, name); });
}

/// Type and subtype of the content, without parameters; empty when the answer names none.
std::string media_type_of(const http::response& head)
{
    auto type = http::find_header(head.headers, "content-type").value_or("");
    type.resize(std::min(type.find(';'), type.size()));
    type.resize(type.find_last_not_of(" \t") + 1);
    return type;
}

void count_answer_bytes(const target_attempt& attempt, const std::optional<std::string>& part)
{
    if (attempt.traffic != nullptr && part) {
        attempt.traffic->bytes.add(part->size());
    }
}

} // namespace

void request_run::record_result(const target_attempt& attempt, attempt_end end)
{
    auto* state = this->owner.fleet.find_target(attempt.target.instance);
    if (state == nullptr || end == attempt_end::caller_disconnected || attempt.withheld) {
        return;
    }
    if (end == attempt_end::not_run && attempt.refusal_status == wrong_target_status) {
        this->owner.record_fault(*state, target_fault::replaced, steady_clock::now());
    } else if (end == attempt_end::not_run && this->chosen_service->engines) {
        this->owner.record_fault(*state, target_fault::refused, steady_clock::now());
    }
    const bool failed_there = end == attempt_end::lost || end == attempt_end::not_sent ||
                              end == attempt_end::timed_out || end == attempt_end::target_error ||
                              (end == attempt_end::answered && is_target_failure(attempt.head.status));
    state->failure_share += failure_smoothing * ((failed_there ? 1.0 : 0.0) - state->failure_share);
}

std::shared_ptr<target_attempt> request_run::create_attempt(const target_state& state) const
{
    auto out = std::make_shared<target_attempt>();
    out->target = state.entry;
    out->events = event_framer(this->resume_after);
    if (this->primary) {
        out->events = this->primary->events;
        out->events.restart();
    }
    return out;
}

std::optional<request_run::attempt_end> request_run::connect(target_attempt& attempt, http::yield_context in)
{
    const auto now = steady_clock::now();
    const auto& target = attempt.target;
    if (!this->take_allowance(attempt, now)) {
        return attempt_end::not_sent;
    }
    const bool once = !this->chosen_route->idempotent();
    auto bound = this->owner.connections.take_idle(
        target.address, std::nullopt, once ? non_idempotent_idle_limit : limits::target_idle_time);
    attempt.connection_kept = bound.connection != nullptr;
    if (!bound.connection) {
        auto limit = std::min(this->deadline, now + connect_timeout);
        if (this->owner.stop_at) {
            limit = std::min(limit, *this->owner.stop_at + last_connect_time);
        }
        auto opened =
            this->owner.connections.open(target.address, limit, in, target::connection_use::request);
        if (failed(opened)) {
            attempt.reason = error(opened).context;
            // Tells nothing of the target, and another one cannot be reached either.
            attempt.no_descriptor = error(opened).kind == failure_kind::unavailable;
            attempt.withheld = attempt.no_descriptor;
            if (attempt.no_descriptor) {
                return attempt_end::not_sent;
            }
            if (steady_clock::now() >= this->deadline) {
                return attempt_end::timed_out;
            }
            if (auto* known = this->owner.fleet.find_target(target.instance)) {
                this->owner.record_fault(*known, target_fault::unreachable, steady_clock::now());
            }
            return this->caller_disconnected ? attempt_end::caller_disconnected : attempt_end::not_sent;
        }
        bound.connection = value(std::move(opened));
    }
    if (this->caller_disconnected || attempt.superseded) {
        this->owner.connections.give_back(target.address, std::move(bound));
        return this->caller_disconnected ? attempt_end::caller_disconnected : attempt_end::superseded;
    }
    attempt.withheld = !may_send(this->owner.fleet.right_to_send(target.instance, steady_clock::now()));
    if (this->stopping || attempt.withheld) {
        this->owner.connections.give_back(target.address, std::move(bound));
        attempt.reason = this->stopping ? stopping_reason : "target takes no new requests";
        return attempt_end::not_sent;
    }
    // The target may have stated a limit during the connecting.
    if ((attempt.unlimited || !attempt.counted_at) && !this->take_allowance(attempt, steady_clock::now())) {
        this->owner.connections.give_back(target.address, std::move(bound));
        return attempt_end::not_sent;
    }
    attempt.bound = std::move(bound);
    return std::nullopt;
}

bool request_run::take_allowance(target_attempt& attempt, time_point now)
{
    this->give_back_allowance(attempt);
    auto* state = this->owner.fleet.find_target(attempt.target.instance);
    if (state == nullptr) {
        return true;
    }
    if (this->owner.fleet.awaits_first_answer(*state)) {
        attempt.withheld = true;
        attempt.reason = "the target has not answered its first requests";
        return false;
    }
    attempt.is_first = this->owner.fleet.limit_unknown(*state);
    state->first_requests += attempt.is_first ? 1 : 0;
    const auto allowances = this->owner.fleet.allowances(*state, now);
    attempt.unlimited = allowances.empty();
    attempt.withheld = !state->counted_sends.take(allowances, now);
    if (attempt.withheld) {
        attempt.reason = "request limit of the target reached";
        this->end_first_request(attempt);
        return false;
    }
    attempt.counted_at = now;
    return true;
}

void request_run::end_first_request(target_attempt& attempt)
{
    auto* state = this->owner.fleet.find_target(attempt.target.instance);
    if (std::exchange(attempt.is_first, false) && state != nullptr &&
        state->entry.started_ms == attempt.target.started_ms && state->first_requests > 0) {
        --state->first_requests; // 0 if the entry was removed and registered again meanwhile
    }
}

void request_run::give_back_allowance(target_attempt& attempt)
{
    this->end_first_request(attempt);
    auto* state = this->owner.fleet.find_target(attempt.target.instance);
    if (attempt.counted_at && state != nullptr) {
        state->counted_sends.give_back(*attempt.counted_at);
    }
    attempt.counted_at.reset();
}

request_run::attempt_end request_run::begin(target_attempt& attempt, http::yield_context in)
{
    if (const auto end = this->connect(attempt, in); end) {
        this->give_back_allowance(attempt);
        return *end;
    }
    const auto& target = attempt.target.instance;
    attempt.open = true;
    this->owner.fleet.in_flight.begin(target, steady_clock::now());
    attempt.unread_tokens = this->prompt_tokens();
    this->owner.fleet.unread.begin(target, attempt.unread_tokens);
    this->owner.report_scarce_slots(target, steady_clock::now());
    this->owner.attempts[&attempt] = {target, this->chosen_route->idempotent(),
                                      [this, &attempt] { this->on_stalled(attempt); }};
    attempt.crash_ticket = this->owner.guard.begin(this->number, this->features, attempt.target);
    return this->exchange(attempt, in);
}

void request_run::end_reading(target_attempt& attempt)
{
    this->owner.fleet.unread.end(attempt.target.instance, std::exchange(attempt.unread_tokens, 0));
}

void request_run::end_attempt(target_attempt& attempt, attempt_end end, http::yield_context in)
{
    if (std::exchange(attempt.open, false)) {
        this->owner.attempts.erase(&attempt);
        this->end_reading(attempt);
        this->owner.fleet.in_flight.end(attempt.target.instance, attempt.answer_begun);
        this->owner.report_scarce_slots(attempt.target.instance, steady_clock::now());
        this->record_crash_evidence(attempt, end, in);
    }
    this->end_first_request(attempt);
    // A refusal may be written once more with the id of the next request, so its connection is not reused.
    if (end == attempt_end::answered || end == attempt_end::target_error) {
        this->owner.connections.give_back(attempt.target.address, std::move(attempt.bound));
    }
    attempt.bound = {};
    attempt.head.body = {};
    attempt.buffered.reset();
    this->record_result(attempt, end);
}

request_run::attempt_end request_run::exchange(target_attempt& attempt, http::yield_context in)
{
    attempt.bound.connection->update_body_limit(limits::answer_bytes);
    ++this->sends;
    ++this->possible_runs;
    attempt.traffic = this->owner.domains.traffic_to(attempt.target.failure_domain);
    if (attempt.traffic != nullptr) {
        attempt.traffic->requests.add();
        attempt.traffic->bytes.add(this->message.body.size());
    }
    attempt.sent_at = steady_clock::now();
    this->retry_reserved = false;
    if (const auto written =
            attempt.bound.connection->write_request(this->target_request(attempt), this->deadline, in);
        failed(written)) {
        return this->failed_exchange(attempt, error(written));
    }
    return this->receive(attempt, in);
}

void request_run::record_crash_evidence(const target_attempt& attempt, attempt_end end,
                                        http::yield_context in)
{
    const auto* known = this->owner.fleet.find_target(attempt.target.instance);
    const bool leaving = known == nullptr || known->entry.draining;
    // A target that stops within such an answer may close the connection in order.
    const bool unframed = attempt.bound.connection && attempt.bound.connection->ends_with_connection();
    const bool whole = end == attempt_end::answered || end == attempt_end::target_error;
    const bool may_be_lost = end == attempt_end::lost ? attempt.connection_broke : whole && unframed;
    if (may_be_lost && !leaving && !this->stopping) {
        return this->owner.guard.end_broken(attempt.crash_ticket, attempt.target, this->deadline, in);
    }
    const bool answered = end == attempt_end::answered && is_success(attempt.head.status);
    this->owner.guard.end(attempt.crash_ticket, answered, steady_clock::now());
}

request_run::attempt_end request_run::failed_exchange(target_attempt& attempt, const failure& why)
{
    attempt.reason = why.context;
    attempt.connection_broke = why.kind == failure_kind::connection_broken && !attempt.superseded;
    if (this->caller_disconnected) {
        return attempt_end::caller_disconnected;
    }
    if (this->stopping) {
        attempt.reason = stopping_reason;
        return attempt_end::lost;
    }
    if (attempt.superseded) {
        attempt.reason = "target stalled";
        return attempt_end::superseded;
    }
    return why.kind == failure_kind::timeout ? attempt_end::timed_out : attempt_end::lost;
}

bool request_run::record_progress(target_attempt& attempt)
{
    const bool first = !std::exchange(attempt.answer_begun, true);
    this->owner.fleet.in_flight.progress(attempt.target.instance, first, steady_clock::now());
    if (first) {
        this->end_reading(attempt);
    }
    if (auto* state = first ? this->owner.fleet.find_target(attempt.target.instance) : nullptr) {
        state->pause.record_answer(attempt.sent_at);
    }
    if (attempt.superseded) {
        attempt.reason = "target stalled";
        return false;
    }
    if (&attempt == this->primary.get()) {
        this->abandon_standby();
        this->standby_obstacle.clear();
    }
    return true;
}

bool request_run::is_valid_answer(target_attempt& attempt)
{
    const auto& names = this->owner.ports.headers;
    const auto& head = attempt.head;
    const auto answered_id = http::find_header(head.headers, names.request_id);
    if (answered_id && *answered_id != this->request_id) {
        attempt.reason = "answer names another request id";
        return false;
    }
    // A target may write an additional answer to an earlier request, order or status read.
    if (!answered_id && attempt.connection_kept) {
        attempt.reason = "answer on a kept connection names no request id";
        return false;
    }
    if (http::find_header(head.headers, "content-encoding")) {
        attempt.reason = "answer has an unsupported content encoding";
        return false;
    }
    if (is_success(head.status) && !http::find_header(head.headers, names.answer_signature)) {
        attempt.reason = "answer has no signature of a target";
        return false;
    }
    if (is_success(head.status) && http::find_header(head.headers, names.not_executed)) {
        attempt.reason = "success states that the request did not run";
        return false;
    }
    return true;
}

request_run::attempt_end request_run::receive(target_attempt& attempt, http::yield_context in)
{
    auto read = attempt.bound.connection->read_head(this->deadline, in);
    if (failed(read)) {
        return this->failed_exchange(attempt, error(read));
    }
    this->owner.fleet.in_flight.progress(attempt.target.instance, false, steady_clock::now());
    attempt.head = value(std::move(read));
    const auto status = attempt.head.status;
    const auto& names = this->owner.ports.headers;
    const bool valid = this->is_valid_answer(attempt);
    const bool not_run =
        status == wrong_target_status || http::find_header(attempt.head.headers, names.not_executed);
    auto signals = read_signals(attempt.head, names);
    signals.ran_request = valid && !not_run;
    this->owner.fleet.record_signals(attempt.target, signals, steady_clock::now());
    const auto* state = this->owner.fleet.find_target(attempt.target.instance);
    if (attempt.unlimited && signals.ran_request && state != nullptr && !state->limit.latest()) {
        this->give_back_allowance(attempt); // a limit that is stated later does not cover this request
    }
    if (!valid) {
        return attempt_end::lost;
    }
    if (not_run) {
        --this->possible_runs;
        attempt.refusal_status = status;
        attempt.reason = "target refused with " + std::to_string(status);
        return attempt_end::not_run;
    }
    if (promises_not_run(status)) {
        this->owner.unproven_refusals.add();
    }
    if (!may_tell_caller(status, this->chosen_route->idempotent(), this->possible_runs)) {
        attempt.reason = "target answered with " + std::to_string(status) +
                         " without stating that it did not run the request";
        return attempt_end::lost;
    }
    if (this->chosen_route->kind == route_kind::stream && status == 200) {
        attempt.streamed = true;
        return this->read_events(attempt, in);
    }
    const bool beside_another = &attempt != this->primary.get() && this->primary->open;
    if (this->head_sent || (is_target_failure(status) && beside_another)) {
        attempt.reason = "status " + std::to_string(status) +
                         (this->head_sent ? " instead of the rest of a stream" : " of another target");
        return attempt_end::lost;
    }
    return this->read_whole(attempt, in);
}

request_run::attempt_end request_run::read_events(target_attempt& attempt, http::yield_context in)
{
    const auto type = media_type_of(attempt.head);
    if (this->head_sent && !http::equal_names(type, this->media_type)) {
        attempt.reason = "content type '" + type + "' instead of the rest of a stream";
        return attempt_end::lost;
    }
    attempt.complete_events.clear();
    while (attempt.complete_events.empty() && !attempt.complete) {
        auto part = attempt.bound.connection->read_body_part(this->deadline, in);
        if (failed(part)) {
            return this->failed_exchange(attempt, error(part));
        }
        if (!value(part) && !this->head_sent && attempt.bound.connection->ends_with_connection()) {
            attempt.reason = "answer without length ended before its first event";
            return attempt_end::lost;
        }
        if (attempt.superseded) {
            attempt.reason = "target stalled";
            return attempt_end::superseded;
        }
        attempt.complete = !value(part);
        count_answer_bytes(attempt, value(part));
        if (attempt.complete && attempt.events.partial()) {
            attempt.reason = "answer ended within an event";
            attempt.connection_broke = true;
            return attempt_end::lost;
        }
        if (attempt.complete && this->head_sent && attempt.events.expects_next()) {
            attempt.reason = "answer without events instead of the rest of a stream";
            return attempt_end::lost;
        }
        auto events = attempt.events.append(value(part).value_or(""));
        if (failed(events)) {
            attempt.reason = error(events).context;
            return attempt_end::lost;
        }
        attempt.complete_events = value(std::move(events));
    }
    // Single bytes of an event are no progress: a stalled target could keep its request for ever with them.
    if (!this->record_progress(attempt)) {
        return attempt_end::superseded;
    }
    // The head of a chunk and its data, or the parts of one event, are no sign that the answer has gone on.
    if (!attempt.complete_events.empty()) {
        this->owner.guard.record_progress(attempt.crash_ticket, steady_clock::now());
    }
    return attempt_end::begun;
}

request_run::attempt_end request_run::read_whole(target_attempt& attempt, http::yield_context in)
{
    attempt.answer_bytes = this->owner.answer_bytes;
    attempt.buffered = std::make_unique<byte_budget::share>(
        *attempt.answer_bytes, [&attempt] { attempt.bound.connection->close(); });
    while (true) {
        auto part = attempt.bound.connection->read_body_part(this->deadline, in);
        const bool within_budget = succeeded(part) && value(part)
                                       ? attempt.buffered->grow(value(part)->size())
                                       : !attempt.buffered->revoked();
        if (!within_budget) {
            attempt.head.body = {};
            attempt.reason = "answers in progress exceed their memory, and this one is the largest";
            return attempt_end::lost;
        }
        if (failed(part)) {
            return this->failed_exchange(attempt, error(part));
        }
        if (!value(part) && attempt.head.body.empty() && is_success(attempt.head.status) &&
            attempt.bound.connection->ends_with_connection()) {
            attempt.reason = "success without length and body";
            return attempt_end::lost;
        }
        count_answer_bytes(attempt, value(part));
        if (!this->record_progress(attempt)) {
            return attempt_end::superseded;
        }
        if (!value(part)) {
            attempt.complete = true;
            attempt.buffered->settle();
            return attempt_end::begun;
        }
        attempt.head.body += *value(part);
    }
}

request_run::attempt_end request_run::relay()
{
    auto& attempt = *this->primary;
    attempt.awaits_target = false;
    if (!this->head_sent) {
        this->final_status = attempt.head.status;
        this->first_byte = this->since_arrival();
        this->owner.first_byte.record(this->first_byte);
    }
    if (attempt.streamed) {
        return this->relay_stream(attempt);
    }
    auto answer = this->caller_response(attempt.head);
    answer.body = std::move(attempt.head.body);
    this->head_sent = true;
    return failed(this->writer.send(answer)) ? attempt_end::caller_disconnected : attempt_end::answered;
}

request_run::attempt_end request_run::relay_stream(target_attempt& attempt)
{
    // The head is sent with the first event: until then the request can be rerouted or refused.
    if (!this->head_sent) {
        this->media_type = media_type_of(attempt.head);
    }
    if (!std::exchange(this->head_sent, true) &&
        failed(this->writer.start(this->caller_response(attempt.head)))) {
        return attempt_end::caller_disconnected;
    }
    while (true) {
        if (!attempt.complete_events.empty() && failed(this->writer.write(attempt.complete_events))) {
            return attempt_end::caller_disconnected;
        }
        if (attempt.complete) {
            return failed(this->writer.finish()) ? attempt_end::caller_disconnected : attempt_end::answered;
        }
        attempt.awaits_target = true;
        const auto end = this->read_events(attempt, this->yield);
        attempt.awaits_target = false;
        if (end != attempt_end::begun) {
            return end;
        }
    }
}

http::request request_run::target_request(const target_attempt& attempt) const
{
    const auto& names = this->owner.ports.headers;
    http::request out{this->message.method, this->message.target, {}, this->message.body};
    const auto listed = http::find_header(this->message.headers, "connection").value_or("");
    for (const auto& entry : this->message.headers) {
        const bool own = http::equal_names(entry.name, names.deadline_ms) ||
                         http::equal_names(entry.name, names.account) ||
                         http::equal_names(entry.name, names.expected_target) ||
                         http::equal_names(entry.name, names.urgency) ||
                         http::equal_names(entry.name, "authorization") ||
                         (http::equal_names(entry.name, names.last_event_id) && attempt.events.last_id());
        if (!own && !is_connection_header(entry.name) && !http::list_contains(listed, entry.name)) {
            out.headers.push_back(entry);
        }
    }
    const auto time = std::max<std::int64_t>(1, this->remaining_time(steady_clock::now()).count());
    out.headers.push_back({names.deadline_ms, std::to_string(time)});
    out.headers.push_back({names.expected_target, attempt.target.instance.str()});
    if (!this->account.empty()) {
        out.headers.push_back({names.account, this->account});
    }
    if (this->chosen_service->engines) {
        out.headers.push_back({names.urgency, std::to_string(std::min(max_urgency_value, this->priority))});
    }
    if (const auto& last = attempt.events.last_id()) {
        out.headers.push_back({names.last_event_id, std::to_string(*last)});
    }
    return out;
}

http::response request_run::caller_response(const http::response& from) const
{
    http::response out{from.status, {}, {}};
    const auto listed = http::find_header(from.headers, "connection").value_or("");
    for (const auto& entry : from.headers) {
        if (!is_connection_header(entry.name) && !http::list_contains(listed, entry.name)) {
            out.headers.push_back(entry);
        }
    }
    return out;
}

} // namespace rml::gateway::detail
