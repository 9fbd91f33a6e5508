/// Evidence that the members of a group serve it now, per daemon. The request path asks servable() at
/// dispatch.
///
/// Evidence comes from the digest of the duty holder. When that is stale, the daemon probes the members
/// itself.
#pragma once

#include "decision/observation.hpp"
#include "model/plan.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace rml {

/// Whether the status is exactly what the plan asks of the member of this rank: group, epoch, role, model and
/// version, loaded, not leaving.
bool serves_as_planned(const engine_status& report, const group_record& group, std::size_t rank);

/// Load of a group as last reported.
struct group_load
{
    std::uint8_t requests{0}; ///< running and queued at rank 0; saturates at 255
    time_point observed_at{};
};

struct evidence_stats
{
    std::uint64_t digests_applied{0};
    std::uint64_t digests_ignored{0}; ///< of another plan or a former holder, repeated, or of unknown age
    std::uint64_t invalidations{0};
};

/// Evidence table of one daemon over the groups of all failure domains.
class evidence_table
{
public:
    /// Takes over a plan read from the store or a peer. Evidence of groups that changed is dropped. Lower
    /// revisions than the known one are ignored.
    void install_plan(const committed_plan& plan);

    /// Applies a digest. One of another plan revision is ignored, since its health bits belong to other
    /// groups, and so is one whose delay is not known.
    void apply_digest(const failure_domain_id& domain, const digest& record, time_point received_at);

    /// Takes a status that this daemon read itself. `asked_at`: before the request was sent.
    void apply_probe(const engine_status& report, time_point probe_sent_at);

    /// Removes the member's evidence from before `now`, at once.
    void invalidate(const instance_id& instance, time_point now);

    /// The incarnation of an instance as the instance list or a connection shows it. A change removes the
    /// member's evidence, since it belongs to an engine process that has ended.
    void update_incarnation(const instance_id& instance, std::uint64_t incarnation, time_point now);

    /// Whether there is evidence no older than `limits::evidence_lifetime` for every member.
    bool servable(const group_id& group, time_point now) const;

    /// Members that this daemon must probe before it can use the group: the digest gives no answer and its
    /// own probes are older than `limits::probe_cache_lifetime`. Empty while a fresh digest answers, either
    /// way.
    std::vector<instance_id> probes_due(const group_id& group, time_point now) const;

    /// Whether a digest named a higher plan revision of the domain than the installed one.
    bool plan_outdated(const failure_domain_id& domain) const;
    std::optional<group_load> load(const group_id& group) const;
    /// Whether the last digest said that the group's cold start under its present epoch has ended.
    bool warm(const group_id& group) const;
    /// The group's record in the installed plan, or null.
    const group_record* find(const group_id& group) const;
    const evidence_stats& stats() const { return this->counts; }

private:
    struct member_state
    {
        std::uint64_t incarnation{0}; ///< 0: not known
        time_point invalid_before{};  ///< observations up to here do not count
        std::optional<engine_status> probe;
        time_point probed_at{};
    };

    struct group_state
    {
        group_record record;
        failure_domain_id domain;
        bool digest_known{false};
        bool digest_healthy{false};
        bool digest_warm{false};
        time_point digest_observed_at{};
        std::optional<group_load> load;
    };

    struct domain_state
    {
        std::uint64_t revision{0};
        std::uint64_t announced_revision{0};
        std::vector<group_id> order; ///< of the installed plan, the order of the digest's entries
        delay_estimator delay;
        std::uint16_t holder_session{0}; ///< sender of the last digest with a valid lease
        time_point holder_received_at{};
    };

    const group_state* state_of(const group_id& group) const;
    bool digest_covers(const group_state& group, const member_state& member, time_point now) const;
    bool probe_covers(const group_state& group, std::size_t rank, const member_state& member,
                      time_point now) const;
    const member_state& member(const instance_id& instance) const;
    void remove_unused_members();
    void apply_entry(group_state& group, const digest_entry& entry, time_point observed_at);

    std::unordered_map<group_id, group_state> groups;
    std::unordered_map<instance_id, member_state> members;
    std::unordered_map<failure_domain_id, domain_state> domains;
    evidence_stats counts;
};

} // namespace rml
