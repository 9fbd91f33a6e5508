/// Targets, groups and other daemons as this daemon knows them, and its requests in flight. Needs no locks:
/// the gateway runs one io_context on one thread.
#pragma once

#include "decision/departed_targets.hpp"
#include "decision/progress_monitor.hpp"
#include "decision/prompt_load.hpp"
#include "decision/request_rate.hpp"
#include "decision/send_right.hpp"
#include "decision/stall_suspicion.hpp"
#include "decision/target_pause.hpp"
#include "gateway/peer_report.hpp"
#include "gateway/site.hpp"
#include "gateway/target_signals.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rml::gateway {

/// A registered target and what this daemon has observed of it.
struct target_state
{
    target_entry entry;
    time_point cold_until{};
    time_point suspected_until{}; ///< gets no new requests until then, unless no other target is left
    time_point ejected_until{};   ///< the same, as the group manager reported
    daemon_id ejected_by;         ///< the manager that reported it
    std::optional<time_point>
        kept_until; ///< set when the entry was removed during an outage of the store: end of the grace time
    request_window counted_sends;
    stated_rate limit;       ///< requests per second that the target takes from all daemons together
    stated_rate heard_limit; ///< what answers to this daemon say about it
    bool limit_known{false}; ///< an answer or another daemon has told whether the target states a limit
    std::uint32_t first_requests{0}; ///< sent while `limit_unknown`, and not answered yet
    bool unreadable_limit_logged{false};
    double failure_share{0}; ///< smoothed share of failed requests, 0 to 1
    double slowness{1};      ///< factor on its service time, as last reported
    time_point slow_until{}; ///< `slowness` is valid until then
    target_pause pause;      ///< that the target asked for
    bool unreadable_pause_logged{false};

    /// Whether the target gets no new requests, unless no other target is left.
    bool ejected(time_point now) const { return now < this->suspected_until || now < this->ejected_until; }
    /// Factor on the service time; 1 without a valid report.
    double slowness_at(time_point now) const { return now < this->slow_until ? this->slowness : 1; }
};

/// A group that serves: the head is open and every member reports the same membership, or reported it when
/// its entry was removed. An engine that only lost its connection to the store still takes part in its group.
struct served_group
{
    group_id group;
    std::uint64_t epoch{0};
    service_id service;
    model_id model;
    fabric_domain_id fabric;
    instance_id head;
    std::vector<instance_id> members; ///< by rank
};

/// The entry of a daemon in the store.
struct daemon_entry
{
    endpoint caller; ///< where callers connect
    endpoint peer;   ///< where reports go
    std::int64_t started_ms{0};
    failure_domain_id failure_domain;
    double cores{0}; ///< share of a CPU core that the daemon may use
};

/// Another daemon, from the store and from its own reports.
struct peer_state
{
    daemon_entry entry;
    bool registered{false};               ///< its entry is in the store
    std::optional<time_point> gone_since; ///< set while it has neither an entry nor current reports
    bool counted{false};                  ///< its last report is part of the sums over the live daemons
    time_point reported_at{};             ///< time of the last report
    peer_report last_report;
};

/// Requests of other daemons at a target.
struct peer_load
{
    std::uint32_t all{0};
    std::uint32_t neighbours{0}; ///< of daemons in the failure domain of this one
};

struct fleet_stats
{
    std::uint64_t malformed_entries{0};
    std::uint64_t stale_configs{0};
};

class fleet_state
{
public:
    explicit fleet_state(daemon_id self, failure_domain_id domain = {});

    // Configuration.

    /// Applies a newer version; ignores an older one and counts it.
    bool update_config(std::shared_ptr<const site_config> config);
    const std::shared_ptr<const site_config>& config() const { return this->current_config; }

    // Targets.

