#include "gateway/group_manager.hpp"

#include "base/log.hpp"
#include "gateway/coroutine.hpp"
#include "http/pause.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace rml::gateway {

namespace {

/// Attempts per order to join. With a third of the orders unanswered, one join in a hundred still fails.
constexpr int max_join_attempts = 4;
/// Attempts per question for an engine's group. One packet may be lost.
constexpr int max_report_attempts = 2;
/// A head refuses to open until it has noticed that it is ready, so this order needs more attempts.
constexpr int max_open_attempts = 8;
constexpr milliseconds order_retry_delay{100};
/// Delay after a refused order to stage: an engine refuses while it executes another order, and a join takes
/// one or two seconds.
constexpr milliseconds staging_retry_delay{500};
/// The manager probes a member whose registry entry does not show it as ready this long after the expected
/// time.
constexpr milliseconds ready_slack{400};
/// The manager abandons a formation after this multiple of its expected time plus formation_slack.
constexpr double formation_factor = 3.0;
/// Time after a change of the manager in which members of a group that the previous one left unfinished may
/// become ready: a join with staged weights takes less.
constexpr milliseconds unfinished_join_time{2000};
/// Interval between checks of the mirrored registry while members join; a check makes no call.
constexpr milliseconds poll_interval{50};

std::string text_of(const std::vector<instance_id>& list)
{
    std::string out;
    for (const auto& entry : list) {
        out += (out.empty() ? "" : ",") + entry.str();
    }
    return out;
}

/// Whether a member that shows or reports this membership is ready in the group.
bool is_ready_in(const group_key& group, const std::optional<group_membership>& found)
{
    return found && found->group == group.first && found->epoch == group.second &&
           found->phase != group_phase::joining;
}

} // namespace

void group_manager::start_formation(const service& of, const planned_group& wanted, time_point now)
{
    formation created;
    created.epoch = this->next_epoch();
    created.group = group_id("g" + std::to_string(created.epoch));
    created.service = of.name;
    created.model = wanted.model;
    created.fabric = wanted.fabric;
    created.members = wanted.members;
    created.expected = wanted.expected;
    created.loads = wanted.loads;
    created.started = now;
    created.lease_revision = this->lease_revision;
    if (const auto* head = this->fleet.find_target(created.members.front()); head != nullptr) {
        created.head = head->entry;
    }
    this->formations[created.group] = created;
    if (const auto kept = this->reservations.find(created.fabric);
        kept != this->reservations.end() && kept->second.model == created.model) {
        this->reservations.erase(kept);
    }
    this->load_starts.insert(this->load_starts.end(), wanted.loads, now);
    this->loads.add(wanted.loads);
    log(log_level::info, "forming group",
        {{"group", created.group.str()},
         {"model", created.model.str()},
         {"fabric", created.fabric.str()},
         {"members", text_of(created.members)},
         {"previous_groups", this->previous_groups(created.members)},
         {"loads", static_cast<std::int64_t>(created.loads)},
         {"expected_ms", created.expected.count()}});
    start_coroutine(this->context,
                    [this, created](yield_context yield) { this->run_formation(created, yield); });
}

std::string group_manager::previous_groups(const std::vector<instance_id>& members)
{
    std::string out;
    for (const auto& member : members) {
        if (const auto* state = this->fleet.find_target(member); state != nullptr) {
            out += (out.empty() ? "" : ",") +
                   this->assignments.describe({state->entry.instance, state->entry.started_ms});
        }
    }
    return out;
}

