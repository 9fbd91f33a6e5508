#include "gateway/fleet_state.hpp"

#include "base/hash.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"
#include "decision/start_allowance.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace rml::gateway {

namespace {

/// A daemon that has sent no report for this long does not count as live. Reports are sent every 100 ms, and
/// some datagrams are lost.
constexpr milliseconds peer_timeout{1500};
/// Reports that may be missing before a daemon that reports less often does not count as live.
constexpr int reports_per_timeout = 3;
/// A daemon that is cut off from the store and from this one may return within this time, and its reports
/// count at once.
constexpr std::chrono::minutes peer_memory{10};
/// The limit of a cold target is stated per second.
constexpr seconds cold_rate_window{1};
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

fleet_state::fleet_state(daemon_id self, failure_domain_id domain)
    : suspicions(suspicion_lifetime), self(std::move(self)), domain(std::move(domain))
{
}

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
        if (state.entry.membership) {
            this->record_removed_entry(state.entry); // of the life before
        }
        this->report_end(state.entry);
        state = target_state{};
        this->newest = now;
    }
    if (entry.model.empty()) {
        // An engine outside a group reports no model, but keeps its last one resident in this incarnation.
        entry.model = state.entry.model;
    }
    if (!(state.entry.address == entry.address)) {
        this->report_end(state.entry);
    }
    const target_incarnation incarnation{entry.instance, entry.started_ms};
    if (entry.draining) {
        this->departed.record(incarnation, departure_source::registry, now);
    }
    entry.draining = entry.draining || this->departed.contains(incarnation);
    const bool was_absent = this->absent.erase(entry.instance) != 0;
    const auto epoch_of = [](const target_entry& of) { return of.membership ? of.membership->epoch : 0; };
    if (epoch_of(entry) > epoch_of(state.entry)) {
        // Suspicions of the previous group do not apply to the new one.
        state.suspected_until = {};
        state.ejected_until = {};
    }
    state.kept_until.reset();
    state.cold_until = entry.cold_remaining > milliseconds(0) ? now + entry.cold_remaining : time_point{};
    this->groups_stale = this->groups_stale || was_absent || changes_groups(state.entry, entry);
    state.entry = std::move(entry);
}

bool fleet_state::changes_groups(const target_entry& before, const target_entry& after)
{
    return before.membership != after.membership || before.draining != after.draining ||
           before.service != after.service || before.model != after.model || before.fabric != after.fabric;
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
    this->removed_at_once.emplace_back(target_incarnation{instance, found->second.entry.started_ms}, now);
    if (this->removed_at_once.size() > limits::departure_reports) {
        this->removed_at_once.pop_front();
    }
    this->record_removal(found->second);
    this->all_targets.erase(found);
    this->changed();
}

send_right fleet_state::right_to_send(const instance_id& instance, time_point now) const
{
    const auto found = this->all_targets.find(instance);
    return found == this->all_targets.end() ? send_right::withdrawn : this->right_to_send(found->second, now);
}

send_right fleet_state::right_to_send(const target_state& target, time_point now) const
{
    target_standing standing;
    standing.leaving = target.entry.draining;
    standing.domain_drained = this->drained_domain(target.entry.failure_domain);
    standing.paused_until = target.pause.until();
    standing.ejected_until = std::max(target.suspected_until, target.ejected_until);
    return send_right_of(standing, now);
}

void fleet_state::record_signals(const target_entry& target, const target_signals& signals, time_point now)
{
    if (signals.leaving) {
        this->record_departure({target.instance, target.started_ms}, departure_source::answer, now);
    }
    auto* state = this->find_target(target.instance);
    if (state == nullptr || state->entry.started_ms != target.started_ms) {
        return;
    }
    this->record_request_limit(*state, signals, now);
    if (!signals.pause) {
        return;
    }
    const auto time = parse_pause(*signals.pause);
    if (!time) {
        if (!std::exchange(state->unreadable_pause_logged, true)) {
            log(log_level::warning, "target asks for a pause of unreadable length; ignored",
                {{"target", target.instance.str()}, {"text", *signals.pause}});
        }
        return;
    }
    if (now >= state->pause.until() && *time > milliseconds(0)) {
        log(log_level::info, "target asks for a pause",
            {{"target", target.instance.str()}, {"for_ms", time->count()}});
    }
    const auto weight = rendezvous_weight(target.instance.str(), this->self.str());
    const auto spread =
        static_cast<double>(weight) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    state->pause.extend(*time, spread, now);
}

