#include "decision/group_assignments.hpp"

#include <algorithm>

namespace rml {

namespace {

constexpr std::string_view fence_group_prefix = "parked-";

} // namespace

group_key fence_group(std::uint64_t epoch)
{
    return {group_id(std::string(fence_group_prefix) + std::to_string(epoch)), epoch};
}

bool is_fence_group(const group_id& group)
{
    return group.str().compare(0, fence_group_prefix.size(), fence_group_prefix) == 0;
}

std::string_view to_string(release_evidence evidence)
{
    switch (evidence) {
    case release_evidence::never_opened:
        return "never opened";
    case release_evidence::head_left:
        return "head left";
    case release_evidence::head_moved_on:
        return "head moved on";
    case release_evidence::head_fenced:
        return "head fenced";
    case release_evidence::head_stalled:
        return "head stalled";
    case release_evidence::head_unknown:
        return "head unknown";
    }
    return "unknown";
}

void group_assignments::assign(const engine_life& engine, const membership& in)
{
    const auto* current = this->find(engine);
    if (current != nullptr && current->group.second > in.group.second) {
        return;
    }
    auto& entry = this->update(engine);
    entry.current = in;
    entry.previous.reset();
    entry.accepted_orders.reset();
}

group_assignments::record& group_assignments::update(const engine_life& engine)
{
    ++this->changes[engine.instance];
    auto& entry = this->records[engine.instance];
    if (entry.started_ms != engine.started_ms) {
        entry = {};
        entry.started_ms = engine.started_ms;
    }
    return entry;
}

std::optional<join_permit> group_assignments::permit_join(const engine_life& engine, const membership& in)
{
    const auto* current = this->find(engine);
    const bool same_group = current != nullptr && current->group == in.group;
    const bool newer_group = current != nullptr && current->group.second > in.group.second;
    if (!same_group && (newer_group || !this->vacant(engine))) {
        return std::nullopt;
    }
    // After the order of this permit the number is no longer known.
    const auto accepted_orders =
        same_group ? std::nullopt : this->records.at(engine.instance).accepted_orders;
    auto assigned = in;
    assigned.confirmed = !is_fence_group(in.group.first);
    this->assign(engine, assigned);
    return join_permit(engine, in.group, false, accepted_orders);
}

join_permit group_assignments::permit_fence(const engine_life& head, const group_key& ended,
                                            std::optional<std::uint64_t> accepted_orders)
{
    return {head, fence_group(fence_epoch(ended)), true, accepted_orders};
}

bool group_assignments::in_force(const join_permit& permit) const
{
    const auto* current = this->find(permit.holder);
    return permit.is_fence || (current != nullptr && current->group == permit.target);
}

void group_assignments::confirm(const join_permit& permit)
{
    if (!permit.is_fence && this->in_force(permit)) {
        this->update(permit.holder).current->confirmed = true;
    }
}

std::uint64_t group_assignments::changes_of(const instance_id& engine) const
{
    const auto found = this->changes.find(engine);
    return found != this->changes.end() ? found->second : 0;
}

void group_assignments::forget(const instance_id& engine)
{
    if (const auto found = this->records.find(engine); found != this->records.end()) {
        ++this->changes[engine];
        this->records.erase(found);
    }
}

void group_assignments::record_free(const engine_life& engine, std::optional<std::uint64_t> accepted_orders)
{
    auto& entry = this->update(engine);
    entry.current.reset();
    entry.previous.reset();
    entry.accepted_orders = accepted_orders;
}

join_permit group_assignments::renew(const join_permit& permit, std::optional<std::uint64_t> accepted_orders)
{
    auto out = permit;
    out.as_of = accepted_orders;
    return out;
}

void group_assignments::release(const group_key& group, release_evidence evidence,
                                std::int64_t head_started_ms, time_point now)
{
    this->releases[group] = {evidence, head_started_ms, now};
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        auto& [instance, state] = *entry;
        if (!state.current || state.current->group != group) {
            ++entry;
            continue;
        }
        ++this->changes[instance];
        if (is_without_answer(evidence)) {
            entry = this->records.erase(entry);
            continue;
        }
        state.current.reset();
        state.previous = {group.first, evidence};
        ++entry;
    }
}

const group_assignments::membership* group_assignments::find(const engine_life& engine) const
{
    const auto found = this->records.find(engine.instance);
    return found != this->records.end() && found->second.started_ms == engine.started_ms &&
                   found->second.current
               ? &*found->second.current
               : nullptr;
}

bool group_assignments::vacant(const engine_life& engine) const
{
    const auto* current = this->find(engine);
    const bool fenced = current != nullptr && is_fence_group(current->group.first) && current->confirmed;
    return this->knows(engine) && (current == nullptr || fenced);
}

bool group_assignments::knows(const engine_life& engine) const
{
    const auto found = this->records.find(engine.instance);
    return found != this->records.end() && found->second.started_ms == engine.started_ms;
}

std::string group_assignments::describe(const engine_life& engine) const
{
    if (!this->knows(engine)) {
        return "unknown";
    }
    const auto& entry = this->records.at(engine.instance);
    if (entry.current) {
        return entry.current->group.first.str();
    }
    return entry.previous
               ? entry.previous->first.str() + " (" + std::string(to_string(entry.previous->second)) + ")"
               : "none";
}

std::optional<release_evidence> group_assignments::released(const group_key& group) const
{
    const auto found = this->releases.find(group);
    return found == this->releases.end() ? std::nullopt : std::optional(found->second.evidence);
}

std::int64_t group_assignments::released_life(const group_key& group) const
{
    const auto found = this->releases.find(group);
    return found == this->releases.end() ? 0 : found->second.head_started_ms;
}

std::vector<instance_id> group_assignments::members_of(const group_key& group) const
{
    std::vector<std::pair<std::uint32_t, instance_id>> ranked;
    for (const auto& [instance, entry] : this->records) {
        if (entry.current && entry.current->group == group) {
            ranked.emplace_back(entry.current->rank, instance);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<instance_id> out;
    out.reserve(ranked.size());
    for (auto& [rank, instance] : ranked) {
        out.push_back(std::move(instance));
    }
    return out;
}

void group_assignments::forget_if(const std::function<bool(const instance_id&)>& removed)
{
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        entry = removed(entry->first) ? this->records.erase(entry) : std::next(entry);
    }
    for (auto entry = this->changes.begin(); entry != this->changes.end();) {
        entry = removed(entry->first) ? this->changes.erase(entry) : std::next(entry);
    }
}

void group_assignments::forget_released_before(time_point time)
{
    for (auto entry = this->releases.begin(); entry != this->releases.end();) {
        entry = entry->second.at <= time ? this->releases.erase(entry) : std::next(entry);
    }
}

void group_assignments::clear()
{
    this->records.clear();
    this->releases.clear();
}

} // namespace rml