    void update_target(target_entry entry, time_point now);
    /// With `keep_until` the target is removed only then, unless its entry is registered again before.
    void destroy_target(const instance_id& instance, time_point now, std::optional<time_point> keep_until);
    /// Last entry of a head of that group that is no longer registered, or null if unknown or discarded.
    const target_entry* removed_head(const group_id& group, std::uint64_t epoch) const;
    /// Last entries of members, other than heads, whose entry was removed while their group served. Holds
    /// only members of groups that still serve.
    const std::map<instance_id, target_entry>& absent_members();
    /// Removes a member that was found lost; its group then no longer serves.
    void destroy_absent_member(const instance_id& instance);
    /// Called with the address of a target that ended: its entry was removed, or shows another incarnation or
    /// another address. Connections to it are of no more use.
    std::function<void(const endpoint&)> on_target_ended;
    /// Removes targets whose grace time has ended.
    void expire_targets(time_point now);
    target_state* find_target(const instance_id& instance);
    /// Whether a new request may be sent to the target; an unknown one is withdrawn.
    send_right right_to_send(const instance_id& instance, time_point now) const;
    send_right right_to_send(const target_state& target, time_point now) const;
    /// Allowances for new requests of this daemon at the target; none if nothing limits them.
    std::vector<request_allowance> allowances(const target_state& target, time_point now) const;
    /// Whether this daemon has just started and does not know yet whether the target states a limit. Until
    /// then `start_allowance` limits its requests there.
    bool limit_unknown(const target_state& target) const
    {
        return !target.limit_known && !this->knows_limits();
    }
    /// Whether the target gets no further request of this daemon before it has answered one.
    bool awaits_first_answer(const target_state& target, std::uint32_t slots) const
    {
        return target.first_requests > 0 && this->limit_unknown(target) &&
               target.first_requests >= this->start_allowance(slots);
    }
    /// The same for a target whose slots the configuration or its entry states.
    bool awaits_first_answer(const target_state& target) const;
    /// Finds out whether the other daemons have started together with this one.
    void update_start(time_point now);
    /// Whether this daemon has heard, from all other daemons, the limits that targets stated before it
    /// started, or has run for long enough.
    bool knows_limits() const { return this->peers_settled || this->limits_learnt; }
    /// Called when the whole store has been read for the first time. A daemon that finds no entry of another
    /// one, nor of its own previous life, is the first one of its fleet.
    void record_store_read();
    /// Records what the target said of itself in an answer.
    void record_signals(const target_entry& target, const target_signals& signals, time_point now);
    /// Records what another daemon heard of a target's limit on requests.
    void record_request_limit(const request_limit_notice& notice, time_point now);
    /// Limits that targets stated, or ended, in answers to this daemon, for the reports to the others.
    std::vector<request_limit_notice> request_limits(time_point now) const;
    /// Called when an answer to this daemon shows that a limit on requests begins or ends.
    std::function<void()> on_request_limit;
    /// Records that the target leaves. Only another incarnation takes requests again.
    void record_departure(const target_incarnation& target, departure_source source, time_point now);
    /// Targets that leave, for the reports to the other daemons. The registry is known to all daemons but
    /// those that are cut off from the store, so only the group manager reports what it shows.
    std::vector<target_incarnation> departures(bool with_registry, time_point now) const;
    /// Targets whose entries were removed while the store answered this daemon.
    std::vector<target_incarnation> recent_removals(time_point now) const;
    /// Another daemon saw the removal of the entry while the store answered it: the grace time of a target
    /// that this daemon keeps ends at once.
    void confirm_removal(const target_incarnation& target, time_point now);
    /// Entry of a target or an absent member, or null.
    const target_entry* find_entry(const instance_id& instance);
    /// Time at which a new target or a new incarnation was last registered.
    time_point newest_target() const { return this->newest; }
    const std::map<instance_id, target_state>& targets() const { return this->all_targets; }

    void update_drained_domains(std::set<failure_domain_id> domains) { this->drained = std::move(domains); }
    void update_drained_domain(const failure_domain_id& domain, bool is_drained);
    bool drained_domain(const failure_domain_id& domain) const { return this->drained.count(domain) != 0; }

    /// Groups that may get new requests.
    const std::vector<served_group>& groups();
    /// Registered targets of a plain service that may get new requests.
    std::vector<target_state*> instances_of(const service_id& service);

    /// Gives the target no new requests until `until`, unless no other target is left.
    void suspect(const instance_id& instance, time_point until);
    bool suspected(const instance_id& instance, time_point now) const;
    /// Sets the complete list of engines that the group manager has ejected; their groups get no new
    /// requests. Replaces the previous list of the same manager.
    void update_ejected(const daemon_id& manager, const std::vector<instance_id>& engines, time_point now);
    /// Sets the factor on the target's service time that an engine reported at `now`.
    void update_slowness(const instance_id& instance, double factor, time_point now);

    // Other daemons.

