#include "decision/ramp.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <string>

namespace rml {

std::uint64_t group_incarnation(std::uint64_t epoch, const std::vector<std::uint64_t>& member_incarnations)
{
    // Hashes all numbers as one text, because small numbers as hash seeds collide on inputs of a few bytes.
    auto text = std::to_string(epoch);
    for (const auto incarnation : member_incarnations) {
        text += '@' + std::to_string(incarnation);
    }
    return hash64(text);
}

void slot_allocator::update_lease(time_point valid_until, time_point now)
{
    if (!this->lease_valid(now)) {
        this->earliest_grant = now + this->lifetime;
        for (auto entry = this->incarnations.begin(); entry != this->incarnations.end();) {
            // A warm incarnation stays warm without the lease. Counts of slots are valid only under one
            // lease.
            if (!entry->second.is_warm) {
                if (const auto known = this->current.find(entry->first.first);
                    known != this->current.end() && known->second == entry->first.second) {
                    this->current.erase(known);
                }
                entry = this->incarnations.erase(entry);
                continue;
            }
            entry->second.grants.clear();
            entry->second.trial_allowed_from = this->earliest_grant + limits::max_request_time;
            ++entry;
        }
    }
    this->lease_until = valid_until;
}

void slot_allocator::update_target(const group_id& target, std::uint64_t incarnation,
                                   const ramp_settings& ramp, time_point now)
{
    this->current[target] = incarnation;
    for (auto old = this->incarnations.lower_bound({target, 0});
         old != this->incarnations.end() && old->first.first == target;) {
        const bool ended = old->first.second != incarnation && old->second.ended(now);
        old = ended ? this->incarnations.erase(old) : std::next(old);
    }
    const auto [entry, created] = this->incarnations.try_emplace(incarnation_key{target, incarnation});
    entry->second.ramp = ramp;
    if (created) {
        entry->second.slots = std::min(ramp.start_slots, ramp.full_slots);
        entry->second.step_start = now;
        entry->second.is_warm = ramp.start_slots >= ramp.full_slots;
        entry->second.status_not_before = std::max(this->earliest_grant + limits::slot_dispatch_margin, now);
        entry->second.trial_allowed_from = this->earliest_grant + limits::max_request_time;
    }
}

void slot_allocator::destroy_target(const group_id& target)
{
    this->current.erase(target);
    const auto first = this->incarnations.lower_bound({target, 0});
    const auto last = std::find_if(first, this->incarnations.end(),
                                   [&](const auto& entry) { return entry.first.first != target; });
    this->incarnations.erase(first, last);
}

void slot_allocator::mark_warm(const group_id& target, std::uint64_t incarnation)
{
    if (auto* state = this->find_current(target, incarnation)) {
        state->finish_ramp();
    }
}

bool slot_allocator::incarnation_state::ended(time_point now) const
{
    return now >= this->trial_allowed_from &&
           std::all_of(this->grants.begin(), this->grants.end(), [&](const outstanding_grant& entry) {
               return now >= entry.expires + limits::max_request_time;
           });
}

void slot_allocator::incarnation_state::finish_ramp()
{
    this->is_warm = true;
    this->slots = this->ramp.full_slots;
    this->unassigned = 0;
    this->grants.erase(
        std::remove_if(this->grants.begin(), this->grants.end(),
                       [](const outstanding_grant& entry) { return entry.kind == slot_kind::ramp; }),
        this->grants.end());
}

slot_allocator::incarnation_state* slot_allocator::find_current(const group_id& target,
                                                                std::uint64_t incarnation)
{
    const auto known = this->current.find(target);
    if (known == this->current.end() || known->second != incarnation) {
        return nullptr;
    }
    return &this->incarnations.at({target, incarnation});
}

std::uint32_t slot_allocator::incarnation_state::limit() const
{
    return this->reported_capacity == 0 ? this->slots : std::min(this->slots, this->reported_capacity);
}

void slot_allocator::incarnation_state::restart_ramp(time_point observed_at)
{
    this->is_warm = false;
    this->slots = std::min(this->ramp.start_slots, this->ramp.full_slots);
    this->step_start = observed_at;
    // Until `status_not_before` daemons may send without slots, on an older digest or answer.
    this->status_known = false;
    this->status_not_before = observed_at + std::max(limits::slot_lifetime, limits::evidence_lifetime) +
                              limits::slot_dispatch_margin;
}

void slot_allocator::observe(const group_id& target, std::uint64_t incarnation, std::uint32_t requests,
                             time_point sent, std::uint32_t reported_capacity)
{
    auto* state = this->find_current(target, incarnation);
    if (state == nullptr || sent < state->status_not_before ||
        (state->status_known && sent == state->status_not_before)) {
        return;
    }
    state->reported_capacity = reported_capacity;
    if (state->is_warm) {
        if (!state->can_run_full_slots()) {
            state->restart_ramp(sent);
            ++this->counts.restarts;
        }
        return;
    }
    if (state->slots >= state->ramp.full_slots && state->can_run_full_slots()) {
        state->finish_ramp();
        return;
    }
    // An older status that arrives late may miss requests that are counted as unassigned, so it is ignored.
    state->status_not_before = sent;
    if (!state->status_known) {
        state->status_known = true;
        state->unassigned = requests;
        return;
    }
    const auto lapsed = [&](const outstanding_grant& entry) {
        return entry.expires + limits::slot_dispatch_margin <= sent;
    };
    std::uint32_t expired = 0;
    for (const auto& entry : state->grants) {
        expired += lapsed(entry) ? entry.unreleased() : 0;
    }
    if (state->unassigned + expired <= requests) {
        return;
    }
    // The status does not tell which of the expired slots have ended. All of them become unassigned requests,
    // so that a late release of an ended one does not free the slot of another that is still running.
    for (const auto& entry : state->grants) {
        if (lapsed(entry) && entry.kind == slot_kind::trial) {
            state->trial_allowed_from =
                std::max(state->trial_allowed_from, entry.expires + limits::max_request_time);
        }
    }
    state->grants.erase(std::remove_if(state->grants.begin(), state->grants.end(), lapsed),
                        state->grants.end());
    this->counts.expired_unreleased += expired;
    state->unassigned = requests;
}

std::uint32_t slot_allocator::available(const incarnation_state& state, slot_kind kind, time_point now) const
{
    std::uint32_t used = state.unassigned;
    bool trial_open = now < state.trial_allowed_from;
    for (const auto& entry : state.grants) {
        used += entry.unreleased();
        trial_open =
            trial_open || (entry.kind == slot_kind::trial && now < entry.expires + limits::max_request_time);
    }
    if (kind == slot_kind::trial && trial_open) {
        return 0;
    }
    if (state.is_warm) {
        return kind == slot_kind::trial ? 1 : 0;
    }
    if (!state.status_known || used >= state.limit()) {
        return 0;
    }
    return kind == slot_kind::trial ? 1 : state.limit() - used;
}

slot_grant slot_allocator::grant(const daemon_id& requester, const slot_request& request, time_point now)
{
    ++this->counts.requests;
    if (!this->lease_valid(now) || now < this->earliest_grant) {
        ++this->counts.refused_lease;
        return {request.request_id, 0, this->lifetime, false};
    }
    auto* state = this->find_current(request.target, request.incarnation);
    if (state == nullptr) {
        ++this->counts.refused_stale;
        return {request.request_id, 0, this->lifetime, false};
    }
    if (state->is_warm && request.kind == slot_kind::ramp) {
        return {request.request_id, 0, this->lifetime, true};
    }
    const auto earlier =
        std::find_if(state->grants.begin(), state->grants.end(), [&](const outstanding_grant& entry) {
            return entry.daemon == requester && entry.request_id == request.request_id;
        });
    if (earlier != state->grants.end()) {
        return {request.request_id, earlier->granted, this->lifetime, false};
    }
    const auto count = std::min(request.count, this->available(*state, request.kind, now));
    if (count == 0) {
        ++this->counts.refused_full;
        return {request.request_id, 0, this->lifetime, false};
    }
    if (state->is_warm) {
        // The only grants on a warm target are trials, and `available` has checked that the last one has
        // ended or expired.
        state->grants.clear();
    }
    outstanding_grant entry;
    entry.daemon = requester;
    entry.request_id = request.request_id;
    entry.kind = request.kind;
    entry.granted = count;
    entry.expires = now + this->lifetime;
    state->grants.push_back(std::move(entry));
    this->counts.granted += count;
    return {request.request_id, count, this->lifetime, false};
}

void slot_allocator::release(const daemon_id& requester, const slot_release& report, time_point now)
{
    const auto found = this->incarnations.find({report.target, report.incarnation});
    if (found == this->incarnations.end()) {
        return;
    }
    auto& state = found->second;
    const auto entry =
        std::find_if(state.grants.begin(), state.grants.end(), [&](const outstanding_grant& candidate) {
            return candidate.daemon == requester && candidate.request_id == report.request_id;
        });
    if (entry == state.grants.end() || report.released <= entry->last.released) {
        return;
    }
    const bool any_succeeded = report.succeeded > entry->last.succeeded;
    const bool any_failed = report.failed > entry->last.failed;
    entry->last = report;
    entry->last.released = std::min(report.released, entry->granted);
    if (entry->unreleased() == 0) {
        state.grants.erase(entry);
    }
    if (any_failed) {
        state.step_start = now;
    } else if (any_succeeded && !state.is_warm && now - state.step_start >= state.ramp.ramp_step) {
        state.slots = state.slots >= state.ramp.full_slots / 2 ? state.ramp.full_slots : state.slots * 2;
        state.step_start = now;
        ++this->counts.doublings;
        if (state.slots >= state.ramp.full_slots && state.can_run_full_slots()) {
            state.status_not_before = std::max(state.status_not_before, now);
            state.finish_ramp();
        }
    }
}

std::uint32_t slot_allocator::limit(const group_id& target) const
{
    const auto known = this->current.find(target);
    return known == this->current.end() ? 0 : this->incarnations.at({target, known->second}).limit();
}

bool slot_allocator::warm(const group_id& target, std::uint64_t incarnation) const
{
    const auto found = this->incarnations.find({target, incarnation});
    return found != this->incarnations.end() && found->second.is_warm;
}

slot_request slot_client::make_request(const group_id& target, std::uint64_t incarnation, slot_kind kind,
                                       std::uint32_t count, time_point now)
{
    held_grant entry;
    entry.request = {this->next_request_id++, target, incarnation, kind, count};
    entry.sent = now;
    entry.expires = now + limits::slot_lifetime;
    entry.totals.request_id = entry.request.request_id;
    entry.totals.target = target;
    entry.totals.incarnation = incarnation;
    entry.totals.kind = kind;
    ++this->counts.requests;
    auto request = entry.request;
    this->held_grants.emplace(request.request_id, std::move(entry));
    return request;
}

std::uint32_t slot_client::pending(const group_id& target, slot_kind kind, time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& [request_id, entry] : this->held_grants) {
        if (entry.request.target == target && entry.request.kind == kind && now < entry.expires) {
            sum += entry.answered ? entry.unused : entry.request.count;
        }
    }
    return sum;
}

