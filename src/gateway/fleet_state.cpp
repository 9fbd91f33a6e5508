#include "gateway/fleet_state.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"

#include <algorithm>

namespace rml::gateway {

namespace {

/// A daemon that has sent no report for this long does not count as live. Reports are sent every 100 ms, and
/// some datagrams are lost.
constexpr milliseconds peer_timeout{1500};
/// Entries of removed targets that are kept, so that a head that lost only its entry can be ordered to end
/// its group.
constexpr std::size_t max_removed_entries = 256;
/// Two probes of a slow group; daemons report more often than that.
constexpr milliseconds slowness_lifetime{2000};
/// A daemon reports a suspicion at once; others that share it follow within two passes of the target.
constexpr milliseconds suspicion_lifetime{600};
/// The successor of a manager that crashed has probed all groups within this time: a lease of 1.5 s, the
/// commit, the time for late orders and the probe take 2.5 s.
constexpr milliseconds ejection_lifetime{3000};

} // namespace

fleet_state::fleet_state(daemon_id self) : suspicions(suspicion_lifetime), self(std::move(self)) {}

bool fleet_state::update_config(std::shared_ptr<const site_config> config)
{
    if (this->current_config && config->version() <= this->current_config->version()) {
        this->stats.stale_configs += config->version() < this->current_config->version() ? 1 : 0;
        return false;
    }
    this->current_config = std::move(config);
    this->changed();
    return true;
}

void fleet_state::update_target(target_entry entry, time_point now)
{
    auto& state = this->all_targets[entry.instance];
    if (state.entry.started_ms != entry.started_ms || state.entry.address.port == 0) {
        state = target_state{};
        this->newest = now;
    }
    if (entry.model.empty()) {
        // An engine outside a group reports no model, but keeps its last one resident in this incarnation.
        entry.model = state.entry.model;
    }
    this->absent.erase(entry.instance);
    const auto epoch_of = [](const target_entry& of) { return of.membership ? of.membership->epoch : 0; };
    if (epoch_of(entry) > epoch_of(state.entry)) {
        // Suspicions of the previous group do not apply to the new one.
        state.suspected_until = {};
        state.ejected_until = {};
    }
    state.kept_until.reset();
    state.cold_until = entry.cold_remaining > milliseconds(0) ? now + entry.cold_remaining : time_point{};
    state.entry = std::move(entry);
    this->changed();
}

void fleet_state::destroy_target(const instance_id& instance, time_point now,
                                 std::optional<time_point> keep_until)
{
    const auto found = this->all_targets.find(instance);
    if (found == this->all_targets.end()) {
        return;
    }
    if (keep_until && *keep_until > now) {
        found->second.kept_until = *keep_until;
        return;
    }
    this->record_removal(found->second);
    this->all_targets.erase(found);
    this->changed();
}

void fleet_state::record_removal(const target_state& state)
{
    const auto& instance = state.entry.instance;
    for (const auto& group : this->groups()) {
        const auto& members = group.members;
        if (group.head != instance && std::find(members.begin(), members.end(), instance) != members.end()) {
            this->absent[instance] = state.entry;
        }
    }
    this->removed.push_back(state.entry);
    if (this->removed.size() > max_removed_entries) {
        this->removed.pop_front();
    }
}

const std::map<instance_id, target_entry>& fleet_state::absent_members()
{
    this->groups();
    return this->absent;
}

void fleet_state::destroy_absent_member(const instance_id& instance)
{
    if (this->absent.erase(instance) != 0) {
        this->changed();
    }
}

const target_entry* fleet_state::removed_head(const group_id& group, std::uint64_t epoch) const
{
    for (auto entry = this->removed.rbegin(); entry != this->removed.rend(); ++entry) {
        if (entry->membership && entry->membership->rank == 0 && entry->membership->group == group &&
            entry->membership->epoch == epoch) {
            return &*entry;
        }
    }
    return nullptr;
}

void fleet_state::expire_targets(time_point now)
{
    bool any = false;
    for (auto entry = this->all_targets.begin(); entry != this->all_targets.end();) {
        const bool expired = entry->second.kept_until && now >= *entry->second.kept_until;
        if (expired) {
            this->record_removal(entry->second);
        }
        any = any || expired;
        entry = expired ? this->all_targets.erase(entry) : std::next(entry);
    }
    if (any) {
        this->changed();
    }
}

target_state* fleet_state::find_target(const instance_id& instance)
{
    const auto found = this->all_targets.find(instance);
    return found == this->all_targets.end() ? nullptr : &found->second;
}

const target_entry* fleet_state::find_entry(const instance_id& instance)
{
    if (const auto* state = this->find_target(instance)) {
        return &state->entry;
    }
    const auto& members = this->absent_members();
    const auto found = members.find(instance);
    return found == members.end() ? nullptr : &found->second;
}

void fleet_state::update_drained_domain(const failure_domain_id& domain, bool is_drained)
{
    if (is_drained) {
        this->drained.insert(domain);
    } else {
        this->drained.erase(domain);
    }
}

const std::vector<served_group>& fleet_state::groups()
{
    if (this->groups_stale) {
        this->rebuild_groups();
        this->groups_stale = false;
    }
    return this->served;
}

void fleet_state::rebuild_groups()
{
    this->served.clear();
    if (!this->current_config) {
        return;
    }
    std::map<std::pair<group_id, std::uint64_t>, std::vector<const target_entry*>> members;
    const auto add = [&](const target_entry& entry) {
        if (entry.membership && !entry.draining) {
            members[{entry.membership->group, entry.membership->epoch}].push_back(&entry);
        }
    };
    for (const auto& [instance, state] : this->all_targets) {
        add(state.entry);
    }
    for (const auto& [instance, entry] : this->absent) {
        add(entry);
    }
    for (auto& [key, list] : members) {
        std::sort(list.begin(), list.end(),
                  [](const auto* a, const auto* b) { return a->membership->rank < b->membership->rank; });
        const auto& head = *list.front();
        const auto* service = this->current_config->find_service(head.service);
        const auto* model =
            service != nullptr && service->engines ? service->engines->find(head.model) : nullptr;
        if (model == nullptr || head.membership->rank != 0 || head.membership->phase != group_phase::open ||
            list.size() != model->group_size) {
            continue;
        }
        served_group group{key.first, key.second, head.service, head.model, head.fabric, head.instance, {}};
        bool all_ready = true;
        for (std::size_t rank = 0; rank < list.size(); ++rank) {
            const auto& membership = *list[rank]->membership;
            all_ready = all_ready && membership.rank == rank && membership.phase != group_phase::joining;
            group.members.push_back(list[rank]->instance);
        }
        if (all_ready) {
            this->served.push_back(std::move(group));
        }
    }
    this->prune_absent_members();
}

void fleet_state::prune_absent_members()
{
    for (auto entry = this->absent.begin(); entry != this->absent.end();) {
        const auto& membership = *entry->second.membership;
        const bool needed =
            std::any_of(this->served.begin(), this->served.end(), [&](const served_group& group) {
                return group.group == membership.group && group.epoch == membership.epoch;
            });
        entry = needed ? std::next(entry) : this->absent.erase(entry);
    }
}

std::vector<target_state*> fleet_state::instances_of(const service_id& service)
{
    std::vector<target_state*> out;
    for (auto& [instance, state] : this->all_targets) {
        if (state.entry.service == service && !state.entry.draining &&
            !this->drained_domain(state.entry.failure_domain)) {
            out.push_back(&state);
        }
    }
    return out;
}

void fleet_state::suspect(const instance_id& instance, time_point until)
{
    if (auto* state = this->find_target(instance)) {
        state->suspected_until = std::max(state->suspected_until, until);
    }
}

bool fleet_state::suspected(const instance_id& instance, time_point now) const
{
    const auto found = this->all_targets.find(instance);
    return found != this->all_targets.end() && found->second.ejected(now);
}

void fleet_state::update_ejected(const daemon_id& manager, const std::vector<instance_id>& engines,
                                 time_point now)
{
    for (auto& [instance, state] : this->all_targets) {
        if (state.ejected_by == manager) {
            state.ejected_until = {};
        }
    }
    const auto avoid = [&](const instance_id& instance) {
        if (auto* state = this->find_target(instance)) {
            state->ejected_until = now + ejection_lifetime;
            state->ejected_by = manager;
        }
    };
    for (const auto& engine : engines) {
        avoid(engine);
        for (const auto& group : this->groups()) {
            if (std::find(group.members.begin(), group.members.end(), engine) != group.members.end()) {
                avoid(group.head);
            }
        }
    }
}

void fleet_state::update_slowness(const instance_id& instance, double factor, time_point now)
{
    if (auto* state = this->find_target(instance)) {
        state->slowness = std::max(1.0, factor);
        state->slow_until = now + slowness_lifetime;
    }
}

void fleet_state::update_peer(const daemon_id& daemon, daemon_entry entry)
{
    auto& state = this->all_peers[daemon];
    state.entry = std::move(entry);
    state.registered = true;
}

void fleet_state::destroy_peer(const daemon_id& daemon)
{
    if (const auto found = this->all_peers.find(daemon); found != this->all_peers.end()) {
        found->second.registered = false;
    }
}

bool fleet_state::accept_report(const peer_report& report, time_point now)
{
    const auto found = this->all_peers.find(report.daemon);
    if (found == this->all_peers.end()) {
        return false;
    }
    auto& peer = found->second;
    if (report.started_ms < peer.last_report.started_ms ||
        (report.started_ms == peer.last_report.started_ms && report.sequence <= peer.last_report.sequence)) {
        return false;
    }
    peer.last_report = report;
    peer.reported_at = now;
    return true;
}

bool fleet_state::live(const peer_state& peer, time_point now) const
{
    return peer.reported_at != time_point{} && now - peer.reported_at < peer_timeout;
}

std::uint32_t fleet_state::others_in_flight(const instance_id& target, time_point now) const
{
    std::uint32_t sum = 0;
    for (const auto& [daemon, peer] : this->all_peers) {
        if (daemon == this->self || !this->live(peer, now)) {
            continue;
        }
        if (const auto found = peer.last_report.in_flight.find(target);
            found != peer.last_report.in_flight.end()) {
            sum += found->second;
        }
    }
    return sum;
}

fleet_share fleet_state::share_for(const instance_id& target, time_point now) const
{
    fleet_share out;
    out.settled = this->peers_settled;
    const auto own = rendezvous_weight(target.str(), this->self.str());
    for (const auto& [daemon, peer] : this->all_peers) {
        // A daemon without reports may be partitioned from this one only, so it counts while
        // it is registered.
        if (daemon == this->self || !(peer.registered || this->live(peer, now))) {
            continue;
        }
        ++out.daemons;
        out.rank += rendezvous_weight(target.str(), daemon.str()) > own ? 1U : 0U;
    }
    return out;
}

void fleet_state::changed()
{
    this->groups_stale = true;
    if (this->on_change) {
        this->on_change();
    }
}

} // namespace rml::gateway