    void update_peer(const daemon_id& daemon, daemon_entry entry);
    void destroy_peer(const daemon_id& daemon);
    /// Forgets daemons that have had neither an entry nor current reports for some minutes: they do not
    /// return under their name.
    void expire_peers(time_point now);
    /// Returns false for a report that is not newer than the last one, or of an unknown daemon.
    bool accept_report(const peer_report& report, time_point now);
    const std::map<daemon_id, peer_state>& peers() const { return this->all_peers; }
    /// Requests that the other live daemons have in flight at the target, by their last reports.
    peer_load peers_in_flight(const instance_id& target, time_point now);
    std::uint32_t others_in_flight(const instance_id& target, time_point now)
    {
        return this->peers_in_flight(target, now).all;
    }
    /// Number of daemons, including this one, and the rank of this one among them for the target.
    fleet_share share_for(const instance_id& target, time_point now) const;
    /// Sets the daemons that callers connect to.
    void update_entries(std::set<daemon_id> daemons) { this->entries = std::move(daemons); }
    /// The same as `share_for` among the daemons that callers connect to: a part of another daemon would be
    /// used by nobody.
    fleet_share entry_share_for(const instance_id& target, time_point now) const;
    /// Number of daemons, including this one.
    std::size_t daemons(time_point now) const;
    bool live(const peer_state& peer, time_point now) const;

    /// Prompt tokens at the target that are unread, by this daemon and the last reports of the other live
    /// ones.
    std::uint64_t unread_tokens(const instance_id& target, time_point now);

    progress_monitor in_flight;
    unread_prompts unread; ///< of requests that this daemon has sent
    /// Targets that this daemon or others suspect.
    suspicion_votes suspicions;
    /// False after the start, while other daemons may not be registered yet.
    bool peers_settled{false};
    std::int64_t started_ms{0}; ///< start of this daemon, Unix ms
    fleet_stats stats;
    const daemon_id self;
    const failure_domain_id domain; ///< of this daemon

private:
    void changed() { this->groups_stale = true; }
    /// Whether the change of an entry may change the list of groups.
    static bool changes_groups(const target_entry& before, const target_entry& after);
    /// A daemon without reports may be partitioned from this one only, so it counts while it is registered.
    bool counts(const daemon_id& daemon, const peer_state& peer, time_point now) const;
    /// Adds the requests in flight and unread prompts of the peer's last report to the sums, or subtracts
    /// them.
    void count_report(peer_state& peer, bool add);
    /// Time for which the last report shows that its daemon runs.
    static duration report_lifetime(const peer_state& peer);
    /// Subtracts the reports of daemons that are no longer live.
    void expire_reports(time_point now);
    void record_removal(const target_state& state);
    void report_end(const target_entry& entry) const;
    /// Keeps the entry for `removed_head`.
    void record_removed_entry(const target_entry& entry);
    void record_request_limit(target_state& state, const target_signals& signals, time_point now);
    /// Ends the time in which limits are unknown when all other daemons have reported those that they know.
    void learn_limits(time_point now);
    /// Returns whether a limit begins or ends.
    static bool update_request_limit(target_state& state, const std::optional<double>& rate, time_point heard,
                                     const char* source);
    /// Requests that this daemon may have at a target with that many slots before its first answer.
    std::uint32_t start_allowance(std::uint32_t slots) const;
    void rebuild_groups();
    /// Removes absent members whose group no longer serves.
    void prune_absent_members();

    std::shared_ptr<const site_config> current_config;
    std::map<instance_id, target_state> all_targets;
    std::deque<target_entry> removed; ///< newest last, bounded
    /// Removals that took effect at once, newest last, bounded.
    std::deque<std::pair<target_incarnation, time_point>> removed_at_once;
    departed_targets departed;
    std::map<instance_id, target_entry> absent;
    bool store_read{false};
    std::optional<time_point> store_read_at;
    bool limits_learnt{false};  ///< from reports of all other daemons, or there was no other daemon
    bool fleet_starting{false}; ///< the other daemons have started together with this one
    time_point newest{};
    std::set<failure_domain_id> drained;
    std::vector<served_group> served;
    bool groups_stale{true};
    std::map<daemon_id, peer_state> all_peers;
    std::set<daemon_id> entries; ///< daemons that callers connect to; empty: not known yet
    /// Requests in flight by target, summed over the reports of the live daemons: a choice among many targets
    /// would otherwise read the reports of all daemons for each of them.
    std::unordered_map<instance_id, peer_load> others;
    std::unordered_map<instance_id, std::uint64_t> others_unread; ///< the same for unread prompt tokens
    time_point next_report_expiry{time_point::max()};
};

} // namespace rml::gateway