void group_manager::run_formation(formation plan, yield_context yield)
{
    if (!this->confirm_free(plan.members, plan.lease_revision, yield)) {
        if (this->in_force(plan)) {
            this->formations.erase(plan.group); // no order was sent
            this->tick();
        }
        return;
    }
    std::string reason;
    if (!this->join_members(plan, yield)) {
        reason = "a member did not accept the order to join";
    } else if (!this->wait_until_ready(plan, yield)) {
        reason = "members were not ready in time";
    } else if (!this->open_head(plan, yield)) {
        reason = "the head did not accept the order to open";
    }
    if (!this->in_force(plan)) {
        return; // the state belongs to a later manager lease
    }
    if (!reason.empty()) {
        this->abandon(plan, reason);
    } else {
        this->formed.add();
        const auto took =
            std::chrono::duration_cast<milliseconds>(steady_clock::now() - plan.started).count();
        log(log_level::info, "group opened", {{"group", plan.group.str()}, {"took_ms", took}});
        this->wait_until_shown(plan, yield);
    }
    if (this->in_force(plan)) {
        this->formations.erase(plan.group);
        this->tick();
    }
}

void group_manager::wait_until_shown(const formation& plan, yield_context yield)
{
    const auto limit = steady_clock::now() + detail::formation_slack;
    while (steady_clock::now() < limit) {
        const auto* head = this->fleet.find_target(plan.members.front());
        if (head == nullptr) {
            // The removed entry may never have shown the group, so the ending needs the address known here.
            if (this->in_force(plan)) {
                this->end_formed_group(plan, true, "entry of the open head was removed");
            }
            return;
        }
        if (const auto& shown = head->entry.membership;
            shown && shown->group == plan.group && shown->phase == group_phase::open) {
            return;
        }
        http::pause(poll_interval, yield);
    }
}

bool group_manager::confirm_free(const std::vector<instance_id>& engines, std::uint64_t under_lease,
                                 yield_context yield)
{
    struct question
    {
        target_entry engine;
        result<engine_report> answer;
        std::uint64_t changes{0}; ///< to what was known of the engine when it was asked
    };
    std::vector<question> questions;
    for (const auto& engine : engines) {
        const auto* state = this->fleet.find_target(engine);
        if (state == nullptr) {
            return false;
        }
        // Until then a late order of the previous manager may change what an engine has reported.
        const bool late_orders = steady_clock::now() < this->active_from + detail::max_order_delay;
        if (late_orders || !this->assignments.vacant({engine, state->entry.started_ms})) {
            questions.push_back({state->entry, failure{failure_kind::timeout, "no probe sent"},
                                 this->assignments.changes_of(engine)});
        }
    }
    std::vector<std::function<void(yield_context)>> tasks;
    tasks.reserve(questions.size());
    for (auto& asked : questions) {
        tasks.emplace_back([this, &asked](yield_context inner) {
            for (int attempt = 0; attempt < max_report_attempts && failed(asked.answer); ++attempt) {
                this->probes_sent.add();
                asked.answer = this->ports.engines->report(
                    asked.engine, steady_clock::now() + detail::probe_timeout, inner);
            }
        });
    }
    const auto sent = steady_clock::now();
    this->run_all(std::move(tasks), yield);
    const auto now = steady_clock::now();
    if (under_lease != this->lease_revision) {
        return false; // the records belong to a later manager lease
    }
    bool all_free = true;
    for (const auto& [engine, answer, changes] : questions) {
        if (changes != this->assignments.changes_of(engine.instance)) {
            all_free = this->assignments.vacant({engine.instance, engine.started_ms}) && all_free;
        } else if (failed(answer)) {
            all_free = false;
            if (!this->pauses.paused_since(sent, now)) {
                this->mark_lost(engine.instance, "no report: " + error(answer).context, now);
            }
        } else {
            all_free = this->record_report(engine, value(answer)) && all_free;
        }
    }
    return all_free;
}