void fleet_state::record_request_limit(target_state& state, const target_signals& signals, time_point now)
{
    state.limit_known = state.limit_known || signals.ran_request;
    std::optional<double> rate;
    if (signals.request_limit) {
        rate = parse_request_rate(*signals.request_limit);
        if (!rate) {
            if (!std::exchange(state.unreadable_limit_logged, true)) {
                log(log_level::warning, "target states an unreadable limit on requests; ignored",
                    {{"target", state.entry.instance.str()}, {"text", *signals.request_limit}});
            }
            return;
        }
    } else if (!signals.ran_request || !state.limit.latest()) {
        return; // other answers need not name the limit
    }
    state.limit_known = true;
    state.heard_limit.record(rate, now);
    if (this->update_request_limit(state, rate, now, "its answer") && this->on_request_limit) {
        this->on_request_limit();
    }
}

bool fleet_state::update_request_limit(target_state& state, const std::optional<double>& rate,
                                       time_point heard, const char* source)
{
    const bool limited = state.limit.latest().has_value();
    state.limit.record(rate, heard);
    const bool changed = limited != state.limit.latest().has_value();
    if (changed) {
        log(log_level::info, rate ? "target limits its requests" : "target no longer limits its requests",
            {{"target", state.entry.instance.str()}, {"per_s", rate.value_or(0)}, {"source", source}});
    }
    return changed;
}

void fleet_state::record_request_limit(const request_limit_notice& notice, time_point now)
{
    auto* state = this->find_target(notice.target.instance);
    const auto heard = now - notice.age;
    if (state == nullptr || state->entry.started_ms != notice.target.started_ms ||
        heard <= state->limit.heard_at()) {
        return;
    }
    state->limit_known = true;
    this->update_request_limit(*state, notice.requests_per_s, heard, "another daemon");
}

std::vector<request_limit_notice> fleet_state::request_limits(time_point now) const
{
    std::vector<request_limit_notice> out;
    for (const auto& [instance, state] : this->all_targets) {
        const auto heard = state.heard_limit.heard_at();
        const auto age = now - heard;
        if (heard != time_point{} && age <= limits::stated_rate_report_time &&
            out.size() < limits::stated_rate_reports) {
            out.push_back({{instance, state.entry.started_ms},
                           state.heard_limit.latest(),
                           std::chrono::duration_cast<milliseconds>(age)});
        }
    }
    return out;
}

std::vector<request_allowance> fleet_state::allowances(const target_state& target, time_point now) const
{
    std::vector<request_allowance> out;
    if (now < target.cold_until) {
        const auto* service =
            this->current_config ? this->current_config->find_service(target.entry.service) : nullptr;
        if (service != nullptr && service->cold_requests_per_s > 0) {
            out.push_back(divide_rate(service->cold_requests_per_s, cold_rate_window,
                                      this->share_for(target.entry.instance, now)));
        }
    }
    if (const auto rate = target.limit.in_force(now)) {
        out.push_back(divide_rate(*rate, limits::stated_rate_window,
                                  this->entry_share_for(target.entry.instance, now)));
    }
    return out;
}

void fleet_state::record_departure(const target_incarnation& target, departure_source source, time_point now)
{
    if (!this->departed.record(target, source, now)) {
        return;
    }
    auto* state = this->find_target(target.instance);
    if (state == nullptr || state->entry.started_ms != target.started_ms || state->entry.draining) {
        return;
    }
    log(log_level::info, "target leaves",
        {{"target", target.instance.str()},
         {"source", source == departure_source::answer ? "its answer" : "another daemon"}});
    state->entry.draining = true;
    this->changed();
}

std::vector<target_incarnation> fleet_state::departures(bool with_registry, time_point now) const
{
    return this->departed.reportable(with_registry, now);
}

