#include "gateway/request_run.hpp"

#include "base/log.hpp"
#include "decision/error_retry.hpp"
#include "http/pause.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <utility>

namespace rml::gateway::detail {

namespace {

/// Pause before the next attempt to find a free slot.
constexpr milliseconds slot_retry_interval{25};
constexpr milliseconds min_retry_after{150};
/// Time for which a repeat waits until the loss of its last target is classified: the delay of the
/// classification, this daemon's turn, and a trial of another request with the same part.
constexpr milliseconds repeat_permission_wait = 3 * limits::classification_delay;
/// Retry-After when the load is unknown, for example before the first configuration.
constexpr milliseconds default_retry_after{500};
/// Exceeds the timeout of any route. A caller may state any number of tokens.
constexpr std::chrono::hours max_run_time{1};
/// The smoothed answer time follows about this many answers.
constexpr int answer_time_divisor = 16;
/// Another daemon can take a request that a stopping one refuses.
constexpr milliseconds stopping_retry_after{0};

std::optional<std::uint64_t> parse_count(std::string_view text)
{
    std::uint64_t out = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), out);
    return code == std::errc() && end == text.data() + text.size() ? std::optional(out) : std::nullopt;
}

std::string_view without_port(std::string_view host)
{
    const auto colon = host.rfind(':');
    return colon == std::string_view::npos || host.back() == ']' ? host : host.substr(0, colon);
}

std::string format_seconds(milliseconds time)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << std::chrono::duration<double>(time).count();
    return out.str();
}

/// Parses `prompt,output`.
std::optional<token_counts> parse_token_counts(std::string_view text)
{
    const auto comma = text.find(',');
    const auto prompt = parse_count(text.substr(0, comma));
    const auto output = comma == std::string_view::npos ? std::nullopt : parse_count(text.substr(comma + 1));
    if (!prompt || !output) {
        return std::nullopt;
    }
    return token_counts{static_cast<double>(*prompt), static_cast<double>(*output)};
}

std::chrono::duration<double> prefill_time(const engine_profile& profile, const token_counts& counts)
{
    return std::chrono::duration<double>(
        profile.prompt_tokens_per_s > 0 ? counts.prompt / profile.prompt_tokens_per_s : 0);
}

/// Engine seconds of a request: prefill of its prompt and decoding of its tokens in a half-full batch.
double engine_seconds_of(const engine_profile& profile, const served_model& model, const token_counts& counts)
{
    const auto batch_requests = std::max(1.0, profile.batch_slots / 2.0);
    const std::chrono::duration<double> per_token = profile.step / batch_requests + profile.step_per_request;
    return model.pace * model.group_size *
           (prefill_time(profile, counts) + counts.output * per_token).count();
}

/// Time of a request in a full batch, at most `max_run_time`.
duration full_batch_time(const engine_profile& profile, const served_model& model, const token_counts& counts)
{
    const std::chrono::duration<double> per_token =
        profile.step + profile.step_per_request * static_cast<double>(profile.batch_slots);
    const auto time = model.pace * (prefill_time(profile, counts) + counts.output * per_token);
    return std::chrono::duration_cast<duration>(std::min<std::chrono::duration<double>>(time, max_run_time));
}

} // namespace

request_run::request_run(forwarder& forward_owner, const http::request& request,
                         http::response_writer& answer, http::yield_context coroutine)
    : owner(forward_owner), message(request), writer(answer), yield(coroutine),
      config(forward_owner.fleet.config()), number(forward_owner.next_number++), arrived(steady_clock::now()),
      standby_change(forward_owner.context)
{
}

void request_run::run()
{
    if (!this->reject_if_invalid()) {
        this->forward();
    }
    this->log_request();
}

void request_run::end_for_stop()
{
    this->stopping = true;
    this->close_connections();
    if (this->queued_in != nullptr) {
        this->queued_in->cancel(this->number);
    }
}

void request_run::log_cut() const
{
    log(log_level::error, "request cut by the end of the process",
        {{"request_id", this->request_id},
         {"route", this->chosen_route != nullptr ? this->chosen_route->name : ""},
         {"sends", static_cast<std::int64_t>(this->sends)},
         {"answer_begun", this->head_sent},
         {"took_ms", this->since_arrival().count()}});
}

