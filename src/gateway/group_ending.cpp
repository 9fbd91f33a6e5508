#include "gateway/group_manager.hpp"

#include "base/log.hpp"
#include "gateway/coroutine.hpp"

#include <algorithm>
#include <string_view>

namespace rml::gateway {

namespace {

/// Pause between two orders to an engine that does not answer; times out and pause make about two tries a
/// second.
constexpr milliseconds ending_retry{300};
/// Orders to end that a head may leave unanswered before a member is told instead. One may be lost.
constexpr std::uint32_t unanswered_limit = 2;
/// Longest pause between two tries, as a multiple of the shortest.
constexpr std::uint32_t longest_retry_factor = 6;
/// Groups of one engine that only carry a newer epoch.
constexpr std::string_view parking_prefix = "parked-";
/// Added to the time after which a group that stands still is broken, for the order's way to the member.
constexpr milliseconds stall_margin{500};

} // namespace

void group_manager::end_group(const run_key& key, const target_entry& head, std::vector<instance_id> members,
                              bool graceful, time_point now, const std::string& reason)
{
    ending state;
    state.graceful = graceful;
    state.since = now;
    state.head = head;
    state.members = std::move(members);
    state.fence = this->unanswered_runs.count(key) != 0;
    this->endings.emplace(key, state);
    this->ended.add();
    log(log_level::info, "group ends",
        {{"group", key.first.str()},
         {"reason", reason},
         {"graceful", graceful},
         {"head", head.instance.str()}});
    if (this->on_end) {
        this->on_end();
    }
}

void group_manager::end_group(const served_group& group, bool graceful, time_point now,
                              const std::string& reason)
{
    if (const auto* head = this->fleet.find_target(group.head); head != nullptr) {
        this->end_group({group.group, group.epoch}, head->entry, group.members, graceful, now, reason);
    }
}

const target_state* group_manager::member_to_tell(const run_key& key, const ending& state)
{
    for (const auto& member : state.members) {
        const auto* candidate = this->fleet.find_target(member);
        if (candidate != nullptr && member != state.head.instance && !this->is_lost(candidate->entry) &&
            candidate->entry.membership && candidate->entry.membership->group == key.first &&
            candidate->entry.membership->epoch == key.second) {
            return candidate;
        }
    }
    return nullptr;
}

void group_manager::tell_a_member(const run_key& key, ending& state, const target_entry& member)
{
    state.next_order = steady_clock::now() + ending_retry;
    state.order_pending = true;
    start_coroutine(this->context, [this, key, engine = member](yield_context yield) {
        const auto answer = this->order(engine, leave_order(key), yield);
        const auto found = this->endings.find(key);
        if (found == this->endings.end()) {
            return;
        }
        found->second.order_pending = false;
        if (succeeded(answer) &&
            (value(answer) == order_verdict::started || value(answer) == order_verdict::already)) {
            found->second.member_told = true;
            found->second.broken_at = steady_clock::now() + this->configured.bounds.stall + stall_margin;
            log(log_level::info, "head out of reach, member left instead",
                {{"group", key.first.str()}, {"member", engine.instance.str()}});
        }
    });
}

void group_manager::confirm_out_of_reach(const run_key& key, ending& state)
{
    if (state.head.instance.empty()) {
        state.acknowledged = true; // nobody knows where it is, and its group has stood still long enough
        return;
    }
    // A head without work may not have noticed that the member left, so one that answers has to leave first.
    state.order_pending = true;
    start_coroutine(this->context, [this, key, engine = state.head](yield_context yield) {
        this->probes_sent.add();
        const auto answer =
            this->ports.engines->report(engine, steady_clock::now() + detail::probe_timeout, yield);
        const auto found = this->endings.find(key);
        if (found == this->endings.end()) {
            return;
        }
        auto& asked = found->second;
        asked.order_pending = false;
        if (succeeded(answer)) {
            const auto& membership = value(answer).membership;
            const bool serves =
                membership && membership->group == key.first && membership->epoch == key.second &&
                (membership->phase == group_phase::open || membership->phase == group_phase::closing);
            asked.acknowledged = !serves;
            asked.broken_at.reset();
            asked.unanswered = 0;
            asked.graceful = false;
        } else {
            asked.acknowledged = true;
        }
        if (asked.acknowledged) {
            this->release_members(key, asked);
        }
    });
}

void group_manager::progress_ending(const run_key& key, ending& state, time_point now)
{
    if (state.acknowledged || state.order_pending || now < state.next_order) {
        return;
    }
    // An engine that left makes the group stand still, and after the time for that the head is broken. This
    // holds wherever the head is.
    // A head that has left only lacks its fence, and one without other members is the only one to ask: both
    // go on being given orders.
    const bool out_of_reach = state.head.instance.empty() || state.unanswered >= unanswered_limit;
    if (!state.left && !state.member_told && out_of_reach) {
        if (const auto* member = this->member_to_tell(key, state); member != nullptr) {
            return this->tell_a_member(key, state, member->entry);
        }
    }
    if (state.broken_at && now >= *state.broken_at) {
        return this->confirm_out_of_reach(key, state);
    }
    if (state.head.instance.empty()) {
        return;
    }
    const auto* head = this->fleet.find_target(state.head.instance);
    if (head != nullptr && head->entry.started_ms != state.head.started_ms) {
        state.acknowledged = true; // another life of the head knows nothing of the group
        return;
    }
    if (state.graceful && state.closed && now - state.since < detail::graceful_end && head != nullptr &&
        head->entry.membership && head->entry.membership->phase == group_phase::closing) {
        return; // finishes what it has
    }
    const auto what = this->next_end_order(key, state, head, now);
    state.order_pending = true;
    start_coroutine(this->context, [this, key, what, engine = state.head](yield_context yield) {
        const auto answer = this->order(engine, what, yield);
        if (const auto found = this->endings.find(key); found != this->endings.end()) {
            this->take_end_answer(key, found->second, what.action, answer);
        }
    });
}

bool group_manager::is_parked(const group_id& group)
{
    return group.str().compare(0, parking_prefix.size(), parking_prefix) == 0;
}

group_order group_manager::leave_order(const run_key& key)
{
    group_order what;
    what.action = group_action::leave;
    what.group = key.first;
    what.epoch = key.second;
    return what;
}

group_order group_manager::next_end_order(const run_key& key, const ending& state, const target_state* head,
                                          time_point now)
{
    if (state.left) {
        // Joining a group of its own, the engine sees a newer epoch and refuses what is still under way. An
        // engine that has joined a later group since refuses the fence.
        group_order what;
        what.action = group_action::join;
        what.epoch = fence_epoch(key);
        what.group = group_id(std::string(parking_prefix) + std::to_string(what.epoch));
        what.model = head != nullptr ? head->entry.model : state.head.model;
        what.members = {state.head.instance};
        return what;
    }
    const bool closed = state.closed && head != nullptr && head->entry.membership &&
                        head->entry.membership->phase == group_phase::ready;
    const bool closing = state.graceful && !closed && now - state.since < detail::graceful_end;
    // A closed head is told to leave as well: an order to open that was left unanswered would open it again.
    auto what = leave_order(key);
    what.action = closing ? group_action::close : group_action::leave;
    return what;
}

void group_manager::take_end_answer(const run_key& key, ending& state, group_action action,
                                    const result<order_verdict>& answer)
{
    state.order_pending = false;
    state.next_order =
        steady_clock::now() + ending_retry * (1 + std::min(state.unanswered, longest_retry_factor));
    if (failed(answer)) {
        state.fence = true;
        if (state.unanswered++ == 0) {
            log(log_level::info, "head does not answer the order to end",
                {{"group", key.first.str()},
                 {"head", state.head.instance.str()},
                 context_field(error(answer))});
        }
        return;
    }
    const auto verdict = value(answer);
    const bool accepted = verdict == order_verdict::started || verdict == order_verdict::already;
    if (action == group_action::close) {
        state.closed = accepted;
        state.graceful = accepted; // what cannot be closed is not open
    } else if (action == group_action::leave) {
        // An engine that has seen a newer epoch, or another life at the address, is in no such group.
        state.left =
            accepted || verdict == order_verdict::stale || verdict == order_verdict::wrong_incarnation;
        state.acknowledged = state.left && (!state.fence || !accepted || state.head.model.empty());
        state.next_order = state.left ? time_point{} : state.next_order;
    } else {
        state.acknowledged = true;
        if (!accepted && verdict != order_verdict::stale) {
            log(log_level::warning, "newer epoch refused",
                {{"head", state.head.instance.str()}, {"verdict", std::string(to_string(verdict))}});
        }
    }
    if (state.left && !state.acknowledged) {
        this->progress_ending(key, state, steady_clock::now());
    }
    if (state.acknowledged) {
        this->release_members(key, state);
        this->tick();
    }
}

void group_manager::release_members(const run_key& key, const ending& state)
{
    // Members that keep reporting an ended group would look to a later holder as if its head were missing.
    for (const auto& member : state.members) {
        const auto* target = this->fleet.find_target(member);
        if (target == nullptr || member == state.head.instance || this->is_lost(target->entry) ||
            !target->entry.membership || target->entry.membership->group != key.first) {
            continue;
        }
        start_coroutine(this->context, [this, key, engine = target->entry](yield_context yield) {
            const auto answer = this->order(engine, leave_order(key), yield);
            if (failed(answer)) {
                log(log_level::info, "member does not answer the order to leave",
                    {{"engine", engine.instance.str()}, context_field(error(answer))});
            }
        });
    }
}

} // namespace rml::gateway
