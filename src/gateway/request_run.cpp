#include "gateway/request_run.hpp"

#include "base/log.hpp"
#include "gateway/coroutine.hpp"
#include "http/pause.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <utility>

namespace rml::gateway::detail {

namespace {

/// Connecting takes a few round trips. TCP retransmits a lost first packet only after 1 s, which is longer
/// than most objectives.
constexpr milliseconds connect_timeout{350};
/// Longest idle time of a connection that carries a request that must not run twice: a target may drop an
/// idle connection without notice, and then it is unknown whether the request has run.
constexpr milliseconds non_idempotent_idle_limit{500};
/// Pause before the next attempt to find a free slot.
constexpr milliseconds slot_retry_interval{25};
/// Interval in which a request at a stalled target looks for another one.
constexpr milliseconds standby_interval{200};
constexpr milliseconds min_retry_after{150};
/// Time for which a repeat waits until the loss of its last target is classified: the delay of the
/// classification, and a trial of another request with the same part.
constexpr milliseconds repeat_permission_wait = 2 * limits::classification_delay;
/// Retry-After when the load is unknown, for example before the first configuration.
constexpr milliseconds default_retry_after{500};
/// Another daemon can take a request that a stopping one refuses.
constexpr milliseconds stopping_retry_after{0};
constexpr const char* stopping_reason = "daemon is stopping";
constexpr std::size_t max_buffered_body_bytes = 16 * 1024 * 1024;
constexpr std::uint32_t max_urgency_value = 9;
/// Weight of the newest request in the smoothed share of failed ones.
constexpr double failure_smoothing = 0.15;

/// 421 Misdirected Request: the target is not the one that the request names, or is not the head of a group.
constexpr int wrong_target_status = 421;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

/// Hop-by-hop headers, and `expect` and `content-length`, which are not forwarded either.
bool is_connection_header(std::string_view name)
{
    static constexpr std::string_view names[] = {"connection", "keep-alive",        "proxy-connection",
                                                 "te",         "trailer",           "upgrade",
                                                 "expect",     "transfer-encoding", "content-length"};
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view entry) { return http::equal_names(entry, name); });
}

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

/// Type and subtype of the content, without parameters; empty when the answer names none.
std::string media_type_of(const http::response& head)
{
    auto type = http::find_header(head.headers, "content-type").value_or("");
    type.resize(std::min(type.find(';'), type.size()));
    type.resize(type.find_last_not_of(" \t") + 1);
    return type;
}

std::string format_seconds(milliseconds time)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << std::chrono::duration<double>(time).count();
    return out.str();
}