std::optional<duration> request_run::stated_run_time() const
{
    const auto& engines = this->chosen_service->engines;
    if (!engines) {
        return duration::zero();
    }
    return this->size ? std::optional(full_batch_time(*engines, *engines->find(this->model), *this->size))
                      : std::nullopt;
}

bool request_run::ends_before_stop(time_point now) const
{
    if (!this->owner.stop_at) {
        return true;
    }
    late_request late;
    late.until_stop = *this->owner.stop_at - now;
    late.until_deadline = this->deadline - now;
    const auto run_time = this->stated_run_time();
    const auto delay = this->owner.pools.at(this->pool_of()).delay.value(now);
    if (run_time && delay) {
        late.longest = *run_time + *delay;
    }
    late.once = !this->chosen_route->idempotent();
    return rml::ends_before_stop(late);
}

bool request_run::reject_if_invalid()
{
    const auto& names = this->owner.ports.headers;
    this->request_id = http::find_header(this->message.headers, names.request_id).value_or("");
    if (!this->config) {
        this->refuse(default_retry_after, "no configuration yet");
        return true;
    }
    const auto host = http::find_header(this->message.headers, "host").value_or("");
    this->chosen_route = this->config->find_route(without_port(host), http::path_of(this->message.target));
    if (this->chosen_route == nullptr) {
        this->respond(404, "no such route");
        return true;
    }
    if (!this->find_account()) {
        this->respond(401, "unknown API key");
        return true;
    }
    if (this->request_id.empty()) {
        this->respond(400, "no request id");
        return true;
    }
    const auto stated = http::find_header(this->message.headers, names.deadline_ms);
    const auto wanted = stated ? parse_count(*stated) : std::nullopt;
    auto time = this->chosen_route->timeout;
    if (wanted) {
        time = std::min(time,
                        milliseconds(static_cast<std::int64_t>(std::min<std::uint64_t>(*wanted, 1U << 30U))));
    }
    this->deadline = this->arrived + time;
    this->model = model_id(http::find_header(this->message.headers, names.model).value_or(""));
    this->size =
        parse_token_counts(http::find_header(this->message.headers, names.token_counts).value_or(""));
    const auto last = http::find_header(this->message.headers, names.last_event_id);
    this->resume_after = last ? parse_count(*last) : std::nullopt;
    return false;
}

bool request_run::find_account()
{
    this->priority = this->chosen_route->priority;
    if (!this->config->requires_key()) {
        return true;
    }
    static constexpr std::string_view scheme = "Bearer ";
    const auto credentials = http::find_header(this->message.headers, "authorization").value_or("");
    const auto* found = credentials.compare(0, scheme.size(), scheme) == 0
                            ? this->config->find_account(credentials.substr(scheme.size()))
                            : nullptr;
    if (found == nullptr) {
        return this->chosen_route->without_key;
    }
    this->account = found->name.str();
    this->priority = found->priority.value_or(this->priority);
    return true;
}

