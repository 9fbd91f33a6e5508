/// What this daemon knows about targets, groups and other daemons, and what it has in flight. Used from one
/// thread: the gateway runs one io_context on one thread, so that no table needs a lock.
#pragma once

#include "decision/cold_allowance.hpp"
#include "decision/progress_monitor.hpp"
#include "decision/silence_evidence.hpp"
#include "gateway/peer_report.hpp"
#include "gateway/site.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rml::gateway {

/// A registered target with what this daemon has seen of it.
struct target_state
{
    target_entry entry;
    time_point cold_until{};
    time_point suspected_until{}; ///< no new requests, unless nothing else is left
    time_point ejected_until{};   ///< the same, as the group management said
    daemon_id ejected_by;         ///< the daemon that said so
    std::optional<time_point>
        kept_until; ///< the entry vanished while the store was away; kept for its grace time
    cold_window cold_sends;
    double failure_share{0}; ///< smoothed share of failed requests, 0 to 1
    double slowness{1};      ///< factor on its times, as last reported
    time_point slow_until{}; ///< the report of the slowness holds until then

    /// Whether it is to get no new requests, unless nothing else is left.
    bool ejected(time_point now) const { return now < this->suspected_until || now < this->ejected_until; }
    /// Factor on its times; 1 when no report holds.
    double slowness_at(time_point now) const { return now < this->slow_until ? this->slowness : 1; }
};

/// A group that serves: the head is open and every member reports the same membership, or reported it when
/// its entry vanished. An engine that is cut off from the store only still takes part in its group.
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
    double cores{0}; ///< share of a core that it may use
};

/// Another daemon, from the store and from its own reports.
struct peer_state
{
    daemon_entry entry;
    bool registered{false};   ///< its entry is in the store
    time_point reported_at{}; ///< last report
    peer_report last_report;
};

struct fleet_stats
{
    std::uint64_t malformed_entries{0};
    std::uint64_t stale_configs{0};
};

class fleet_state
{
public:
    explicit fleet_state(daemon_id self);

    // Configuration.

    /// Takes a newer version; an older one is ignored and counted.
    bool update_config(std::shared_ptr<const site_config> config);
    const std::shared_ptr<const site_config>& config() const { return this->current_config; }

    // Targets.

    void update_target(target_entry entry, time_point now);
    /// With `keep_until` the target stays usable until then unless its entry returns.
    void destroy_target(const instance_id& instance, time_point now, std::optional<time_point> keep_until);
    /// Last entry of a head of that group that is no longer registered, or null. Kept for a while.
    const target_entry* removed_head(const group_id& group, std::uint64_t epoch) const;
    /// Last entries of members, other than heads, that vanished while their group served, which it still
    /// does.
    const std::map<instance_id, target_entry>& absent_members();
    /// The member is gone, so its group serves no more.
    void destroy_absent_member(const instance_id& instance);
    /// Drops targets whose grace time is over.
    void expire_targets(time_point now);
    target_state* find_target(const instance_id& instance);
    /// Entry of a target or an absent member, or null.
    const target_entry* find_entry(const instance_id& instance);
    /// Time at which a target was first seen that was not known before.
    time_point newest_target() const { return this->newest; }
    const std::map<instance_id, target_state>& targets() const { return this->all_targets; }

    void update_drained_domains(std::set<failure_domain_id> domains) { this->drained = std::move(domains); }
    void update_drained_domain(const failure_domain_id& domain, bool is_drained);
    bool drained_domain(const failure_domain_id& domain) const { return this->drained.count(domain) != 0; }

    /// Groups that may get new requests.
    const std::vector<served_group>& groups();
    /// Registered targets of a plain service that may get new requests.
    std::vector<target_state*> instances_of(const service_id& service);

    /// Has a target avoided for a time.
    void suspect(const instance_id& instance, time_point until);
    bool suspected(const instance_id& instance, time_point now) const;
    /// Takes the whole list of engines that the manager of the groups avoids; their groups get no new
    /// requests. Replaces the last list of the same daemon.
    void update_ejected(const daemon_id& manager, const std::vector<instance_id>& engines, time_point now);
    /// `factor` on the target's times, as a report of the engines said at `now`.
    void update_slowness(const instance_id& instance, double factor, time_point now);

    // Other daemons.

    void update_peer(const daemon_id& daemon, daemon_entry entry);
    void destroy_peer(const daemon_id& daemon);
    /// Returns false for a report that is older than the last one.
    bool accept_report(const peer_report& report, time_point now);
    const std::map<daemon_id, peer_state>& peers() const { return this->all_peers; }
    /// Requests of the other daemons at the target, as last heard.
    std::uint32_t others_in_flight(const instance_id& target, time_point now) const;
    /// Live daemons with this one, and this one's rank among them for the target.
    fleet_share share_for(const instance_id& target, time_point now) const;
    bool live(const peer_state& peer, time_point now) const;

    progress_monitor in_flight;
    /// Targets that this daemon and the others find silent.
    suspicion_votes suspicions;
    /// False until the list of daemons can be complete.
    bool peers_settled{false};
    fleet_stats stats;
    const daemon_id self;

    /// Called after any change of targets or groups.
    std::function<void()> on_change;

private:
    void changed();
    void record_removal(const target_state& state);
    void rebuild_groups();
    /// Those whose group does not serve any more.
    void prune_absent_members();

    std::shared_ptr<const site_config> current_config;
    std::map<instance_id, target_state> all_targets;
    std::deque<target_entry> removed; ///< newest last, bounded
    std::map<instance_id, target_entry> absent;
    time_point newest{};
    std::set<failure_domain_id> drained;
    std::vector<served_group> served;
    bool groups_stale{true};
    std::map<daemon_id, peer_state> all_peers;
};

} // namespace rml::gateway
