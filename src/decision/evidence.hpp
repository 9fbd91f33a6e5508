/// Evidence of one daemon that the members of a group currently serve it. The request path checks servable()
/// at dispatch.
///
/// Evidence comes from the digest of the duty holder. When the digest is stale, the daemon probes the members
/// itself.
#pragma once

#include "decision/observation.hpp"
#include "model/plan.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace rml {

/// Whether the status matches what the plan assigns to the member of this rank: group, epoch, rank, model and
/// version; loaded and not leaving.
bool serves_as_planned(const engine_status& report, const group_record& group, std::size_t rank);

/// Last reported load of a group.
struct group_load
{
    std::uint8_t requests{0}; ///< running and queued at rank 0; saturates at 255
    time_point observed_at{};
};

struct evidence_stats
{
    std::uint64_t digests_applied{0};
    std::uint64_t digests_ignored{0}; ///< of another plan or a former holder, overtaken, or of unknown age
    std::uint64_t invalidations{0};
};

/// Evidence table of one daemon over the groups of all failure domains.
class evidence_table
{
public:
    /// Installs a plan read from the store or a peer and drops the evidence of groups that changed. A plan
    /// whose revision is not higher than the installed one is ignored.
    void install_plan(const committed_plan& plan);

    /// Applies a digest. A digest of another plan revision is ignored, since its health bits belong to other
    /// groups, and so is a digest of unknown delay.
    void apply_digest(const failure_domain_id& domain, const digest& record, time_point received_at);

    /// Applies the status that a probe of this daemon returned. `probe_sent_at`: read before the probe was
    /// sent.
    void apply_probe(const engine_status& report, time_point probe_sent_at);

    /// Immediately removes the member's evidence from before `now`.
    void invalidate(const instance_id& instance, time_point now);

    /// Sets the incarnation of an instance, as given by the instance list or a connection. A change removes
    /// the member's evidence, since that belongs to an engine process that has ended.
    void update_incarnation(const instance_id& instance, std::uint64_t incarnation, time_point now);

    /// Whether there is evidence no older than `limits::evidence_lifetime` for every member.
    bool servable(const group_id& group, time_point now) const;

    /// Members that this daemon must probe before it can use the group: no fresh digest covers them and their
    /// last probes are older than `limits::probe_cache_lifetime`. Empty while a fresh digest reports the
    /// group as unhealthy.
    std::vector<instance_id> probes_due(const group_id& group, time_point now) const;

    /// Whether a digest contained a higher plan revision of the domain than the installed one.
    bool plan_outdated(const failure_domain_id& domain) const;
    std::optional<group_load> load(const group_id& group) const;
    /// Whether the last digest reported the end of the group's cold start under its current epoch.
    bool warm(const group_id& group) const;
    /// The group's record in the installed plan, or null.
    const group_record* find(const group_id& group) const;
    const evidence_stats& stats() const { return this->counts; }

private:
    struct member_state
    {
        std::uint64_t incarnation{0}; ///< 0: not known
        time_point invalid_before{};  ///< observations up to this time are ignored
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
