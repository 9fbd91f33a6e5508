#include "gateway/forwarder.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"
#include "gateway/request_run.hpp"

#include <algorithm>

namespace rml::gateway {

namespace {

/// A target counts as stalled after this many of its longest usual passes without any byte. One pass may have
/// begun just before the last byte arrived.
constexpr double stall_passes = 2.0;
/// New requests avoid a target after this fraction of its stall limit: that costs nothing while other targets
/// have free slots.
constexpr int stall_suspicion_divisor = 3;
/// Lower bound of the stall limit: a lost packet is retransmitted after 200 ms.
constexpr milliseconds min_stall_limit{300};
/// Plain services answer in tens of milliseconds and send nothing before, so missing bytes are weak evidence
/// of a stall.
constexpr milliseconds plain_service_stall_limit{2000};
/// A suspicion that is not renewed ends after this time. It exceeds the repair of a group, which takes one to
/// two seconds, so that few requests are sent to the group in vain.
constexpr milliseconds suspicion_time{2500};
/// Share of the objective that a request may wait for a slot; the rest is for prefill and the first token.
constexpr double max_wait_share = 0.6;
/// Share of the retry budget that is used: the counting windows of the daemons do not align.
constexpr double retry_budget_share = 0.85;
/// Interval in which offered load is counted: some tens of requests per daemon.
constexpr milliseconds load_interval{500};
/// Weight of the newest interval in the smoothed load, which follows a change of traffic within 2 to 3 s.
constexpr double load_smoothing = 0.2;
/// A target whose requests all fail counts as five times as slow (1 + this), so that the better of two random
/// candidates is nearly always another one.
constexpr double failure_slowdown = 4;
/// Callers that were refused during a pause return over at least this time after its end, or over this part
/// of the pause: the targets take only a few requests at first.
constexpr milliseconds min_return_spread{250};
constexpr int return_spread_divisor = 4;

} // namespace

forwarder::forwarder(boost::asio::io_context& owner, const platform_ports& platform, fleet_state& state,
                     target::connection_pool& pool, const gateway_settings& settings,
                     metric_registry& registry)
    : context(owner), ports(platform), fleet(state), connections(pool), configured(settings),
      guard(state, pool, registry), domains(state, registry), random(hash64(settings.daemon.str())),
      answered(registry.create_counter("rml_requests_answered_total", "Requests answered by a target")),
      refused(registry.create_counter("rml_requests_refused_total", "Requests refused that have not run")),
      failed_requests(
          registry.create_counter("rml_requests_failed_total", "Requests that ended in a failure")),
      unproven_refusals(registry.create_counter(
          "rml_unproven_refusals_total",
          "Answers of targets with 408, 429 or 503 that do not state that the request did not run")),
      resumed(registry.create_counter("rml_requests_moved_total", "Requests sent to another target")),
      disconnected(registry.create_counter("rml_callers_left_total", "Callers that left before the answer")),
      first_answer_waits(registry.create_counter("rml_first_answer_waits_total",
                                                 "Requests that waited for the first answer of a target")),
      unread_tokens(registry.create_gauge("rml_unread_prompt_tokens",
                                          "Prompt tokens sent to targets that have not sent a first event")),
      expected_first_token(registry.create_histogram(
          "rml_expected_first_token_seconds", "Expected time to the first token at the chosen target")),
      first_byte(registry.create_histogram("rml_first_byte_seconds", "Arrival to first byte of the answer")),
      total(registry.create_histogram("rml_request_seconds", "Arrival to the end of the answer"))
{
}

forwarder::~forwarder() = default;

void forwarder::handle(const http::request& message, http::response_writer& writer, http::yield_context yield)
{
    detail::request_run run(*this, message, writer, yield);
    this->runs.insert(&run);
    run.run();
    this->runs.erase(&run);
}

void forwarder::end_requests()
{
    for (auto* run : this->runs) {
        run->end_for_stop();
    }
}

void forwarder::log_open_requests() const
{
    for (const auto* run : this->runs) {
        run->log_cut();
    }
}

forwarder::pool_state& forwarder::pool(const pool_key& key, milliseconds objective)
{
    auto& state = this->pools[key];
    if (!state.queue) {
        admission_settings settings;
        settings.max_wait = std::chrono::duration_cast<milliseconds>(max_wait_share * objective);
        state.longest_wait = settings.max_wait;
        state.queue = std::make_unique<admission_queue>(this->context, settings);
        this->update_slots(steady_clock::now());
    }
    return state;
}

void forwarder::report_scarce_slots(const instance_id& target, time_point now)
{
    const auto* state = this->fleet.find_target(target);
    const auto* service = state != nullptr && this->fleet.config()
                              ? this->fleet.config()->find_service(state->entry.service)
                              : nullptr;
    if (service == nullptr || !this->on_scarce_slots) {
        return;
    }
    target_candidate candidate;
    candidate.own = this->fleet.in_flight.in_flight(target);
    candidate.others = this->fleet.others_in_flight(target, now);
    candidate.slots = service->engines ? service->engines->batch_slots : state->entry.slots;
    if (slots_scarce(candidate)) {
        this->on_scarce_slots();
    }
}

std::size_t forwarder::usable_slots(target_state& state, std::uint32_t slots,
                                    const std::vector<request_allowance>& allowances, time_point now)
{
    if (allowances.empty()) {
        return slots;
    }
    const auto busy = this->fleet.in_flight.in_flight(state.entry.instance) +
                      this->fleet.others_in_flight(state.entry.instance, now);
    return std::min<std::size_t>(slots, busy + state.counted_sends.available(allowances, now));
}

template <class Visitor>
void forwarder::visit_targets(const pool_key& key, const Visitor& visit)
{
    const auto& config = this->fleet.config();
    const auto* service = config ? config->find_service(key.service) : nullptr;
    if (service == nullptr) {
        return;
    }
    if (!service->engines) {
        for (auto* state : this->fleet.instances_of(key.service)) {
            visit(*state, state->entry.slots);
        }
        return;
    }
    for (const auto& group : this->fleet.groups()) {
        auto* head = this->fleet.find_target(group.head);
        if (group.service == key.service && group.model == key.model && head != nullptr &&
            !this->fleet.drained_domain(head->entry.failure_domain)) {
            visit(*head, service->engines->batch_slots);
        }
    }
}

std::vector<target_candidate> forwarder::candidates(const pool_key& key,
                                                    const std::vector<instance_id>& tried, time_point now)
{
    std::vector<target_candidate> out;
    auto* domain_of = this->domains.index_of(key.service);
    std::size_t index = 0;
    const auto add = [&](target_state& state, std::uint32_t slots) {
        const auto right = this->fleet.right_to_send(state, now);
        if (!may_send(right)) {
            ++index; // the order of the daemons does not depend on pauses, which only this daemon knows
            return;
        }
        target_candidate candidate;
        // The slots of a target with limited requests are divided by the allowances instead.
        const auto allowances = this->fleet.allowances(state, now);
        candidate.reserved = allowances.empty() ? reserved_slots(this->order, index, slots) : 0;
        ++index;
        candidate.instance = state.entry.instance;
        candidate.fabric = state.entry.fabric;
        candidate.own = this->fleet.in_flight.in_flight(candidate.instance);
        const auto peers = this->fleet.peers_in_flight(candidate.instance, now);
        candidate.others = peers.all;
        candidate.neighbours = peers.neighbours;
        if (domain_of != nullptr) {
            candidate.domain = domain_of->find(state.entry.failure_domain);
        }
        candidate.slots = static_cast<std::uint32_t>(this->usable_slots(state, slots, allowances, now));
        candidate.slowness = state.slowness_at(now) * (1 + failure_slowdown * state.failure_share);
        candidate.tried = std::find(tried.begin(), tried.end(), candidate.instance) != tried.end();
        candidate.ejected = right == send_right::last_resort;
        if (const auto limit = state.pause.in_flight_limit()) {
            candidate.slots = std::min(candidate.slots, candidate.others + *limit);
            candidate.reserved = 0;
        }
        candidate.awaits_first_answer = this->fleet.awaits_first_answer(state, slots);
        candidate.suspected = this->fleet.in_flight.silence(candidate.instance, now) >=
                              this->silence_limit(state, now) / stall_suspicion_divisor;
        out.push_back(std::move(candidate));
    };
    this->visit_targets(key, add);
    return out;
}

std::optional<routing_decision> forwarder::choose_domain(const pool_key& key,
                                                         std::vector<target_candidate>& candidates)
{
    const auto* index = this->domains.index_of(key.service);
    if (index == nullptr) {
        return std::nullopt;
    }
    auto& pool = this->pools.at(key);
    const auto decision =
        pool.routing.decide(candidates, {index->delays(), pool.answer_time}, this->random());
    mark_elsewhere(decision, candidates);
    return decision;
}

first_token_estimate forwarder::estimate_first_token(const pool_key& key, std::uint32_t prompt_tokens,
                                                     time_point now)
{
    const auto& config = this->fleet.config();
    const auto* service = config ? config->find_service(key.service) : nullptr;
    if (service == nullptr || !service->engines || service->engines->prompt_tokens_per_s <= 0) {
        return {};
    }
    const auto& engines = *service->engines;
    const auto* model = engines.find(key.model);
    const reading_profile profile{engines.prompt_tokens_per_s, engines.prompt_chunk_tokens, engines.step,
                                  engines.step_per_request};
    const auto pace = model != nullptr ? model->pace : 1.0;
    return [this, prompt_tokens, now, profile, pace](const target_candidate& candidate) {
        const prompt_queue queue{this->fleet.unread_tokens(candidate.instance, now),
                                 candidate.own + candidate.others, pace * candidate.slowness};
        return first_token_time(profile, queue, prompt_tokens);
    };
}

std::optional<milliseconds> forwarder::pause_left(const pool_key& key, time_point now)
{
    std::optional<time_point> first_end;
    bool other = false;
    this->visit_targets(key, [&](const target_state& state, std::uint32_t) {
        const auto right = this->fleet.right_to_send(state, now);
        other = other || may_send(right);
        if (right == send_right::paused) {
            first_end = std::min(first_end.value_or(time_point::max()), state.pause.until());
        }
    });
    if (other || !first_end) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(*first_end - now);
}

milliseconds forwarder::retry_after_pause(milliseconds left)
{
    const auto range = std::max(min_return_spread, left / return_spread_divisor);
    return left + milliseconds(std::uniform_int_distribution<std::int64_t>(0, range.count())(this->random));
}

void forwarder::update_entries(const std::set<daemon_id>& daemons)
{
    this->fleet.update_entries(daemons);
    const auto own = daemons.find(this->fleet.self);
    this->order = {static_cast<std::uint32_t>(std::distance(daemons.begin(), own)),
                   static_cast<std::uint32_t>(std::max<std::size_t>(1, daemons.size()))};
}

retry_budget& forwarder::budget(const service_id& service, time_point now)
{
    const auto& bounds = this->configured.bounds;
    const auto daemons = this->fleet.daemons(now);
    auto& found = this->budgets[service];
    found.update_settings({bounds.retry_share * retry_budget_share, 0,
                           retry_budget_share * bounds.retry_slack / static_cast<double>(daemons)});
    return found;
}

duration forwarder::silence_limit(const target_state& state, time_point now) const
{
    const auto* service =
        this->fleet.config() ? this->fleet.config()->find_service(state.entry.service) : nullptr;
    if (service == nullptr || !service->engines) {
        return plain_service_stall_limit;
    }
    const auto& profile = *service->engines;
    const auto* model = profile.find(state.entry.model);
    // The longest pass: all slots decode, and each step prefills a whole chunk of a prompt.
    auto step = profile.step + profile.step_per_request * static_cast<double>(profile.batch_slots);
    if (profile.prompt_tokens_per_s > 0) {
        step += std::chrono::duration<double>(profile.prompt_chunk_tokens / profile.prompt_tokens_per_s);
    }
    const auto pass =
        step * profile.steps_per_pass * (model != nullptr ? model->pace : 1.0) * state.slowness_at(now);
    stall_context context;
    context.usual_gap =
        std::max<duration>(min_stall_limit, std::chrono::duration_cast<duration>(pass * stall_passes));
    context.streaming = this->fleet.in_flight.streaming(state.entry.instance);
    context.suspected_by_peer =
        this->fleet.suspicions.count_excluding(state.entry.instance, this->fleet.self, now) > 0;
    return rml::stall_timeout(context);
}

void forwarder::tick()
{
    const auto now = steady_clock::now();
    this->fleet.in_flight.tick(now);
    this->fleet.suspicions.expire(now);
    this->guard.tick(now);
    this->detect_stalled_targets(now);
    this->update_slots(now);
    std::uint64_t unread = 0;
    for (const auto& [target, tokens] : this->fleet.unread.all()) {
        unread += tokens;
    }
    this->unread_tokens.update(static_cast<std::int64_t>(unread));
    for (auto& [key, state] : this->pools) {
        state.queue->expire();
    }
    if (now - this->load_counted_at >= load_interval) {
        const auto elapsed = std::chrono::duration<double>(now - this->load_counted_at).count();
        for (auto& [key, state] : this->pools) {
            state.load_per_s += load_smoothing * (state.arrived_load / elapsed - state.load_per_s);
            state.arrived_load = 0;
            this->domains.log_regime(key.service.str() + (key.model.empty() ? "" : "/" + key.model.str()),
                                     state.routing);
        }
        const auto arrived = static_cast<double>(this->next_number - this->requests_counted);
        this->arriving_per_s += load_smoothing * (arrived / elapsed - this->arriving_per_s);
        this->requests_counted = this->next_number;
        this->load_counted_at = now;
    }
}

void forwarder::detect_stalled_targets(time_point now)
{
    this->stalled.clear();
    bool newly_stalled = false;
    for (const auto& target : this->fleet.in_flight.busy()) {
        auto* state = this->fleet.find_target(target);
        const auto silence = this->fleet.in_flight.silence(target, now);
        if (state == nullptr || silence < this->silence_limit(*state, now)) {
            continue;
        }
        if (state->suspected_until <= now) {
            newly_stalled = true;
            log(log_level::warning, "target stalled, rerouting its requests",
                {{"target", target.str()},
                 {"silent_ms", std::chrono::duration_cast<milliseconds>(silence).count()},
                 {"in_flight", static_cast<std::int64_t>(this->fleet.in_flight.in_flight(target))}});
        }
        this->stalled.push_back(target);
        if (this->fleet.in_flight.streaming(target)) {
            this->fleet.suspicions.record(target, this->fleet.self, now);
        }
        state->suspected_until = now + suspicion_time;
    }
    std::vector<std::function<void()>> calls;
    for (const auto& [key, attempt] : this->attempts) {
        if (attempt.reroutable &&
            std::find(this->stalled.begin(), this->stalled.end(), attempt.target) != this->stalled.end()) {
            calls.push_back(attempt.on_stalled);
        }
    }
    for (const auto& call : calls) {
        call();
    }
    if (newly_stalled && this->on_suspect) {
        this->on_suspect();
    }
}

void forwarder::record_fault(target_state& state, target_fault fault, time_point now)
{
    const bool newly_suspected = !state.ejected(now);
    const auto doubt = ejection_after(fault, this->configured.registry_heartbeat);
    state.suspected_until = std::max(state.suspected_until, now + doubt.time);
    if (!doubt.shared) {
        return;
    }
    this->fleet.suspicions.record(state.entry.instance, this->fleet.self, now);
    if (newly_suspected) {
        log(log_level::warning, "target ejected",
            {{"target", state.entry.instance.str()},
             {"reason", fault == target_fault::replaced ? "replaced" : "unreachable"},
             {"for_ms", std::chrono::duration_cast<milliseconds>(doubt.time).count()}});
        if (this->on_suspect) {
            this->on_suspect();
        }
    }
}

void forwarder::update_slots(time_point now)
{
    for (auto& [key, state] : this->pools) {
        if (!state.queue) {
            continue;
        }
        const auto free = free_slots(this->candidates(key, {}, now));
        state.queue->update_capacity(state.queue->stats().running + free);
        if (free == 0 && state.queue->stats().queued > 0 &&
            this->pause_left(key, now).value_or(milliseconds(0)) > state.longest_wait) {
            state.queue->refuse_queued();
        }
    }
}

std::map<model_id, double> forwarder::offered_load() const
{
    std::map<model_id, double> out;
    for (const auto& [key, state] : this->pools) {
        if (!key.model.empty()) {
            out[key.model] += state.load_per_s;
        }
    }
    return out;
}

} // namespace rml::gateway