bool group_manager::record_report(const target_entry& engine, const engine_report& report)
{
    const engine_life life{engine.instance, engine.started_ms};
    const auto& in = report.membership;
    const group_key key = in ? group_key(in->group, in->epoch) : group_key();
    const auto end = this->endings.find(key);
    const bool serves =
        in && in->rank == 0 && (in->phase == group_phase::open || in->phase == group_phase::closing);
    auto released = this->assignments.released(key);
    if (end != this->endings.end() && end->second.released) {
        released = end->second.released;
    }
    // Reports lag behind, so one that says that the head serves counts only against a release without the
    // head's own answer, and against one that is about an earlier life of the head.
    const bool given_up = released && is_without_answer(*released);
    const bool other_life = this->assignments.released_life(key) != engine.started_ms;
    const bool ended = released && !(serves && (given_up || other_life));
    if (ended && given_up && in->rank != 0) {
        this->assignments.forget(engine.instance);
        this->hold_until_left(key, engine, steady_clock::now());
        return false;
    }
    if (!in || is_fence_group(in->group) || ended) {
        // The engine would refuse the number of the report if it accepted an order of this manager since,
        // such as the order to leave the ended group that it reports.
        const bool counts_all = !ended && this->accepted_at.count(engine.instance) == 0;
        this->assignments.record_free(life, counts_all ? report.accepted_orders : std::nullopt);
        return true;
    }
    this->assignments.assign(life, {key, in->rank});
    if (end != this->endings.end()) {
        if (serves && end->second.released) {
            end->second.released.reset();
            end->second.member_left = false;
            end->second.head_left = false;
            end->second.head_closed = false;
            end->second.unanswered_orders = 0;
            end->second.head_broken_at.reset();
            end->second.head = engine;
        }
        end->second.members.push_back(engine.instance);
        if (in->rank == 0 && end->second.head.instance.empty()) {
            end->second.head = engine;
        }
    }
    log(log_level::info, "engine is in a group that its entry does not show",
        {{"engine", engine.instance.str()}, {"group", in->group.str()}});
    return false;
}

bool group_manager::join_members(const formation& plan, yield_context yield)
{
    bool all = true;
    bool given_up = false;
    std::vector<std::function<void(yield_context)>> tasks;
    for (std::uint32_t rank = 0; rank < plan.members.size(); ++rank) {
        const auto* state = this->fleet.find_target(plan.members[rank]);
        if (state == nullptr) {
            return false;
        }
        const auto permit = this->assignments.permit_join({state->entry.instance, state->entry.started_ms},
                                                          {{plan.group, plan.epoch}, rank});
        if (!permit) {
            log(log_level::info, "engine may be in another group",
                {{"engine", state->entry.instance.str()}, {"group", plan.group.str()}});
            return false;
        }
        tasks.emplace_back(
            [this, &all, &given_up, &plan, permit = *permit, entry = state->entry](yield_context inner) {
                all = this->join_member(plan, entry, permit, given_up, inner) && all;
            });
    }
    this->run_all(std::move(tasks), yield);
    return all;
}

bool group_manager::join_member(const formation& plan, const target_entry& member, const join_permit& permit,
                                bool& given_up, yield_context yield)
{
    auto what = group_order::join(permit, plan.model, plan.members);
    const auto sent = steady_clock::now();
    bool alive = false;
    bool silent = false;
    int attempt = 0;
    for (; attempt < max_join_attempts && this->in_force(plan) && !given_up && !silent; ++attempt) {
        const auto answer = this->order(member, what, yield);
        if (succeeded(answer)) {
            const auto verdict = value(answer);
            if (verdict == order_verdict::started || verdict == order_verdict::already) {
                return true;
            }
            log(log_level::info, "engine refused to join",
                {{"engine", member.instance.str()},
                 {"group", what.group().str()},
                 {"verdict", std::string(to_string(verdict))}});
            if (verdict == order_verdict::wrong_incarnation) {
                this->mark_lost(member.instance, "another instance answers at its address",
                                steady_clock::now());
            }
            if (verdict != order_verdict::not_now) {
                given_up = true;
                return false;
            }
            if (const auto joined = this->renew_join(plan, member, what, yield); joined) {
                given_up = given_up || !*joined;
                return *joined;
            }
        } else if (error(answer).kind == failure_kind::lapsed) {
            given_up = true;
            return false;
        } else if (!alive) {
            // An engine may leave an order unanswered and execute it late, but then it still reports.
            alive = this->answers_report(member, yield);
            silent = !alive;
        }
        http::pause(order_retry_delay, yield);
    }
    const auto now = steady_clock::now();
    const bool unanswered = silent || attempt == max_join_attempts;
    if (unanswered && this->in_force(plan) && !this->pauses.paused_since(sent, now)) {
        this->mark_lost(member.instance, "did not answer the order to join", now);
    }
    given_up = true;
    return false;
}

