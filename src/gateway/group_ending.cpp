#include "gateway/group_manager.hpp"

#include "base/log.hpp"
#include "gateway/coroutine.hpp"

#include <algorithm>

namespace rml::gateway {

namespace {

/// Shortest delay between two orders to an engine that does not answer. With the order timeout, this makes
/// about two attempts per second.
constexpr milliseconds ending_retry_delay{300};
/// A head may leave this many orders unanswered before a member is ordered to leave instead. One order may
/// be lost; a head whose registry entry was removed as well is probably gone.
constexpr std::uint32_t max_unanswered_orders = 2;
/// Bound on the linear backoff: the delay grows by at most this many times `ending_retry_delay`.
constexpr std::uint32_t max_retry_factor = 6;
/// Delay until a head is asked again whose report may be older than its last order.
constexpr milliseconds report_interval{100};
/// Added to the time after which a stalled group is broken, for the latency of the order to the member.
constexpr milliseconds stall_margin{500};

} // namespace

void group_manager::end_group(const group_key& key, const target_entry& head,
                              std::vector<instance_id> members, bool graceful, time_point now,
                              const std::string& reason)
{
    ending state;
    state.graceful = graceful;
    state.since = now;
    state.head = head;
    state.members = std::move(members);
    for (auto& member : this->assignments.members_of(key)) {
        if (std::find(state.members.begin(), state.members.end(), member) == state.members.end()) {
            state.members.push_back(std::move(member));
        }
    }
    // Orders of an earlier lease may have been left unanswered, which is not known here.
    const bool earlier_lease = key.second >> detail::epoch_counter_bits != this->lease_revision;
    state.needs_fence = earlier_lease || this->unanswered_groups.count(key) != 0;
    this->endings.emplace(key, state);
    this->ended.add();
    log(log_level::info, "ending group",
        {{"group", key.first.str()},
         {"reason", reason},
         {"graceful", graceful},
         {"head", head.instance.str()}});
    if (this->on_ending) {
        this->on_ending();
    }
}

void group_manager::end_group(const served_group& group, bool graceful, time_point now,
                              const std::string& reason)
{
    if (const auto* head = this->fleet.find_target(group.head); head != nullptr) {
        this->end_group({group.group, group.epoch}, head->entry, group.members, graceful, now, reason);
    }
}

const target_state* group_manager::find_reachable_member(const group_key& key, const ending& state)
{
    for (const auto& member : state.members) {
        const auto* candidate = this->fleet.find_target(member);
        if (candidate == nullptr || member == state.head.instance || this->is_lost(candidate->entry)) {
            continue;
        }
        const auto in = this->membership_of(candidate->entry);
        if (in ? in->group == key : member == state.asked_member) {
            return candidate;
        }
    }
    return nullptr;
}

void group_manager::order_member_to_leave(const group_key& key, ending& state, const target_entry& member)
{
    state.next_order = steady_clock::now() + ending_retry_delay;
    state.order_pending = true;
    state.asked_member = member.instance;
    start_coroutine(this->context, [this, key, engine = member](yield_context yield) {
        const auto answer = this->order(engine, group_order::leave(key), yield);
        const auto found = this->endings.find(key);
        if (found == this->endings.end()) {
            return;
        }
        found->second.order_pending = false;
        if (succeeded(answer) &&
            (value(answer) == order_verdict::started || value(answer) == order_verdict::already)) {
            found->second.member_left = true;
            found->second.head_broken_at = steady_clock::now() + this->configured.bounds.stall + stall_margin;
            log(log_level::info, "head unreachable; another member left, so the group stalls",
                {{"group", key.first.str()}, {"member", engine.instance.str()}});
        }
    });
}

void group_manager::confirm_head_unreachable(const group_key& key, ending& state)
{
    if (state.head.instance.empty()) {
        return this->release(key, state, release_evidence::head_unknown);
    }
    // A head without work may not have noticed that the member left, so a head that answers must leave first.
    state.order_pending = true;
    start_coroutine(this->context, [this, key, engine = state.head](yield_context yield) {
        this->probes_sent.add();
        const auto answer =
            this->ports.engines->report(engine, steady_clock::now() + detail::probe_timeout, yield);
        const auto found = this->endings.find(key);
        if (found == this->endings.end()) {
            return;
        }
        auto& current = found->second;
        current.order_pending = false;
        if (failed(answer)) {
            return this->release(key, current, release_evidence::head_stalled);
        }
        const auto& membership = value(answer).membership;
        if (membership && membership->epoch > key.second) {
            return this->release(key, current, release_evidence::head_moved_on);
        }
        const bool serves =
            membership && membership->group == key.first && membership->epoch == key.second &&
            (membership->phase == group_phase::open || membership->phase == group_phase::closing);
        if (!serves && !current.needs_fence) {
            return this->release(key, current, release_evidence::head_left);
        }
        // Late orders could make the head serve again, so it receives orders until it has joined the fence.
        current.head_broken_at = steady_clock::now() + this->configured.bounds.stall + stall_margin;
        current.unanswered_orders = 0;
        current.graceful = false;
    });
}

void group_manager::advance_ending(const group_key& key, ending& state, time_point now)
{
    if (state.released || state.order_pending) {
        return;
    }
    if (state.head_broken_at && now >= *state.head_broken_at) {
        return this->confirm_head_unreachable(key, state);
    }
    if (now < state.next_order) {
        return;
    }
    const auto* head = this->fleet.find_target(state.head.instance);
    if (head != nullptr && head->entry.started_ms != state.head.started_ms) {
        // Orders name the instance only, so the new process may have carried out some for this group. It has
        // to leave as well.
        log(log_level::info, "head of an ending group has restarted",
            {{"group", key.first.str()}, {"head", state.head.instance.str()}});
        auto model = std::move(state.head.model);
        state.head = head->entry;
        if (state.head.model.empty()) {
            state.head.model = std::move(model);
        }
        state.head_left = false;
        state.head_closed = false;
        state.unanswered_orders = 0;
    }
    // When a member leaves, the group stalls, and its head stops serving after the stall time even if it
    // cannot be reached. The head itself keeps receiving orders if no other member is reachable.
    const auto max_unanswered = head != nullptr ? max_unanswered_orders : 1;
    const bool head_unreachable =
        state.head.instance.empty() || this->is_lost(state.head) || state.unanswered_orders >= max_unanswered;
    if (!state.member_left && head_unreachable) {
        if (const auto* member = this->find_reachable_member(key, state); member != nullptr) {
            return this->order_member_to_leave(key, state, member->entry);
        }
    }
    if (state.head.instance.empty()) {
        return;
    }
    if (state.head_left) {
        return this->fence_head(key, state);
    }
    if (state.graceful && state.head_closed && now - state.since < detail::graceful_end && head != nullptr &&
        head->entry.membership && head->entry.membership->phase == group_phase::closing) {
        return; // the head finishes its requests
    }
    const auto what = next_end_order(key, state, head, now);
    state.order_pending = true;
    start_coroutine(this->context, [this, key, what, engine = state.head](yield_context yield) {
        const auto answer = this->order(engine, what, yield);
        if (const auto found = this->endings.find(key); found != this->endings.end()) {
            this->handle_end_verdict(key, found->second, what.action(), answer);
        }
    });
}

model_id group_manager::fence_model(const ending& state) const
{
    if (!state.head.model.empty()) {
        return state.head.model;
    }
    for (const auto& member : state.members) {
        if (const auto* target = this->fleet.find_target(member);
            target != nullptr && !target->entry.model.empty()) {
            return target->entry.model;
        }
    }
    if (!state.head.staged.empty()) {
        return state.head.staged.front();
    }
    const auto* service = this->fleet.config()->find_service(state.head.service);
    const bool has_models = service != nullptr && service->engines && !service->engines->models.empty();
    return has_models ? service->engines->models.front().model : model_id();
}

void group_manager::fence_head(const group_key& key, ending& state)
{
    state.order_pending = true;
    start_coroutine(this->context, [this, key, engine = state.head](yield_context yield) {
        this->probes_sent.add();
        const auto report =
            this->ports.engines->report(engine, steady_clock::now() + detail::probe_timeout, yield);
        auto found = this->endings.find(key);
        if (found == this->endings.end()) {
            return;
        }
        if (const auto what = this->next_fence_order(key, found->second, report); what) {
            const auto answer = this->order(engine, *what, yield);
            found = this->endings.find(key);
            if (found == this->endings.end()) {
                return;
            }
            this->handle_fence_verdict(key, found->second, what->action(), answer);
        }
        found->second.order_pending = false;
        if (found->second.released) {
            this->tick();
        }
    });
}

std::optional<group_order> group_manager::next_fence_order(const group_key& key, ending& state,
                                                           const result<engine_report>& report)
{
    if (failed(report)) {
        record_unanswered(key, state, error(report));
        return std::nullopt;
    }
    const auto now = steady_clock::now();
    state.unanswered_orders = 0;
    const auto& in = value(report).membership;
    if (in && in->epoch > key.second) {
        this->release(key, state, release_evidence::head_fenced);
        return std::nullopt;
    }
    if (in && !is_fence_group(in->group)) {
        if (now < state.left_at + detail::max_report_age) {
            state.next_order = now + report_interval;
            return std::nullopt;
        }
        log(log_level::info, "late orders took the head of an ending group back; ordering it to leave again",
            {{"group", key.first.str()},
             {"head", state.head.instance.str()},
             {"reported_group", in->group.str()},
             {"phase", std::string(to_string(in->phase))}});
        return group_order::leave({in->group, in->epoch});
    }
    if (now >= state.since + detail::max_order_delay) {
        // All orders that could open the group were sent before its ending began.
        this->release(key, state, release_evidence::head_left);
        return std::nullopt;
    }
    // An engine that joins a fence group has seen a newer epoch and refuses orders still in flight. It
    // refuses the fence if it has joined a later group, or if late orders have taken it back since its
    // report.
    const auto* head = this->fleet.find_target(state.head.instance);
    auto model = head != nullptr && !head->entry.model.empty() ? head->entry.model : this->fence_model(state);
    auto permit = group_assignments::permit_fence({state.head.instance, state.head.started_ms}, key,
                                                  value(report).accepted_orders);
    return group_order::join(std::move(permit), std::move(model), {state.head.instance});
}

void group_manager::handle_fence_verdict(const group_key& key, ending& state, group_action action,
                                         const result<order_verdict>& answer)
{
    if (failed(answer)) {
        return record_unanswered(key, state, error(answer));
    }
    const auto now = steady_clock::now();
    const auto verdict = value(answer);
    const bool accepted = verdict == order_verdict::started || verdict == order_verdict::already;
    state.next_order = now + report_interval;
    if (verdict == order_verdict::wrong_incarnation) {
        return this->release(key, state, release_evidence::head_moved_on);
    }
    if (action == group_action::leave) {
        state.left_at = accepted ? now : state.left_at;
        return;
    }
    if (accepted || verdict == order_verdict::stale) {
        return this->release(key, state, release_evidence::head_fenced);
    }
    log(log_level::info, "head refused its fence; asking it again",
        {{"group", key.first.str()},
         {"head", state.head.instance.str()},
         {"verdict", std::string(to_string(verdict))}});
}

void group_manager::record_unanswered(const group_key& key, ending& state, const failure& why)
{
    state.needs_fence = true;
    state.next_order =
        steady_clock::now() + ending_retry_delay * (1 + std::min(state.unanswered_orders, max_retry_factor));
    if (state.unanswered_orders++ == 0) {
        log(log_level::info, "head did not answer the order to end its group; retrying",
            {{"group", key.first.str()}, {"head", state.head.instance.str()}, context_field(why)});
    }
}

group_order group_manager::next_end_order(const group_key& key, const ending& state, const target_state* head,
                                          time_point now)
{
    const bool head_closed = state.head_closed && head != nullptr && head->entry.membership &&
                             head->entry.membership->phase == group_phase::ready;
    const bool closing = state.graceful && !head_closed && now - state.since < detail::graceful_end;
    // A closed head must leave as well: a late order to open would open it again.
    return closing ? group_order::close(key) : group_order::leave(key);
}

void group_manager::handle_end_verdict(const group_key& key, ending& state, group_action action,
                                       const result<order_verdict>& answer)
{
    state.order_pending = false;
    if (failed(answer)) {
        return record_unanswered(key, state, error(answer));
    }
    state.unanswered_orders = 0;
    state.next_order = steady_clock::now() + ending_retry_delay;
    const auto verdict = value(answer);
    const bool accepted = verdict == order_verdict::started || verdict == order_verdict::already;
    if (action == group_action::close) {
        state.head_closed = accepted;
        state.graceful = accepted; // the head refuses to close only if it is not open
    } else {
        // An engine that has seen a newer epoch, or another incarnation at its address, is not in this group.
        state.head_left =
            accepted || verdict == order_verdict::stale || verdict == order_verdict::wrong_incarnation;
        state.left_at = steady_clock::now();
        state.next_order = state.head_left ? time_point{} : state.next_order;
        if (state.head_left && !accepted) {
            this->release(key, state, release_evidence::head_moved_on);
        } else if (state.head_left && (!state.needs_fence || this->fence_model(state).empty())) {
            this->release(key, state, release_evidence::head_left);
        }
    }
    if (state.head_left && !state.released) {
        this->advance_ending(key, state, steady_clock::now());
    }
    if (state.released) {
        this->tick();
    }
}

void group_manager::release(const group_key& key, ending& state, release_evidence evidence)
{
    log(log_level::info, "group cannot serve any more; its members may join other groups",
        {{"group", key.first.str()}, {"evidence", std::string(to_string(evidence))}});
    // A later manager would take members that still report an ended group for a group without a head.
    for (const auto& member : state.members) {
        const auto* target = this->fleet.find_target(member);
        const bool head_has_left =
            member == state.head.instance && evidence != release_evidence::never_opened;
        if (target == nullptr || head_has_left || this->is_lost(target->entry)) {
            continue;
        }
        if (const auto in = this->membership_of(target->entry); !in || in->group != key) {
            continue;
        }
        if (is_without_answer(evidence)) {
            this->hold_until_left(key, target->entry, steady_clock::now());
        } else {
            this->order_to_leave(key, target->entry);
        }
    }
    state.released = evidence;
    this->assignments.release(key, evidence, state.head.started_ms, steady_clock::now());
    if (evidence == release_evidence::head_stalled) {
        this->assignments.forget(state.head.instance); // it may answer again and still serve
    }
}

void group_manager::order_to_leave(const group_key& key, const target_entry& member)
{
    start_coroutine(this->context, [this, key, engine = member](yield_context yield) {
        const auto answer = this->order(engine, group_order::leave(key), yield);
        if (failed(answer)) {
            log(log_level::info, "member did not answer the order to leave an ended group",
                {{"engine", engine.instance.str()}, context_field(error(answer))});
        }
    });
}

void group_manager::hold_until_left(const group_key& key, const target_entry& member, time_point now)
{
    log(log_level::info, "member has to leave a group whose head does not answer",
        {{"engine", member.instance.str()}, {"group", key.first.str()}});
    this->leaving[member.instance] = now + detail::max_report_age;
    this->order_to_leave(key, member);
}

} // namespace rml::gateway