std::vector<target_incarnation> fleet_state::recent_removals(time_point now) const
{
    std::vector<target_incarnation> out;
    for (const auto& [target, at] : this->removed_at_once) {
        if (now - at < limits::departure_report_time) {
            out.push_back(target);
        }
    }
    return out;
}

void fleet_state::confirm_removal(const target_incarnation& target, time_point now)
{
    const auto* state = this->find_target(target.instance);
    if (state != nullptr && state->kept_until && state->entry.started_ms == target.started_ms) {
        log(log_level::info, "kept target removed, another daemon saw its removal",
            {{"target", target.instance.str()}});
        this->destroy_target(target.instance, now, std::nullopt);
    }
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
    this->record_removed_entry(state.entry);
    this->report_end(state.entry);
}

void fleet_state::report_end(const target_entry& entry) const
{
    const bool registered = entry.address.port != 0;
    if (registered && this->on_target_ended) {
        this->on_target_ended(entry.address);
    }
}

void fleet_state::record_removed_entry(const target_entry& entry)
{
    this->removed.push_back(entry);
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
    this->departed.expire(now);
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
    const bool was_counted = state.counted;
    this->count_report(state, false); // the entry may name another failure domain
    state.entry = std::move(entry);
    state.registered = true;
    this->count_report(state, was_counted);
}

void fleet_state::destroy_peer(const daemon_id& daemon)
{
    if (const auto found = this->all_peers.find(daemon); found != this->all_peers.end()) {
        found->second.registered = false;
        this->next_report_expiry = {};
    }
}