void slot_client::accept(const slot_grant& answer, time_point now)
{
    const auto found = this->held_grants.find(answer.request_id);
    if (found == this->held_grants.end() || found->second.answered) {
        ++this->counts.late_grants;
        return;
    }
    auto& entry = found->second;
    if (answer.warm) {
        this->warm_answers[entry.request.target] = {entry.request.incarnation,
                                                    entry.sent + limits::slot_lifetime};
    }
    entry.answered = true;
    entry.expires = entry.sent + std::min(answer.ttl, limits::slot_lifetime);
    entry.unused = std::min(answer.count, entry.request.count);
    this->counts.received += entry.unused;
    this->counts.late_grants += now >= entry.expires ? 1 : 0;
}

std::optional<slot_use> slot_client::acquire(const group_id& target, std::uint64_t incarnation,
                                             slot_kind kind, time_point now)
{
    for (auto& [request_id, entry] : this->held_grants) {
        const auto& request = entry.request;
        if (entry.unused > 0 && now < entry.expires && request.target == target &&
            request.incarnation == incarnation && request.kind == kind) {
            --entry.unused;
            ++entry.in_use;
            ++this->counts.used;
            return slot_use{request_id, target, incarnation, kind};
        }
    }
    return std::nullopt;
}

std::uint32_t slot_client::available(const group_id& target, std::uint64_t incarnation, slot_kind kind,
                                     time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& [request_id, entry] : this->held_grants) {
        const auto& request = entry.request;
        if (now < entry.expires && request.target == target && request.incarnation == incarnation &&
            request.kind == kind) {
            sum += entry.unused;
        }
    }
    return sum;
}