void request_run::forward()
{
    this->features.whole = make_fingerprint(account_id(this->account), this->message.target,
                                            this->message.method + this->chosen_route->host +
                                                this->model.str() + this->message.body);
    this->features.parts = shared_prompt_parts(
        http::find_header(this->message.headers, this->owner.ports.headers.prompt_parts).value_or(""));
    if (this->owner.guard.check(this->features, this->arrived) == send_permission::refused) {
        return this->refuse_as_crashing(this->arrived);
    }
    const auto& parts = this->chosen_route->services;
    double sum = 0;
    for (const auto& part : parts) {
        sum += part.weight;
    }
    auto point = std::uniform_real_distribution<double>(0, sum)(this->owner.random);
    auto picked = parts.front().service;
    for (const auto& part : parts) {
        if (part.weight > 0) {
            picked = part.service;
            if (point < part.weight) {
                break;
            }
            point -= part.weight;
        }
    }
    this->chosen_service = this->config->find_service(picked);
    if (this->chosen_service == nullptr) {
        return this->refuse(default_retry_after, "route names an unknown service");
    }
    const auto& engines = this->chosen_service->engines;
    if (engines && engines->find(this->model) == nullptr) {
        return this->refuse(default_retry_after, "service has no such model");
    }
    const auto key = this->pool_of();
    auto& pool = this->owner.pool(key, this->chosen_route->objective);
    if (!this->ends_before_stop(this->arrived)) {
        return this->refuse(stopping_retry_after, stopping_reason);
    }
    if (engines && this->size) {
        pool.arrived_load += engine_seconds_of(*engines, *engines->find(this->model), *this->size);
    }
    this->owner.budget(picked, this->arrived).record_first_try(this->arrived);
    this->writer.on_disconnect([this] {
        this->caller_disconnected = true;
        this->close_connections();
        if (this->queued_in != nullptr) {
            this->queued_in->cancel(this->number);
        }
    });
    // Waits without a slot, which other requests can use meanwhile.
    if (!this->wait_for_classification() || !this->wait_for_slot(key, pool)) {
        return;
    }
    const auto started = steady_clock::now();
    this->run_attempts();
    this->abandon_standby();
    while (this->standby_running) {
        this->wait_for_change();
    }
    this->owner.guard.end_trial(this->number);
    const bool usual = this->outcome == "answered" && this->sends == 1;
    if (const auto run_time = this->stated_run_time(); this->outcome == "answered" && run_time) {
        const auto now = steady_clock::now();
        pool.delay.record(std::max(duration::zero(), now - this->arrived - *run_time), now);
    }
    const auto took = steady_clock::now() - started;
    if (usual) {
        pool.answer_time +=
            pool.answer_time == duration::zero() ? took : (took - pool.answer_time) / answer_time_divisor;
    }
    pool.queue->finish(usual ? took : duration::zero());
}

bool request_run::refuse_during_pause(const pool_key& key, milliseconds longest_wait)
{
    const auto left = this->owner.pause_left(key, steady_clock::now());
    if (!left || *left <= longest_wait) {
        return false;
    }
    this->refuse(this->owner.retry_after_pause(*left), "all targets asked for a pause");
    return true;
}

bool request_run::wait_for_slot(const pool_key& key, const forwarder::pool_state& pool)
{
    if (this->refuse_during_pause(key, pool.longest_wait)) {
        return false;
    }
    auto& queue = *pool.queue;
    admission_request wanted;
    wanted.ticket = this->number;
    wanted.account = account_id(this->account);
    wanted.priority = this->priority;
    wanted.deadline = this->deadline;
    this->queued_in = &queue;
    const auto answer = queue.wait(wanted, this->yield);
    this->queued_in = nullptr;
    this->waited = this->since_arrival();
    if (this->stopping && !this->caller_disconnected) {
        if (answer.verdict == slot_verdict::granted) {
            queue.finish(duration::zero());
        }
        this->refuse(stopping_retry_after, stopping_reason);
        return false;
    }
    if (this->caller_disconnected || answer.verdict == slot_verdict::caller_disconnected) {
        if (answer.verdict == slot_verdict::granted) {
            queue.finish(duration::zero());
        }
        this->outcome = "caller disconnected";
        this->owner.disconnected.add();
        return false;
    }
    if (answer.verdict == slot_verdict::refused) {
        if (this->refuse_during_pause(key, milliseconds(0))) {
            return false;
        }
        this->refuse(answer.retry_after, answer.reason == refusal_reason::no_capacity
                                             ? "no target is available"
                                             : "no slot within the longest wait");
        return false;
    }
    return true;
}

void request_run::refuse_as_crashing(time_point now)
{
    this->owner.guard.record_refusal();
    this->refuse(default_retry_after,
                 "would crash its target: " + this->owner.guard.describe_suspect(this->features, now));
}

bool request_run::wait_for_classification()
{
    const auto limit = std::min(this->deadline, this->arrived + this->chosen_route->objective / 2);
    while (!this->caller_disconnected) {
        const auto now = steady_clock::now();
        const auto permission = this->owner.guard.check(this->features, now);
        if (this->stopping) {
            this->refuse(stopping_retry_after, stopping_reason);
            return false;
        }
        if (permission == send_permission::refused) {
            this->refuse_as_crashing(now);
            return false;
        }
        if (permission != send_permission::later) {
            return true;
        }
        if (now >= limit) {
            this->refuse(default_retry_after, "suspected of crashing its target: " +
                                                  this->owner.guard.describe_suspect(this->features, now));
            return false;
        }
        http::pause(slot_retry_interval, this->yield);
    }
    this->outcome = "caller disconnected";
    this->owner.disconnected.add();
    return false;
}

