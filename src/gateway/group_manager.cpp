#include "gateway/group_manager.hpp"

#include "base/limits.hpp"
#include "base/log.hpp"
#include "gateway/coroutine.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <limits>

namespace rml::gateway {

namespace {

/// Timeout of one order. Engines answer within milliseconds; TCP retransmits a lost packet after 200 ms.
constexpr milliseconds order_timeout{450};
/// Delay from the acquisition of the manager lease to the first order. Orders of the previous manager arrive
/// within this time; engines refuse later ones by their epoch.
constexpr milliseconds takeover_delay{400};
/// At the first start of the site, engines register one after the other. The manager forms groups once no
/// target has registered for this long, so that the first few engines do not decide the mix of models.
constexpr milliseconds registration_settle_time{500};
/// The platform loads weights faster by this factor until the site receives its first request.
constexpr int first_start_load_divisor = 10;
/// One epoch for the group and the next one for its fence.
constexpr std::uint64_t epochs_per_group = 2;
/// Orders to stage that may be unanswered; each of them also makes the engine's entry change.
constexpr std::size_t max_stage_orders = 32;
/// Passes that take longer are followed by a rest of this many times their length: at hundreds of engines and
/// a fraction of a core the manager would otherwise answer nothing else and lose its lease.
constexpr milliseconds short_pass{5};
constexpr int pass_rest_factor = 3;
/// Window over which load starts are counted: the weight store limits them per second.
constexpr seconds load_window{1};
/// Weight of the measured load in a model's share of the engines. The configured share has the rest: it
/// applies while there is no traffic and damps short bursts.
constexpr double measured_weight = 0.5;

} // namespace

group_manager::group_manager(boost::asio::io_context& owner, const platform_ports& platform,
                             fleet_state& state, const manager_lease& lease_source,
                             const gateway_settings& settings, metric_registry& registry)
    : context(owner), ports(platform), fleet(state), lease(lease_source), configured(settings),
      slots(owner, limits::orders_in_flight),
      formed(registry.create_counter("rml_groups_formed_total", "Groups opened")),
      abandoned(registry.create_counter("rml_groups_abandoned_total", "Formations given up")),
      ended(registry.create_counter("rml_groups_ended_total", "Groups ended")),
      loads(registry.create_counter("rml_weight_loads_total", "Loads from the weight store ordered")),
      orders(registry.create_counter("rml_orders_total", "Orders sent to engines")),
      probes_sent(registry.create_counter("rml_probes_total", "Reports asked of engines"))
{
}

std::vector<instance_id> group_manager::lost() const
{
    std::vector<instance_id> out;
    for (const auto& [engine, state] : this->lost_engines) {
        out.push_back(engine);
    }
    return out;
}

std::vector<instance_id> group_manager::ejected() const
{
    auto out = this->lost();
    for (const auto& [key, state] : this->endings) {
        if (!state.released && !state.head.instance.empty()) {
            out.push_back(state.head.instance);
        }
    }
    return out;
}

bool group_manager::check_manager_lease(time_point now)
{
    // A mirror that lacks changes from before the lease shows groups as the previous manager found them.
    if (!this->lease.manages(now) || this->lease.mirrored_revision() < this->lease.manager_revision()) {
        return false;
    }
    if (this->lease_revision != this->lease.manager_revision()) {
        this->reset();
        this->lease_revision = this->lease.manager_revision();
        this->active_from = now + takeover_delay;
        this->first_start =
            std::none_of(this->fleet.targets().begin(), this->fleet.targets().end(), [](const auto& entry) {
                return entry.second.entry.membership || !entry.second.entry.model.empty();
            });
        this->log_takeover();
        this->record_open_groups();
        this->probe_all_groups(now);
    }
    return true;
}

void group_manager::log_takeover() const
{
    const auto& targets = this->fleet.targets();
    const auto members = std::count_if(targets.begin(), targets.end(), [](const auto& entry) {
        return entry.second.entry.membership.has_value();
    });
    log(log_level::info, "managing groups",
        {{"lease_revision", static_cast<std::int64_t>(this->lease_revision)},
         {"mirror_revision", static_cast<std::int64_t>(this->lease.mirrored_revision())},
         {"targets", static_cast<std::int64_t>(targets.size())},
         {"members", static_cast<std::int64_t>(members)},
         {"first_start", this->first_start}});
}

void group_manager::record_open_groups()
{
    this->open_at_takeover.clear();
    for (const auto& [instance, state] : this->fleet.targets()) {
        const auto& shown = state.entry.membership;
        const bool open = shown && shown->rank == 0 && shown->phase == group_phase::open;
        this->open_at_takeover[instance] =
            open ? std::optional(group_key(shown->group, shown->epoch)) : std::nullopt;
    }
}

bool group_manager::opened_after_takeover(const group_key& key, const target_entry& head) const
{
    const auto found = this->open_at_takeover.find(head.instance);
    const bool earlier_lease = key.second >> detail::epoch_counter_bits != this->lease_revision;
    return earlier_lease && found != this->open_at_takeover.end() && found->second != key;
}

bool group_manager::may_send_orders(time_point now)
{
    return this->check_manager_lease(now) && now >= this->active_from;
}

void group_manager::reset()
{
    this->formations.clear();
    this->endings.clear();
    this->assignments.clear();
    this->unanswered_groups.clear();
    this->accepted_at.clear();
    this->leaving.clear();
    this->lost_engines.clear();
    this->preparations.clear();
    this->reservations.clear();
    this->stall_detector = group_stall_detector(detail::group_stall_limit);
    this->epoch_counter = 0;
}

std::uint64_t group_manager::next_epoch()
{
    this->epoch_counter += epochs_per_group;
    return (this->lease_revision << detail::epoch_counter_bits) + this->epoch_counter;
}

void group_manager::tick()
{
    const auto now = steady_clock::now();
    this->pauses.tick(now);
    if (!this->may_send_orders(now) || !this->fleet.config()) {
        return;
    }
    this->first_start = this->first_start && this->offered_load.empty();
    this->remove_expired_records(now);
    this->probe_lost(now);
    this->probe_slow_groups(now);
    this->probe_absent_members(now);
    if (now >= this->next_pass) {
        this->run_pass(now);
    }
}

void group_manager::run_pass(time_point now)
{
    this->review_groups(now);
    this->plan(now);
    const auto ended = steady_clock::now();
    this->next_pass = ended - now < short_pass ? time_point{} : ended + pass_rest_factor * (ended - now);
}

void group_manager::remove_expired_records(time_point now)
{
    this->remove_expired_probes(now);
    this->assignments.forget_if(
        [&](const instance_id& engine) { return this->fleet.find_entry(engine) == nullptr; });
    this->assignments.forget_released_before(now - detail::max_order_delay);
    for (auto entry = this->accepted_at.begin(); entry != this->accepted_at.end();) {
        entry =
            now >= entry->second + detail::max_report_age ? this->accepted_at.erase(entry) : std::next(entry);
    }
    for (auto entry = this->leaving.begin(); entry != this->leaving.end();) {
        entry = now >= entry->second ? this->leaving.erase(entry) : std::next(entry);
    }
    for (auto entry = this->lost_engines.begin(); entry != this->lost_engines.end();) {
        const auto* engine = this->fleet.find_entry(entry->first);
        const bool other_life = engine == nullptr || engine->started_ms != entry->second.started_ms;
        entry = other_life && !entry->second.probing ? this->lost_engines.erase(entry) : std::next(entry);
    }
    for (auto entry = this->preparations.begin(); entry != this->preparations.end();) {
        const auto* state = this->fleet.find_target(entry->first);
        const bool done =
            state == nullptr || now >= entry->second.until || is_done(entry->second, state->entry);
        entry = done ? this->preparations.erase(entry) : std::next(entry);
    }
    for (auto entry = this->reservations.begin(); entry != this->reservations.end();) {
        entry = now >= entry->second.until ? this->reservations.erase(entry) : std::next(entry);
    }
    while (!this->load_starts.empty() && this->load_starts.front() + load_window <= now) {
        this->load_starts.pop_front();
    }
}

bool group_manager::is_done(const preparation& wanted, const target_entry& engine)
{
    const auto& staged = engine.staged;
    return engine.model == wanted.model ||
           (!wanted.into_memory && std::find(staged.begin(), staged.end(), wanted.model) != staged.end());
}

void group_manager::review_groups(time_point now)
{
    std::map<group_key, group_members> by_group;
    const auto add = [&](const target_entry& entry) {
        std::optional<group_key> shown;
        if (entry.membership && !is_fence_group(entry.membership->group)) {
            shown = group_key(entry.membership->group, entry.membership->epoch);
            by_group[*shown].registered.push_back(&entry);
        }
        if (const auto in = this->membership_of(entry);
            in && in->group != shown && !is_fence_group(in->group.first)) {
            by_group[in->group].assigned.push_back(&entry);
        }
    };
    for (const auto& [instance, entry] : this->fleet.absent_members()) {
        add(entry);
    }
    for (const auto& [instance, state] : this->fleet.targets()) {
        add(state.entry);
    }
    for (auto entry = this->endings.begin(); entry != this->endings.end();) {
        const auto& state = entry->second;
        const bool past = state.released || now - state.since > detail::max_order_delay;
        entry = by_group.count(entry->first) == 0 && !state.order_pending && past ? this->endings.erase(entry)
                                                                                  : std::next(entry);
    }
    for (const auto& [key, members] : by_group) {
        this->review_group(key, members, now);
    }
    for (auto& [key, state] : this->endings) {
        this->advance_ending(key, state, now);
    }
}

void group_manager::review_group(const group_key& key, const group_members& members, time_point now)
{
    if (const auto forming = this->formations.find(key.first);
        forming != this->formations.end() && forming->second.epoch == key.second) {
        return;
    }
    if (this->endings.count(key) != 0) {
        return;
    }
    const target_entry* head = nullptr;
    std::vector<instance_id> names;
    for (const auto* member : members.registered) {
        head = member->membership->rank == 0 ? member : head;
        names.push_back(member->instance);
    }
    for (const auto* member : members.assigned) {
        names.push_back(member->instance);
        if (head == nullptr && this->membership_of(*member)->rank == 0) {
            return this->end_group(key, *member, names, true, now,
                                   "entry of the head does not show the group");
        }
    }
    if (head == nullptr) {
        // The head may still serve and be cut off from the store only.
        const auto* removed = this->fleet.removed_head(key.first, key.second);
        return this->end_group(key, removed != nullptr ? *removed : target_entry{}, names, true, now,
                               "head not registered");
    }
    const auto phase = head->membership->phase;
    if (phase == group_phase::closing) {
        return;
    }
    if (phase != group_phase::open) {
        if (this->may_become_ready(members, *head, now)) {
            return;
        }
        // The previous manager may have ordered members into later groups, and such orders may be carried out
        // late. Members of a group with an epoch of this manager refuse them.
        return this->end_group(key, *head, names, false, now, "left unfinished by a previous manager");
    }
    if (this->opened_after_takeover(key, *head)) {
        return this->end_group(key, *head, names, false, now, "opened by a late order of a previous manager");
    }
    const auto* service = this->fleet.config()->find_service(head->service);
    const auto* model =
        service != nullptr && service->engines ? service->engines->find(head->model) : nullptr;
    if (model == nullptr) {
        return this->end_group(key, *head, names, true, now, "model is no longer served");
    }
    for (const auto* member : members.registered) {
        if (this->is_lost(*member)) {
            return this->end_group(key, *head, names, false, now, "member lost");
        }
        if (member->draining) {
            return this->end_group(key, *head, names, true, now, "member is draining");
        }
    }
    if (members.registered.size() < model->group_size) {
        this->end_group(key, *head, names, true, now, "member not registered");
    }
}

group_manager::occupied_engines group_manager::find_occupied() const
{
    occupied_engines out;
    for (const auto& [group, forming] : this->formations) {
        out.reserved.insert(forming.members.begin(), forming.members.end());
    }
    for (const auto& [member, until] : this->leaving) {
        out.reserved.insert(member);
    }
    for (const auto& [key, end] : this->endings) {
        if (end.released) {
            continue;
        }
        out.ending.emplace(end.head.instance, &key);
        for (const auto& member : end.members) {
            out.ending.emplace(member, &key);
        }
    }
    return out;
}

group_manager::availability group_manager::availability_of(const target_state& engine,
                                                           const occupied_engines& occupied) const
{
    const auto& entry = engine.entry;
    if (entry.draining || engine.kept_until || this->is_lost(entry) ||
        this->fleet.drained_domain(entry.failure_domain)) {
        return availability::unusable;
    }
    if (occupied.reserved.count(entry.instance) != 0) {
        return availability::busy;
    }
    const auto in = this->membership_of(entry);
    const auto [first, last] = occupied.ending.equal_range(entry.instance);
    // A member that reports no membership any more is busy as well: the head may still serve.
    if (std::any_of(first, last, [&](const auto& ending) { return !in || in->group == *ending.second; })) {
        return availability::busy;
    }
    if (!in || is_fence_group(in->group.first)) {
        return availability::free;
    }
    const auto end = this->endings.find(in->group);
    return end != this->endings.end() && end->second.released ? availability::free : availability::busy;
}

std::optional<group_assignments::membership> group_manager::membership_of(const target_entry& engine) const
{
    const auto* known = this->assignments.find({engine.instance, engine.started_ms});
    const auto& shown = engine.membership;
    if (shown && (known == nullptr || !known->confirmed || known->group.second <= shown->epoch)) {
        return group_assignments::membership{{shown->group, shown->epoch}, shown->rank};
    }
    return known != nullptr ? std::optional(*known) : std::nullopt;
}

std::uint32_t group_manager::loads_allowed(const engine_profile& profile) const
{
    std::uint32_t running = 0;
    for (const auto& [group, forming] : this->formations) {
        running += forming.loads;
    }
    running +=
        static_cast<std::uint32_t>(std::count_if(this->preparations.begin(), this->preparations.end(),
                                                 [](const auto& entry) { return entry.second.from_store; }));
    if (this->first_start) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    if (running >= profile.concurrent_loads) {
        return 0;
    }
    const auto recent = static_cast<double>(this->load_starts.size());
    const auto by_rate = profile.loads_per_s > 0 ? std::max(0.0, std::floor(profile.loads_per_s - recent))
                                                 : profile.concurrent_loads;
    return std::min(profile.concurrent_loads - running, static_cast<std::uint32_t>(by_rate));
}

std::vector<planner_model> group_manager::planner_models(const engine_profile& profile) const
{
    double configured_sum = 0;
    double offered_load_sum = 0;
    for (const auto& model : profile.models) {
        configured_sum += model.engine_share;
        const auto found = this->offered_load.find(model.model);
        offered_load_sum += found == this->offered_load.end() ? 0 : found->second;
    }
    std::vector<planner_model> out;
    for (const auto& model : profile.models) {
        const auto found = this->offered_load.find(model.model);
        const auto configured_share = configured_sum > 0 ? model.engine_share / configured_sum
                                                         : 1.0 / static_cast<double>(profile.models.size());
        const auto measured_share = offered_load_sum > 0 && found != this->offered_load.end()
                                        ? found->second / offered_load_sum
                                        : configured_share;
        const auto load = this->first_start ? model.load / first_start_load_divisor : model.load;
        out.push_back({model.model, model.group_size,
                       configured_share + measured_weight * (measured_share - configured_share), load,
                       model.warm});
    }
    return out;
}

void group_manager::plan(time_point now)
{
    for (const auto& [name, service] : this->fleet.config()->services()) {
        if (service.engines) {
            this->plan_service(service, now);
        }
    }
}

void group_manager::plan_service(const service& of, time_point now)
{
    if (this->first_start && now - this->fleet.newest_target() < registration_settle_time) {
        return;
    }
    planner_input input;
    input.models = this->planner_models(*of.engines);
    input.loads_allowed = this->loads_allowed(*of.engines);
    input.loads_kept_for_spares = this->first_start ? 0 : of.engines->concurrent_loads / 2;
    input.join_with_loads = this->first_start;
    const auto occupied = this->find_occupied();
    for (const auto& [instance, state] : this->fleet.targets()) {
        if (state.entry.service != of.name) {
            continue;
        }
        const auto availability = this->availability_of(state, occupied);
        if (availability == availability::unusable) {
            continue;
        }
        planner_engine engine{instance,          state.entry.fabric, availability == availability::free,
                              state.entry.model, state.entry.staged, model_id()};
        if (const auto staging = this->preparations.find(instance); staging != this->preparations.end()) {
            engine.staging = staging->second.model;
        }
        input.engines.push_back(std::move(engine));
    }
    for (const auto& group : this->fleet.groups()) {
        // Groups of a drained failure domain stay formed for its return but serve no requests now.
        const auto* head = this->fleet.find_target(group.head);
        const bool in_service = head != nullptr && !this->fleet.drained_domain(head->entry.failure_domain);
        if (group.service == of.name && in_service && this->endings.count({group.group, group.epoch}) == 0) {
            input.groups.push_back({group.group, group.model, group.fabric, group.members, true});
        }
    }
    for (const auto& entry : this->formations) {
        const auto& forming = entry.second;
        const bool serves =
            std::any_of(input.groups.begin(), input.groups.end(),
                        [&](const planner_group& group) { return group.group == forming.group; });
        if (forming.service == of.name && !serves) {
            input.groups.push_back({forming.group, forming.model, forming.fabric, forming.members, false});
        }
    }
    for (const auto& [fabric, reserved] : this->reservations) {
        input.reserved[fabric] = {reserved.model, reserved.groups};
    }
    const auto plan = plan_replicas(input);
    for (const auto& wanted : plan.create) {
        this->start_formation(of, wanted, now);
    }
    if (plan.retire) {
        this->retire(*plan.retire, now);
    }
    for (const auto& wanted : plan.warm_up) {
        if (this->stage_orders >= max_stage_orders) {
            break;
        }
        this->start_warmup(wanted, *of.engines->find(wanted.model), now);
    }
    for (const auto& wanted : plan.stage) {
        if (this->stage_orders >= max_stage_orders) {
            break; // a later pass orders the rest
        }
        this->start_staging(wanted, *of.engines->find(wanted.model), now);
    }
}

void group_manager::retire(const planned_retirement& wanted, time_point now)
{
    this->reservations[wanted.fabric] = {wanted.model, wanted.groups_formed,
                                         now + detail::graceful_end + detail::formation_slack};
    for (const auto& group : this->fleet.groups()) {
        if (std::find(wanted.groups.begin(), wanted.groups.end(), group.group) != wanted.groups.end()) {
            this->end_group(group, true, now, "another model needs the engines");
        }
    }
}

result<order_verdict> group_manager::order(const target_entry& engine, const group_order& what,
                                           yield_context yield, bool urgent)
{
    const auto decided_under = this->lease_revision;
    const order_slots::permit slot(this->slots, urgent, yield);
    const auto now = steady_clock::now();
    if (!this->lease.manages(now) || decided_under != this->lease.manager_revision()) {
        return failure{failure_kind::lapsed, "order not sent: this daemon does not hold the manager lease"};
    }
    if (const auto& permit = what.permit()) {
        if (permit->engine().instance != engine.instance || !this->assignments.in_force(*permit)) {
            return failure{failure_kind::lapsed,
                           "order not sent: the engine is no longer assigned to the group"};
        }
        // An order names the instance only, and the evidence of the permit is about one life of it.
        const auto* registered = this->fleet.find_entry(engine.instance);
        if (registered != nullptr && registered->started_ms != permit->engine().started_ms) {
            return failure{failure_kind::lapsed, "order not sent: the engine has restarted"};
        }
    }
    this->orders.add();
    auto answer = this->ports.engines->order(engine, what, now + order_timeout, yield);
    if (failed(answer) && error(answer).kind == failure_kind::outcome_unknown) {
        this->unanswered_groups.emplace(what.group(), what.epoch());
    }
    if (succeeded(answer) && value(answer) == order_verdict::started) {
        this->accepted_at[engine.instance] = steady_clock::now();
    }
    return answer;
}

void group_manager::run_all(std::vector<std::function<void(yield_context)>> tasks, yield_context yield)
{
    std::size_t open = tasks.size();
    boost::asio::steady_timer done(this->context, time_point::max());
    for (auto& task : tasks) {
        start_coroutine(this->context, [&open, &done, run = std::move(task)](yield_context inner) {
            run(inner);
            if (--open == 0) {
                done.cancel();
            }
        });
    }
    while (open != 0) {
        boost::system::error_code ignored;
        done.async_wait(yield[ignored]);
    }
}

} // namespace rml::gateway