/// Engine seconds of a request: prefill of its prompt and decoding of its tokens in a half-full batch.
double engine_seconds_of(const engine_profile& profile, const served_model& model,
                         std::string_view token_counts)
{
    const auto comma = token_counts.find(',');
    const auto prompt = parse_count(token_counts.substr(0, comma));
    const auto most =
        comma == std::string_view::npos ? std::nullopt : parse_count(token_counts.substr(comma + 1));
    if (!prompt || !most) {
        return 0;
    }
    const auto batch_requests = std::max(1.0, profile.batch_slots / 2.0);
    const auto per_token = (profile.step / batch_requests + profile.step_per_request).count() / 1000;
    const auto prefill =
        profile.prompt_tokens_per_s > 0 ? static_cast<double>(*prompt) / profile.prompt_tokens_per_s : 0;
    return model.pace * model.group_size * (prefill + static_cast<double>(*most) * per_token);
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

bool request_run::ends_before_stop(const forwarder::pool_state& pool, time_point now) const
{
    if (!this->owner.stop_at) {
        return true;
    }
    late_request late;
    late.until_stop = *this->owner.stop_at - now;
    late.until_deadline = this->deadline - now;
    late.longest = pool.longest.value(now);
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
    const auto last = http::find_header(this->message.headers, names.last_event_id);
    this->resume_after = last ? parse_count(*last) : std::nullopt;
    return false;
}

bool request_run::find_account()
{
    this->priority = this->chosen_route->priority;
    if (!this->config->has_accounts()) {
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
    const pool_key key{picked, engines ? this->model : model_id()};
    auto& pool = this->owner.pool(key, this->chosen_route->objective);
    if (!this->ends_before_stop(pool, this->arrived)) {
        return this->refuse(stopping_retry_after, stopping_reason);
    }
    if (engines) {
        const auto counts =
            http::find_header(this->message.headers, this->owner.ports.headers.token_counts).value_or("");
        pool.arrived_load += engine_seconds_of(*engines, *engines->find(this->model), counts);
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
    if (!this->wait_for_classification() || !this->wait_for_slot(*pool.queue)) {
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
    if (this->outcome == "answered") {
        pool.longest.record(steady_clock::now() - this->arrived, steady_clock::now());
    }
    pool.queue->finish(usual ? steady_clock::now() - started : duration::zero());
}

bool request_run::wait_for_slot(admission_queue& queue)
{
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

std::optional<instance_id> request_run::choose()
{
    const auto now = steady_clock::now();
    const pool_key key{this->chosen_service->name, this->chosen_service->engines ? this->model : model_id()};
    auto candidates = this->owner.candidates(key, this->tried, now);
    if (this->trial) {
        const auto occupied = [this](const target_candidate& candidate) {
            return this->owner.guard.has_trial(candidate.instance);
        };
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), occupied), candidates.end());
    }
    const auto random = this->owner.random();
    const auto index =
        this->trial ? choose_least_loaded(candidates, random) : choose_target(candidates, random);
    return index ? std::optional(candidates[*index].instance) : std::nullopt;
}

std::optional<instance_id> request_run::choose_or_wait()
{
    // The queue's count of free slots is some ten milliseconds old: a target may since be full or stalled.
    // A repeat waits only for the trials of other requests.
    const bool repeated_trial = this->trial && this->sends > 0;
    const auto limit = repeated_trial ? steady_clock::now() + repeat_permission_wait
                                      : this->arrived + this->chosen_route->objective / 2;
    auto found = this->choose();
    while (!found && (this->sends == 0 || repeated_trial) && !this->caller_disconnected && !this->stopping &&
           steady_clock::now() < limit) {
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
            this->reason =
                this->tried.empty() ? "no target has a free slot" : this->reason + "; no other target";
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
        return true; // no target has received the request
    }
    if (this->sends >= this->chosen_route->max_attempts) {
        this->reason += "; attempt limit of the route reached";
        return false;
    }
    if (end != attempt_end::not_run && !this->chosen_route->idempotent()) {
        return false;
    }
    if (!this->reserve_retry(now)) {
        this->reason += "; retry budget exhausted";
        return false;
    }
    return true;
}

bool request_run::reserve_retry(time_point now)
{
    if (!this->retry_reserved) {
        this->retry_reserved = this->owner.budget(this->chosen_service->name, now).try_retry(now);
    }
    return this->retry_reserved;
}

void request_run::on_stalled(target_attempt& attempt)
{
    if (&attempt == this->standby.get()) {
        if (this->standby_running && !attempt.superseded && this->choose_standby()) {
            attempt.superseded = true;
            attempt.bound.connection->close();
        }
        return;
    }
    const auto now = steady_clock::now();
    if (!attempt.awaits_target || attempt.superseded || this->standby_running || now < this->next_standby) {
        return;
    }
    this->next_standby = now + standby_interval;
    this->standby_wanted = true;
    if (const auto target = this->choose_standby(); target) {
        this->standby_running = true;
        start_coroutine(this->owner.context,
                        [this, target](http::yield_context in) { this->run_standby(target, in); });
    }
}

std::optional<instance_id> request_run::choose_standby()
{
    const auto now = steady_clock::now();
    if (!this->standby_wanted || this->stopping || this->caller_disconnected || now >= this->deadline) {
        return std::nullopt;
    }
    if (this->sends >= this->chosen_route->max_attempts) {
        this->standby_obstacle = "attempt limit of the route reached";
        return std::nullopt;
    }
    this->trial = false;
    if (this->owner.guard.check(this->features, now) != send_permission::allowed) {
        this->standby_obstacle = "suspected of crashing its target";
        return std::nullopt;
    }
    auto target = this->choose();
    if (!target) {
        this->standby_obstacle = "no other target";
        return std::nullopt;
    }
    if (!this->reserve_retry(now)) {
        this->standby_obstacle = "retry budget exhausted";
        return std::nullopt;
    }
    return target;
}

void request_run::run_standby(std::optional<instance_id> target, http::yield_context in)
{
    while (target) {
        const auto* state = this->owner.fleet.find_target(*target);
        if (state == nullptr) {
            break;
        }
        this->tried.push_back(*target);
        const auto attempt = this->create_attempt(*state);
        this->standby = attempt;
        this->owner.resumed.add();
        const auto end = this->begin(*attempt, in);
        if (end == attempt_end::begun && this->standby_wanted) {
            this->primary->superseded = true;
            if (this->primary->bound.connection) {
                this->primary->bound.connection->close();
            }
            break;
        }
        log(log_level::info, "standby attempt ended",
            {{"request_id", this->request_id},
             {"target", target->str()},
             {"reason", this->standby_wanted ? attempt->reason : "no longer needed"}});
        this->standby.reset();
        this->end_attempt(*attempt, end == attempt_end::begun ? attempt_end::superseded : end, in);
        target = this->primary->open ? this->choose_standby() : std::nullopt;
    }
    this->standby_running = false;
    this->standby_change.cancel();
}

void request_run::abandon_standby()
{
    this->standby_wanted = false;
    if (!this->standby) {
        return;
    }
    this->standby->superseded = true;
    if (!this->standby_running) {
        this->end_attempt(*this->standby, attempt_end::superseded, this->yield);
        this->standby.reset();
    } else if (this->standby->bound.connection) {
        this->standby->bound.connection->close();
    }
}

bool request_run::wait_for_standby()
{
    const auto ends = [this] { return this->stopping || this->caller_disconnected; };
    while (this->standby_running && !ends()) {
        this->wait_for_change();
    }
    return this->standby != nullptr && !ends();
}

void request_run::wait_for_change()
{
    boost::system::error_code ignored;
    this->standby_change.expires_at(time_point::max());
    this->standby_change.async_wait(this->yield[ignored]);
}

void request_run::close_connections()
{
    for (const auto& attempt : {this->primary, this->standby}) {
        if (attempt && attempt->bound.connection) {
            attempt->bound.connection->close();
        }
    }
    this->standby_change.cancel();
}

void request_run::record_result(const target_attempt& attempt, attempt_end end)
{
    auto* state = this->owner.fleet.find_target(attempt.target.instance);
    if (state == nullptr || end == attempt_end::caller_disconnected) {
        return;
    }
    if (end == attempt_end::not_run && attempt.refusal_status == wrong_target_status) {
        this->owner.record_fault(*state, target_fault::replaced, steady_clock::now());
    } else if (end == attempt_end::not_run && this->chosen_service->engines) {
        this->owner.record_fault(*state, target_fault::refused, steady_clock::now());
    }
    const bool failed_there = end == attempt_end::lost || end == attempt_end::not_sent ||
                              end == attempt_end::timed_out ||
                              (end == attempt_end::answered && this->final_status >= 500);
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
    auto* state = this->owner.fleet.find_target(target.instance);
    if (state != nullptr && now<state->cold_until&& this->chosen_service->cold_requests_per_s> 0) {
        const auto share = slow_start_share(this->chosen_service->cold_requests_per_s,
                                            this->owner.fleet.share_for(target.instance, now));
        if (!state->cold_sends.take(share, now)) {
            attempt.reason = "request rate limit of a cold target reached";
            return attempt_end::not_sent;
        }
    }
    const bool once = !this->chosen_route->idempotent();
    auto bound = this->owner.connections.take_idle(
        target.address, std::nullopt, once ? non_idempotent_idle_limit : limits::target_idle_time);
    attempt.connection_kept = bound.connection != nullptr;
    if (!bound.connection) {
        auto opened =
            this->owner.connections.open(target.address, std::min(this->deadline, now + connect_timeout), in);
        if (failed(opened)) {
            attempt.reason = error(opened).context;
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
    if (this->stopping) {
        attempt.reason = stopping_reason;
        return attempt_end::not_sent;
    }
    attempt.bound = std::move(bound);
    return std::nullopt;
}

request_run::attempt_end request_run::begin(target_attempt& attempt, http::yield_context in)
{
    if (const auto end = this->connect(attempt, in); end) {
        return *end;
    }
    const auto& target = attempt.target.instance;
    attempt.open = true;
    this->owner.fleet.in_flight.begin(target, steady_clock::now());
    this->owner.report_scarce_slots(target, steady_clock::now());
    this->owner.attempts[&attempt] = {target, this->chosen_route->idempotent(),
                                      [this, &attempt] { this->on_stalled(attempt); }};
    attempt.crash_ticket = this->owner.guard.begin(this->number, this->features, attempt.target);
    return this->exchange(attempt, in);
}

void request_run::end_attempt(target_attempt& attempt, attempt_end end, http::yield_context in)
{
    if (std::exchange(attempt.open, false)) {
        this->owner.attempts.erase(&attempt);
        this->owner.fleet.in_flight.end(attempt.target.instance, attempt.answer_begun);
        this->owner.report_scarce_slots(attempt.target.instance, steady_clock::now());
        this->record_crash_evidence(attempt, end, in);
    }
    // A refusal may be written once more with the id of the next request, so its connection is not reused.
    if (end == attempt_end::answered) {
        this->owner.connections.give_back(attempt.target.address, std::move(attempt.bound));
    }
    attempt.bound = {};
    this->record_result(attempt, end);
}

request_run::attempt_end request_run::exchange(target_attempt& attempt, http::yield_context in)
{
    ++this->sends;
    ++this->possible_runs;
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
    const bool may_be_lost =
        end == attempt_end::lost ? attempt.connection_broke : end == attempt_end::answered && unframed;
    if (may_be_lost && !leaving && !this->stopping) {
        return this->owner.guard.end_broken(attempt.crash_ticket, attempt.target, this->deadline, in);
    }
    const bool answered = end == attempt_end::answered && this->final_status < 300;
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

bool request_run::record_progress(target_attempt& attempt, bool bytes)
{
    const bool first = !std::exchange(attempt.answer_begun, true);
    this->owner.fleet.in_flight.progress(attempt.target.instance, first, steady_clock::now());
    if (bytes) {
        this->owner.guard.record_progress(attempt.crash_ticket, steady_clock::now());
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
    if (!this->is_valid_answer(attempt)) {
        return attempt_end::lost;
    }
    const auto status = attempt.head.status;
    const auto& names = this->owner.ports.headers;
    const bool not_run =
        status == wrong_target_status || http::find_header(attempt.head.headers, names.not_executed);
    if (not_run && status >= 400) {
        --this->possible_runs;
        attempt.refusal_status = status;
        attempt.reason = "target refused with " + std::to_string(status);
        return attempt_end::not_run;
    }
    if (this->chosen_route->kind == route_kind::stream && status == 200) {
        attempt.streamed = true;
        return this->read_events(attempt, in);
    }
    const bool beside_another = &attempt != this->primary.get() && this->primary->open;
    if (this->head_sent || (status >= 500 && beside_another)) {
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
        if (!this->record_progress(attempt, value(part).has_value())) {
            return attempt_end::superseded;
        }
        attempt.complete = !value(part);
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
    return attempt_end::begun;
}

request_run::attempt_end request_run::read_whole(target_attempt& attempt, http::yield_context in)
{
    attempt.bound.connection->update_body_limit(max_buffered_body_bytes);
    while (true) {
        auto part = attempt.bound.connection->read_body_part(this->deadline, in);
        if (failed(part)) {
            return this->failed_exchange(attempt, error(part));
        }
        if (!value(part) && attempt.head.body.empty() && is_success(attempt.head.status) &&
            attempt.bound.connection->ends_with_connection()) {
            attempt.reason = "success without length and body";
            return attempt_end::lost;
        }
        if (!this->record_progress(attempt, value(part).has_value())) {
            return attempt_end::superseded;
        }
        if (!value(part)) {
            attempt.complete = true;
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

void request_run::finish_unanswered()
{
    if (this->head_sent) {
        // Aborts the connection, so that the caller cannot take the partial answer for a complete one.
        this->outcome = "aborted";
        this->owner.failed_requests.add();
        this->writer.abort();
        return;
    }
    if (this->possible_runs == 0) {
        return this->refuse(this->stopping ? stopping_retry_after : min_retry_after, this->reason);
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
         {"first_byte_ms", this->first_byte.count()},
         {"took_ms", took.count()}});
}

} // namespace rml::gateway::detail