std::optional<bool> group_manager::renew_join(const formation& plan, const target_entry& member,
                                              group_order& what, yield_context yield)
{
    if (!what.permit()->accepted_orders()) {
        return std::nullopt; // refused for the engine's state
    }
    this->probes_sent.add();
    const auto report =
        this->ports.engines->report(member, steady_clock::now() + detail::probe_timeout, yield);
    if (failed(report) || !this->in_force(plan)) {
        return std::nullopt;
    }
    const auto& in = value(report).membership;
    if (in && in->group == plan.group && in->epoch == plan.epoch) {
        return true; // it has carried out an earlier copy of the order
    }
    if (in && !is_fence_group(in->group)) {
        log(log_level::info, "engine has joined another group since it reported to be free",
            {{"engine", member.instance.str()},
             {"group", plan.group.str()},
             {"reported_group", in->group.str()}});
        this->assignments.forget(member.instance); // what it reports has an older epoch than the order
        this->record_report(member, value(report));
        return false;
    }
    what = group_order::join(group_assignments::renew(*what.permit(), value(report).accepted_orders),
                             plan.model, plan.members);
    return std::nullopt;
}

bool group_manager::answers_report(const target_entry& engine, yield_context yield)
{
    for (int attempt = 0; attempt < max_report_attempts; ++attempt) {
        this->probes_sent.add();
        if (succeeded(
                this->ports.engines->report(engine, steady_clock::now() + detail::probe_timeout, yield))) {
            return true;
        }
    }
    return false;
}

bool group_manager::wait_until_ready(formation& plan, yield_context yield)
{
    const auto expected = std::chrono::duration_cast<milliseconds>(plan.expected * formation_factor);
    const auto limit = plan.started + expected + detail::formation_slack;
    auto next_probe_at = steady_clock::now() + plan.expected + ready_slack;
    std::map<instance_id, int> unanswered; ///< reports in a row
    while (steady_clock::now() < limit) {
        const auto now = steady_clock::now();
        const bool probe = now >= next_probe_at;
        if (!this->update_readiness(plan)) {
            return false;
        }
        std::vector<std::function<void(yield_context)>> tasks;
        for (const auto& member : plan.members) {
            const auto* state = this->fleet.find_target(member);
            if (state == nullptr || this->is_lost(state->entry) || state->entry.draining) {
                return false;
            }
            if (probe && plan.ready.count(member) == 0) {
                tasks.emplace_back([this, &plan, &unanswered, entry = state->entry](yield_context inner) {
                    this->probes_sent.add();
                    const auto answer = this->ports.engines->report(
                        entry, steady_clock::now() + detail::probe_timeout, inner);
                    auto& missing = unanswered[entry.instance];
                    missing = succeeded(answer) ? 0 : missing + 1;
                    if (succeeded(answer) &&
                        is_ready_in({plan.group, plan.epoch}, value(answer).membership)) {
                        plan.ready.emplace(entry.instance, readiness{entry.started_ms, false});
                    }
                });
            }
        }
        if (!tasks.empty()) {
            this->run_all(std::move(tasks), yield);
            next_probe_at = steady_clock::now() + ready_slack;
            const bool paused = this->pauses.paused_since(now, steady_clock::now());
            for (const auto& [member, missing] : unanswered) {
                if (missing >= max_report_attempts && this->in_force(plan) && !paused) {
                    this->mark_lost(member, "did not report while joining", steady_clock::now());
                }
            }
        }
        if (plan.ready.size() == plan.members.size()) {
            return true;
        }
        http::pause(poll_interval, yield);
    }
    return false;
}