bool request_run::wait_for_permission()
{
    // A repeat has to wait for the classification of the loss that ended the attempt before.
    const auto latest = this->sends == 0 ? this->arrived + this->chosen_route->objective / 2
                                         : steady_clock::now() + repeat_permission_wait;
    const auto limit = std::min(this->deadline, latest);
    while (!this->caller_disconnected && !this->stopping) {
        const auto now = steady_clock::now();
        const auto permission = this->owner.guard.request_send(this->number, this->features, now);
        this->trial = permission == send_permission::trial;
        if (permission == send_permission::allowed || this->trial) {
            return true;
        }
        if (permission == send_permission::refused || now >= limit) {
            const bool refused = permission == send_permission::refused;
            if (refused) {
                this->owner.guard.record_refusal();
            }
            this->reason +=
                (this->reason.empty() ? "" : "; ") +
                std::string(refused ? "would crash its target: " : "suspected of crashing its target: ") +
                this->owner.guard.describe_suspect(this->features, now);
            return false;
        }
        http::pause(slot_retry_interval, this->yield);
    }
    return true;
}

pool_key request_run::pool_of() const
{
    return {this->chosen_service->name, this->chosen_service->engines ? this->model : model_id()};
}

std::uint32_t request_run::prompt_tokens() const
{
    const auto& engines = this->chosen_service->engines;
    const bool counts = engines && engines->prompt_tokens_per_s > 0 && this->size;
    return counts ? counted_prompt(this->size->prompt) : 0;
}

std::optional<instance_id> request_run::choose()
{
    const auto now = steady_clock::now();
    auto candidates = this->owner.candidates(this->pool_of(), this->tried, now);
    if (this->trial) {
        const auto occupied = [this](const target_candidate& candidate) {
            return this->owner.guard.has_trial(candidate.instance);
        };
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), occupied), candidates.end());
    }
    const auto domain = this->owner.choose_domain(this->pool_of(), candidates);
    this->awaits_first_answer = any_awaits_first_answer(candidates);
    const auto random = this->owner.random();
    const auto estimate = this->owner.estimate_first_token(this->pool_of(), this->prompt_tokens(), now);
    const auto index =
        this->trial ? choose_least_loaded(candidates, random) : choose_target(candidates, random, estimate);
    if (index && domain) {
        this->owner.domains.record(*domain, candidates[*index]);
    }
    this->expected_first_token = index && estimate ? estimate(candidates[*index]) : std::nullopt;
    if (this->expected_first_token) {
        this->owner.expected_first_token.record(
            std::chrono::duration_cast<microseconds>(*this->expected_first_token));
    }
    return index ? std::optional(candidates[*index].instance) : std::nullopt;
}

time_point request_run::choice_limit() const
{
    // The queue's count of free slots is some ten milliseconds old: a target may since be full or stalled.
    // A repeat waits only for the first answer of a target.
    const auto limit = this->sends == 0 ? this->arrived + this->chosen_route->objective / 2 : time_point{};
    if (!this->awaits_first_answer) {
        return limit;
    }
    const auto longest = this->arrived + this->owner.pools.at(this->pool_of()).longest_wait;
    return std::min(this->deadline, std::max(limit, longest));
}

std::optional<instance_id> request_run::choose_or_wait()
{
    // A repeat that is a trial waits for the trials of other requests.
    const bool repeated_trial = this->trial && this->sends > 0;
    const auto trial_limit = steady_clock::now() + repeat_permission_wait;
    auto found = this->choose();
    if (!found && this->awaits_first_answer) {
        this->owner.first_answer_waits.add();
    }
    while (!found && !this->caller_disconnected && !this->stopping &&
           steady_clock::now() < (repeated_trial ? trial_limit : this->choice_limit())) {
        http::pause(slot_retry_interval, this->yield);
        found = this->choose();
    }
    return found;
}