void fleet_state::expire_peers(time_point now)
{
    for (auto entry = this->all_peers.begin(); entry != this->all_peers.end();) {
        auto& peer = entry->second;
        if (peer.registered || this->live(peer, now)) {
            peer.gone_since.reset();
        } else if (!peer.gone_since) {
            peer.gone_since = now;
        }
        const bool forgotten = peer.gone_since && now - *peer.gone_since >= peer_memory;
        if (forgotten) {
            this->count_report(peer, false);
        }
        entry = forgotten ? this->all_peers.erase(entry) : std::next(entry);
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
    this->count_report(peer, false);
    peer.last_report = report;
    peer.reported_at = now;
    this->count_report(peer, true);
    this->next_report_expiry = std::min(this->next_report_expiry, now + report_lifetime(peer));
    this->learn_limits(now);
    this->update_start(now);
    return true;
}

void fleet_state::record_store_read()
{
    this->store_read = true;
    this->limits_learnt = this->all_peers.empty();
}

void fleet_state::learn_limits(time_point now)
{
    if (this->knows_limits() || !this->store_read) {
        return;
    }
    this->limits_learnt = std::all_of(this->all_peers.begin(), this->all_peers.end(), [&](const auto& entry) {
        const auto& [daemon, peer] = entry;
        return !this->counts(daemon, peer, now) || peer.last_report.limits_known;
    });
}

void fleet_state::update_start(time_point now)
{
    if (this->knows_limits() || !this->store_read) {
        return;
    }
    this->store_read_at = this->store_read_at.value_or(now);
    std::vector<start_peer> others;
    for (const auto& [daemon, peer] : this->all_peers) {
        if (this->counts(daemon, peer, now)) {
            const auto reported = peer.last_report.started_ms;
            others.push_back({std::max(peer.entry.started_ms, reported),
                              peer.reported_at != time_point{} && reported >= peer.entry.started_ms});
        }
    }
    const bool starts = fleet_starts(this->started_ms, others, now - *this->store_read_at);
    if (std::exchange(this->fleet_starting, starts) != starts) {
        log(log_level::info,
            starts ? "all daemons start at once; they divide the slots of targets"
                   : "other daemons have run before; one request per target until its first answer",
            {{"others", static_cast<std::int64_t>(others.size())},
             {"entries", static_cast<std::int64_t>(this->entries.size())}});
    }
}

std::uint32_t fleet_state::start_allowance(std::uint32_t slots) const
{
    // Before the first list of the daemons that callers connect to, every known daemon may be one of them.
    const auto entry_count = this->entries.empty() ? 1 + this->all_peers.size() : this->entries.size();
    return rml::start_allowance(this->fleet_starting, slots, entry_count);
}

bool fleet_state::awaits_first_answer(const target_state& target) const
{
    const auto* service =
        this->current_config ? this->current_config->find_service(target.entry.service) : nullptr;
    const bool engine = service != nullptr && service->engines;
    return this->awaits_first_answer(target, engine ? service->engines->batch_slots : target.entry.slots);
}

bool fleet_state::live(const peer_state& peer, time_point now) const
{
    return peer.reported_at != time_point{} && now - peer.reported_at < report_lifetime(peer);
}

duration fleet_state::report_lifetime(const peer_state& peer)
{
    const auto by_interval = peer.last_report.interval * reports_per_timeout;
    // The store shows that a daemon ended, within the lifetime of its entry.
    return peer.registered ? std::max<duration>(peer_timeout, by_interval) : peer_timeout;
}

void fleet_state::count_report(peer_state& peer, bool add)
{
    if (peer.counted == add) {
        return;
    }
    peer.counted = add;
    const bool neighbour = peer.entry.failure_domain == this->domain;
    for (const auto& [target, count] : peer.last_report.in_flight) {
        auto& sum = this->others[target];
        const auto near = neighbour ? count : 0;
        sum.all = add ? sum.all + count : sum.all - count;
        sum.neighbours = add ? sum.neighbours + near : sum.neighbours - near;
        if (sum.all == 0) {
            this->others.erase(target);
        }
    }
    for (const auto& [target, tokens] : peer.last_report.unread_tokens) {
        auto& sum = this->others_unread[target];
        sum = add ? sum + tokens : sum - tokens;
        if (sum == 0) {
            this->others_unread.erase(target);
        }
    }
}

void fleet_state::expire_reports(time_point now)
{
    if (now < this->next_report_expiry) {
        return;
    }
    this->next_report_expiry = time_point::max();
    for (auto& [daemon, peer] : this->all_peers) {
        if (!peer.counted) {
            continue;
        }
        if (!this->live(peer, now)) {
            this->count_report(peer, false);
        } else {
            this->next_report_expiry =
                std::min(this->next_report_expiry, peer.reported_at + report_lifetime(peer));
        }
    }
}

peer_load fleet_state::peers_in_flight(const instance_id& target, time_point now)
{
    this->expire_reports(now);
    const auto found = this->others.find(target);
    return found == this->others.end() ? peer_load{} : found->second;
}

std::uint64_t fleet_state::unread_tokens(const instance_id& target, time_point now)
{
    this->expire_reports(now);
    const auto found = this->others_unread.find(target);
    return this->unread.at(target) + (found == this->others_unread.end() ? 0 : found->second);
}

bool fleet_state::counts(const daemon_id& daemon, const peer_state& peer, time_point now) const
{
    return daemon != this->self && (peer.registered || this->live(peer, now));
}

std::size_t fleet_state::daemons(time_point now) const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(this->all_peers.begin(), this->all_peers.end(), [&](const auto& entry) {
                       return this->counts(entry.first, entry.second, now);
                   }));
}

fleet_share fleet_state::share_for(const instance_id& target, time_point now) const
{
    fleet_share out;
    out.settled = this->peers_settled;
    const auto own = rendezvous_weight(target.str(), this->self.str());
    for (const auto& [daemon, peer] : this->all_peers) {
        if (!this->counts(daemon, peer, now)) {
            continue;
        }
        ++out.daemons;
        out.rank += rendezvous_weight(target.str(), daemon.str()) > own ? 1U : 0U;
    }
    return out;
}

fleet_share fleet_state::entry_share_for(const instance_id& target, time_point now) const
{
    if (this->entries.empty()) {
        return this->share_for(target, now);
    }
    fleet_share out{0, 0, this->peers_settled, this->entries.count(this->self) != 0};
    const auto own = rendezvous_weight(target.str(), this->self.str());
    for (const auto& daemon : this->entries) {
        ++out.daemons;
        out.rank += daemon != this->self && rendezvous_weight(target.str(), daemon.str()) > own ? 1U : 0U;
    }
    return out;
}

} // namespace rml::gateway