bool group_manager::update_readiness(formation& plan) const
{
    for (const auto& member : plan.members) {
        const auto* state = this->fleet.find_target(member);
        if (state == nullptr) {
            continue;
        }
        const auto& entry = state->entry;
        const auto known = plan.ready.find(member);
        if (is_ready_in({plan.group, plan.epoch}, entry.membership)) {
            plan.ready[member] = {entry.started_ms, true};
        } else if (known != plan.ready.end() &&
                   (known->second.shown || known->second.started_ms != entry.started_ms)) {
            log(log_level::info, "a member that was ready has restarted or left its group",
                {{"engine", member.str()}, {"group", plan.group.str()}});
            return false;
        }
    }
    return true;
}

bool group_manager::open_head(formation& plan, yield_context yield)
{
    const auto what = group_order::open({plan.group, plan.epoch});
    for (int attempt = 0; attempt < max_open_attempts && this->in_force(plan); ++attempt) {
        const bool complete =
            std::all_of(plan.members.begin(), plan.members.end(), [this](const instance_id& member) {
                const auto* state = this->fleet.find_target(member);
                return state != nullptr && !this->is_lost(state->entry) && !state->entry.draining;
            });
        if (!complete || !this->update_readiness(plan)) {
            return false;
        }
        const auto entry = this->fleet.find_target(plan.members.front())->entry;
        plan.open_sent = true;
        const auto answer = this->order(entry, what, yield);
        if (succeeded(answer) &&
            (value(answer) == order_verdict::started || value(answer) == order_verdict::already)) {
            return true;
        }
        if (succeeded(answer) && value(answer) != order_verdict::not_now) {
            return false;
        }
        if (failed(answer) && error(answer).kind == failure_kind::lapsed) {
            return false;
        }
        http::pause(order_retry_delay, yield);
    }
    return false;
}

void group_manager::abandon(const formation& plan, const std::string& reason)
{
    this->abandoned.add();
    log(log_level::warning, "formation abandoned; ending group",
        {{"group", plan.group.str()}, {"reason", reason}});
    auto& state = this->end_formed_group(plan, false, reason);
    if (!plan.open_sent) {
        // Otherwise the head may execute the order to open late, so it has to leave first.
        this->release({plan.group, plan.epoch}, state, release_evidence::never_opened);
    }
}

group_manager::ending& group_manager::end_formed_group(const formation& plan, bool graceful,
                                                       const std::string& reason)
{
    const group_key key(plan.group, plan.epoch);
    auto head = plan.head;
    head.model = plan.model;
    this->end_group(key, head, plan.members, graceful, steady_clock::now(), reason);
    return this->endings.at(key);
}

bool group_manager::may_become_ready(const group_members& members, const target_entry& head,
                                     time_point now) const
{
    if (now >= this->active_from + unfinished_join_time || !members.assigned.empty()) {
        return false;
    }
    bool all_ready = true;
    std::set<std::uint32_t> ranks;
    for (const auto* member : members.registered) {
        const auto phase = member->membership->phase;
        const bool usable = !member->draining && !this->is_lost(*member) &&
                            !this->fleet.drained_domain(member->failure_domain) &&
                            (phase == group_phase::joining || phase == group_phase::ready);
        if (!usable || !ranks.insert(member->membership->rank).second) {
            return false;
        }
        all_ready = all_ready && phase == group_phase::ready && member->model == head.model;
    }
    const auto* service = this->fleet.config()->find_service(head.service);
    const auto* model = service != nullptr && service->engines ? service->engines->find(head.model) : nullptr;
    const bool complete = all_ready && model != nullptr && ranks.size() == model->group_size;
    return !complete;
}