void request_run::run_attempts()
{
    while (true) {
        if (!this->wait_for_permission()) {
            return this->finish_unanswered();
        }
        // A stream that has begun goes on: it is cut at the stop at the latest.
        if (!this->head_sent && !this->ends_before_stop(steady_clock::now())) {
            this->reason = stopping_reason;
            return this->finish_unanswered();
        }
        const auto target = this->choose_or_wait();
        auto* state = target ? this->owner.fleet.find_target(*target) : nullptr;
        if (this->caller_disconnected) {
            this->outcome = "caller disconnected";
            this->owner.disconnected.add();
            return;
        }
        if (this->stopping) {
            this->reason = stopping_reason;
            return this->finish_unanswered();
        }
        if (state == nullptr) {
            const auto* none =
                this->awaits_first_answer ? "no target has answered yet" : "no target has a free slot";
            this->reason = this->tried.empty() ? none : this->reason + "; no other target";
            return this->finish_unanswered();
        }
        this->tried.push_back(*target);
        this->primary = this->create_attempt(*state);
        const auto end = this->run_primary();
        this->owner.guard.end_trial(this->number);
        if (end == attempt_end::answered) {
            this->outcome = "answered";
            this->owner.answered.add();
            return;
        }
        if (end == attempt_end::caller_disconnected || this->caller_disconnected) {
            this->outcome = "caller disconnected";
            this->owner.disconnected.add();
            this->writer.abort();
            return;
        }
        if (!this->may_retry(end)) {
            return this->finish_unanswered();
        }
        this->owner.resumed.add();
        log(log_level::info, "request rerouted",
            {{"request_id", this->request_id},
             {"from", this->primary->target.instance.str()},
             {"reason", this->reason},
             {"last_event", static_cast<std::int64_t>(this->primary->events.last_id().value_or(0))}});
    }
}

request_run::attempt_end request_run::run_primary()
{
    auto end = this->begin(*this->primary, this->yield);
    while (true) {
        if (end == attempt_end::begun && this->is_retryable_error(*this->primary)) {
            end = attempt_end::target_error;
            this->keep_error(*this->primary);
        }
        if (end == attempt_end::begun) {
            end = this->relay();
        }
        if (!this->primary->reason.empty()) {
            this->reason = this->primary->reason;
            if (!this->standby_obstacle.empty()) {
                this->reason = "target stalled, " + this->standby_obstacle + "; " + this->reason;
            }
        }
        this->end_attempt(*this->primary, end, this->yield);
        const bool final = end == attempt_end::answered || end == attempt_end::caller_disconnected ||
                           end == attempt_end::timed_out;
        if (final || !this->wait_for_standby()) {
            return end;
        }
        log(log_level::info, "request rerouted",
            {{"request_id", this->request_id},
             {"from", this->primary->target.instance.str()},
             {"to", this->standby->target.instance.str()},
             {"reason", this->reason},
             {"last_event", static_cast<std::int64_t>(this->primary->events.last_id().value_or(0))}});
        this->primary = std::move(this->standby);
        end = attempt_end::begun;
    }
}

bool request_run::may_retry(attempt_end end)
{
    const auto now = steady_clock::now();
    if (this->stopping || end == attempt_end::timed_out || now >= this->deadline) {
        return false;
    }
    if (this->head_sent && !this->primary->events.resumable()) {
        this->reason += "; the last event of the stream has no id";
        return false;
    }
    if (end == attempt_end::not_sent) {
        return !this->primary->no_descriptor; // no target has received the request
    }
    if (this->sends >= this->chosen_route->max_attempts) {
        this->reason += "; attempt limit of the route reached";
        return false;
    }
    if (end != attempt_end::not_run && !this->chosen_route->idempotent()) {
        return false;
    }
    if (!this->reserve_retry(now, end == attempt_end::target_error ? error_retry_budget_part : 1)) {
        this->reason += "; retry budget exhausted";
        return false;
    }
    return true;
}

bool request_run::reserve_retry(time_point now, double part)
{
    if (!this->retry_reserved) {
        this->retry_reserved = this->owner.budget(this->chosen_service->name, now).try_retry(now, part);
    }
    return this->retry_reserved;
}

