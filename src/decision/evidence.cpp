#include "decision/evidence.hpp"

#include "base/limits.hpp"

#include <algorithm>
#include <unordered_set>

namespace rml {

bool serves_as_planned(const engine_status& report, const group_record& group, std::size_t rank)
{
    return rank < group.members.size() && report.instance == group.members[rank] &&
           report.group == group.id && report.group_epoch == group.epoch && report.rank == rank &&
           report.model == group.model && report.version == group.version && report.loaded &&
           !report.leaving && (group.incarnations.empty() || report.incarnation == group.incarnations[rank]);
}

void evidence_table::install_plan(const committed_plan& plan)
{
    auto& domain = this->domains[plan.plan.domain()];
    if (plan.revision <= domain.revision) {
        return;
    }
    domain.revision = plan.revision;
    std::unordered_map<group_id, group_state> kept;
    for (const auto& id : domain.order) {
        auto node = this->groups.extract(id);
        if (!node.empty() && node.mapped().domain == plan.plan.domain()) {
            kept.insert(std::move(node));
        }
    }
    domain.order.clear();
    for (const auto& record : plan.plan.groups()) {
        domain.order.push_back(record.id);
        const auto before = kept.find(record.id);
        if (before != kept.end() && before->second.record == record) {
            this->groups[record.id] = std::move(before->second);
            continue;
        }
        group_state fresh;
        fresh.record = record;
        fresh.domain = plan.plan.domain();
        this->groups[record.id] = std::move(fresh);
    }
    this->remove_unused_members();
}

void evidence_table::remove_unused_members()
{
    if (this->members.size() <= 2 * limits::max_engines) {
        return;
    }
    std::unordered_set<instance_id> used;
    for (const auto& [id, group] : this->groups) {
        used.insert(group.record.members.begin(), group.record.members.end());
    }
    for (auto it = this->members.begin(); it != this->members.end();) {
        it = used.count(it->first) == 0 ? this->members.erase(it) : std::next(it);
    }
}

void evidence_table::apply_entry(group_state& group, const digest_entry& entry, time_point observed_at)
{
    group.load = group_load{entry.requests, observed_at};
    group.digest_known = true;
    group.digest_healthy = entry.healthy;
    group.digest_warm = entry.warm;
    group.digest_observed_at = observed_at;
    if (entry.healthy) {
        return;
    }
    // An unhealthy entry overrides earlier probes of the members.
    for (const auto& instance : group.record.members) {
        this->members[instance].probe.reset();
    }
}

void evidence_table::apply_digest(const failure_domain_id& domain, const digest& record,
                                  time_point received_at)
{
    auto& state = this->domains[domain];
    state.announced_revision = std::max(state.announced_revision, record.plan_revision);
    const auto delay = state.delay.delay_of(record.session, record.sent_ms, received_at);
    // A holder that lost its lease no longer receives the observers' reports, so it would report every group
    // as unhealthy.
    const bool former_holder = !record.lease_valid && state.holder_session != record.session &&
                               received_at - state.holder_received_at <= limits::evidence_lifetime;
    if (!delay || former_holder || record.plan_revision != state.revision ||
        record.groups.size() != state.order.size()) {
        ++this->counts.digests_ignored;
        return;
    }
    if (record.lease_valid) {
        state.holder_session = record.session;
        state.holder_received_at = received_at;
    }
    const auto observed_at = received_at - *delay - limits::digest_spread - milliseconds(record.oldest_ms);
    for (std::size_t i = 0; i < record.groups.size(); ++i) {
        this->apply_entry(this->groups.at(state.order[i]), record.groups[i], observed_at);
    }
    ++this->counts.digests_applied;
}

void evidence_table::apply_probe(const engine_status& report, time_point probe_sent_at)
{
    this->update_incarnation(report.instance, report.incarnation, probe_sent_at);
    auto& state = this->members[report.instance];
    if (probe_sent_at <= state.invalid_before || (state.probe && probe_sent_at < state.probed_at)) {
        return;
    }
    state.probe = report;
    state.probed_at = probe_sent_at;
}

void evidence_table::invalidate(const instance_id& instance, time_point now)
{
    auto& state = this->members[instance];
    state.invalid_before = std::max(state.invalid_before, now);
    state.probe.reset();
    ++this->counts.invalidations;
}

void evidence_table::update_incarnation(const instance_id& instance, std::uint64_t incarnation,
                                        time_point now)
{
    auto& state = this->members[instance];
    if (state.incarnation != 0 && state.incarnation != incarnation) {
        // One tick earlier, so that the observation with the new incarnation stays valid.
        this->invalidate(instance, now - duration(1));
    }
    state.incarnation = incarnation;
}

const evidence_table::group_state* evidence_table::state_of(const group_id& group) const
{
    const auto found = this->groups.find(group);
    return found == this->groups.end() ? nullptr : &found->second;
}

const evidence_table::member_state& evidence_table::member(const instance_id& instance) const
{
    static const member_state unknown;
    const auto found = this->members.find(instance);
    return found == this->members.end() ? unknown : found->second;
}

bool evidence_table::digest_covers(const group_state& group, const member_state& member, time_point now) const
{
    return group.digest_known && group.digest_healthy && group.digest_observed_at > member.invalid_before &&
           now - group.digest_observed_at <= limits::evidence_lifetime;
}

bool evidence_table::probe_covers(const group_state& group, std::size_t rank, const member_state& member,
                                  time_point now) const
{
    return member.probe && member.probed_at > member.invalid_before &&
           now - member.probed_at <= limits::evidence_lifetime &&
           member.probe->incarnation == member.incarnation &&
           serves_as_planned(*member.probe, group.record, rank);
}

bool evidence_table::servable(const group_id& group, time_point now) const
{
    const auto* state = this->state_of(group);
    if (state == nullptr) {
        return false;
    }
    for (std::size_t rank = 0; rank < state->record.members.size(); ++rank) {
        const auto& seen = this->member(state->record.members[rank]);
        if (!this->digest_covers(*state, seen, now) && !this->probe_covers(*state, rank, seen, now)) {
            return false;
        }
    }
    return true;
}

std::vector<instance_id> evidence_table::probes_due(const group_id& group, time_point now) const
{
    const auto* state = this->state_of(group);
    if (state == nullptr) {
        return {};
    }
    const bool answered = state->digest_known && now - state->digest_observed_at <= limits::evidence_lifetime;
    if (answered && !state->digest_healthy) {
        return {};
    }
    std::vector<instance_id> due;
    for (const auto& instance : state->record.members) {
        const auto& seen = this->member(instance);
        const bool probed = seen.probe && now - seen.probed_at <= limits::probe_cache_lifetime;
        if (!probed && !this->digest_covers(*state, seen, now)) {
            due.push_back(instance);
        }
    }
    return due;
}

bool evidence_table::plan_outdated(const failure_domain_id& domain) const
{
    const auto found = this->domains.find(domain);
    return found != this->domains.end() && found->second.announced_revision > found->second.revision;
}

std::optional<group_load> evidence_table::load(const group_id& group) const
{
    const auto* state = this->state_of(group);
    return state == nullptr ? std::nullopt : state->load;
}

const group_record* evidence_table::find(const group_id& group) const
{
    const auto* state = this->state_of(group);
    return state == nullptr ? nullptr : &state->record;
}

bool evidence_table::warm(const group_id& group) const
{
    const auto* state = this->state_of(group);
    return state != nullptr && state->digest_known && state->digest_warm;
}

} // namespace rml