void group_manager::start_staging(const planned_stage& wanted, const served_model& model, time_point now)
{
    const auto* state = this->fleet.find_target(wanted.instance);
    if (state == nullptr) {
        return;
    }
    this->preparations[wanted.instance] = {wanted.model, now + model.load * 2 + detail::formation_slack,
                                           false, true};
    this->load_starts.push_back(now);
    this->loads.add();
    log(log_level::info, "staging weights",
        {{"engine", wanted.instance.str()}, {"model", wanted.model.str()}});
    ++this->stage_orders;
    start_coroutine(this->context, [this, engine = state->entry, model = wanted.model](yield_context yield) {
        this->send_preparation(engine, group_order::stage(model), yield);
        --this->stage_orders;
    });
}

void group_manager::send_preparation(const target_entry& engine, const group_order& what, yield_context yield)
{
    const auto answer = this->order(engine, what, yield, false);
    if (succeeded(answer) &&
        (value(answer) == order_verdict::started || value(answer) == order_verdict::already)) {
        if (what.permit()) {
            this->assignments.confirm(*what.permit());
        }
        return;
    }
    log(log_level::info, "weights not prepared",
        {{"engine", engine.instance.str()},
         {"order", std::string(to_string(what.action()))},
         {"reason", failed(answer) ? error(answer).context : std::string(to_string(value(answer)))}});
    const bool may_run = failed(answer) && error(answer).kind == failure_kind::outcome_unknown;
    if (const auto found = this->preparations.find(engine.instance);
        found != this->preparations.end() && !may_run) {
        found->second.until = steady_clock::now() + staging_retry_delay;
    }
}

void group_manager::start_warmup(const planned_warmup& wanted, const served_model& model, time_point now)
{
    const auto* state = this->fleet.find_target(wanted.instance);
    if (state == nullptr) {
        return;
    }
    const auto time = wanted.from_store ? model.load : model.warm;
    this->preparations[wanted.instance] = {wanted.model, now + time * 2 + detail::formation_slack, true,
                                           wanted.from_store};
    if (wanted.from_store) {
        this->load_starts.push_back(now);
        this->loads.add();
    }
    const auto epoch = this->next_epoch();
    const auto& shown = state->entry.membership;
    log(log_level::info, "loading a model into an engine outside groups",
        {{"engine", wanted.instance.str()},
         {"model", wanted.model.str()},
         {"group", fence_group(epoch).first.str()},
         {"from_store", wanted.from_store},
         {"shown_group", shown ? shown->group.str() : ""},
         {"entry_revision", static_cast<std::int64_t>(state->entry.revision)},
         {"mirror_revision", static_cast<std::int64_t>(this->lease.mirrored_revision())},
         {"previous_groups", this->previous_groups({wanted.instance})}});
    ++this->stage_orders;
    start_coroutine(this->context, [this, engine = state->entry, model = wanted.model, epoch,
                                    under_lease = this->lease_revision](yield_context yield) {
        this->run_warmup(engine, model, epoch, under_lease, yield);
        --this->stage_orders;
    });
}

void group_manager::run_warmup(const target_entry& engine, const model_id& model, std::uint64_t epoch,
                               std::uint64_t under_lease, yield_context yield)
{
    std::optional<join_permit> permit;
    if (this->confirm_free({engine.instance}, under_lease, yield)) {
        permit = this->assignments.permit_join({engine.instance, engine.started_ms}, {fence_group(epoch), 0});
    }
    if (permit) {
        this->send_preparation(engine, group_order::join(*permit, model, {engine.instance}), yield);
    } else if (under_lease == this->lease_revision) {
        this->preparations.erase(engine.instance); // no order was sent
    }
}

} // namespace rml::gateway