slot_release slot_client::end_use(const slot_use& use, std::uint32_t succeeded, std::uint32_t failed)
{
    const auto found = this->held_grants.find(use.slot_request_id);
    if (found == this->held_grants.end() || found->second.in_use == 0) {
        return {use.slot_request_id, use.target, use.incarnation, use.kind, 0, 0, 0};
    }
    auto& entry = found->second;
    --entry.in_use;
    ++entry.totals.released;
    entry.totals.succeeded += succeeded;
    entry.totals.failed += failed;
    auto report = entry.totals;
    if (entry.in_use == 0 && entry.unused == 0) {
        this->held_grants.erase(found);
    }
    return report;
}

slot_release slot_client::release(const slot_use& use, bool succeeded)
{
    return this->end_use(use, succeeded ? 1 : 0, succeeded ? 0 : 1);
}

slot_release slot_client::cancel(const slot_use& use)
{
    return this->end_use(use, 0, 0);
}

std::vector<slot_release> slot_client::expire(time_point now)
{
    std::vector<slot_release> reports;
    for (auto entry = this->held_grants.begin(); entry != this->held_grants.end();) {
        auto& held = entry->second;
        if (now >= held.expires && held.unused > 0) {
            held.totals.released += held.unused;
            this->counts.returned_unused += held.unused;
            held.unused = 0;
            reports.push_back(held.totals);
        }
        const bool ended = held.in_use == 0 && held.unused == 0 && (held.answered || now >= held.expires);
        entry = ended ? this->held_grants.erase(entry) : std::next(entry);
    }
    for (auto answer = this->warm_answers.begin(); answer != this->warm_answers.end();) {
        answer = now >= answer->second.until ? this->warm_answers.erase(answer) : std::next(answer);
    }
    return reports;
}

void slot_client::update_incarnation(const group_id& target, std::uint64_t incarnation)
{
    for (auto& [request_id, entry] : this->held_grants) {
        if (entry.request.target == target && entry.request.incarnation != incarnation) {
            this->counts.voided += entry.unused;
            entry.unused = 0;
            entry.answered = true;
        }
    }
    if (const auto known = this->warm_answers.find(target);
        known != this->warm_answers.end() && known->second.incarnation != incarnation) {
        this->warm_answers.erase(known);
    }
}

bool slot_client::warm(const group_id& target, std::uint64_t incarnation) const
{
    const auto found = this->warm_answers.find(target);
    return found != this->warm_answers.end() && found->second.incarnation == incarnation;
}

} // namespace rml