bool request_run::is_retryable_error(const target_attempt& attempt) const
{
    if (!attempt.complete || attempt.streamed || this->stopping) {
        return false;
    }
    const auto now = steady_clock::now();
    answered_attempt answer;
    answer.status = attempt.head.status;
    answer.idempotent = this->chosen_route->idempotent();
    answer.answer_started = this->head_sent;
    answer.sends = this->sends;
    answer.max_attempts = this->chosen_route->max_attempts;
    answer.took = now - attempt.sent_at;
    answer.until_deadline = this->deadline - now;
    return retries_after_error(answer);
}

void request_run::keep_error(target_attempt& attempt)
{
    attempt.reason = "target answered with " + std::to_string(attempt.head.status);
    this->kept_error = std::move(attempt.head);
    this->answer_bytes = attempt.answer_bytes;
    this->kept_error_bytes = std::move(attempt.buffered);
    if (this->chosen_route->kind == route_kind::repeatable) {
        // The error still reaches the caller in time when the next target does not answer.
        const auto now = steady_clock::now();
        this->deadline = now + (this->deadline - now) / 2;
    }
}

void request_run::send_kept_error()
{
    this->final_status = this->kept_error->status;
    this->first_byte = this->since_arrival();
    this->owner.first_byte.record(this->first_byte);
    this->head_sent = true;
    auto answer = this->caller_response(*this->kept_error);
    answer.body = std::move(this->kept_error->body);
    if (failed(this->writer.send(answer))) {
        this->outcome = "caller disconnected";
        this->owner.disconnected.add();
        return;
    }
    this->outcome = "answered";
    this->owner.answered.add();
}

void request_run::finish_unanswered()
{
    if (this->kept_error && !this->head_sent) {
        return this->send_kept_error();
    }
    if (this->head_sent) {
        // Aborts the connection, so that the caller cannot take the partial answer for a complete one.
        this->outcome = "aborted";
        this->owner.failed_requests.add();
        this->writer.abort();
        return;
    }
    if (this->possible_runs == 0) {
        const bool stops = this->owner.stop_at.has_value();
        const auto left = stops ? std::nullopt : this->owner.pause_left(this->pool_of(), steady_clock::now());
        const auto usual = stops ? stopping_retry_after : min_retry_after;
        return this->refuse(left ? this->owner.retry_after_pause(*left) : usual, this->reason);
    }
    this->respond(steady_clock::now() >= this->deadline ? 504 : 502, this->reason);
}

void request_run::refuse(milliseconds retry_after, const std::string& why)
{
    this->outcome = "refused";
    this->reason = why;
    this->final_status = 503;
    this->owner.refused.add();
    auto answer = http::json_response(503, R"({"error":"not run"})");
    answer.headers.push_back({"Retry-After", format_seconds(retry_after)});
    if (failed(this->writer.send(answer))) {
        this->reason += "; caller disconnected before the refusal";
    }
}

void request_run::respond(int status, const std::string& why)
{
    this->outcome = status < 500 ? "rejected" : "failed";
    this->reason = why;
    this->final_status = status;
    this->owner.failed_requests.add();
    const auto body = R"({"error":{"status":)" + std::to_string(status) + "}}";
    if (failed(this->writer.send(http::json_response(status, body)))) {
        this->reason += "; caller disconnected before the answer";
    }
}

milliseconds request_run::remaining_time(time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(this->deadline - now);
}

milliseconds request_run::since_arrival() const
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - this->arrived);
}

void request_run::log_request() const
{
    std::string targets;
    for (const auto& target : this->tried) {
        targets += (targets.empty() ? "" : ",") + target.str();
    }
    const auto took = this->since_arrival();
    this->owner.total.record(took);
    const auto expected =
        std::chrono::duration_cast<milliseconds>(this->expected_first_token.value_or(milliseconds(-1)));
    log(log_level::info, "request",
        {{"request_id", this->request_id},
         {"route", this->chosen_route != nullptr ? this->chosen_route->name : ""},
         {"account", this->account},
         {"model", this->model.str()},
         {"config", static_cast<std::int64_t>(this->config ? this->config->version() : 0)},
         {"outcome", this->outcome},
         {"status", static_cast<std::int64_t>(this->final_status)},
         {"reason", this->reason},
         {"targets", targets},
         {"waited_ms", this->waited.count()},
         {"expected_first_token_ms", expected.count()},
         {"first_byte_ms", this->first_byte.count()},
         {"took_ms", took.count()}});
}

} // namespace rml::gateway::detail
