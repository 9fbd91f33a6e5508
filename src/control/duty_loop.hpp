/// Controls the engines of one failure domain: lease, plan, orders, digest and slots. Every daemon of the
/// region runs one loop per failure domain on its control strand; only candidates for the duty make store
/// calls.
#pragma once

#include "control/fleet.hpp"
#include "control/tables.hpp"
#include "decision/assignment.hpp"
#include "decision/duty.hpp"
#include "decision/grouping.hpp"
#include "decision/observation.hpp"
#include "decision/plan_commit.hpp"
#include "decision/ramp.hpp"
#include "decision/shared_risk.hpp"
#include "platform/platform.hpp"
#include "target/engine_client.hpp"

#include <atomic>
#include <set>

namespace rml::control {

/// Failure domain of the region whose duty holder owns the account's limit.
failure_domain_id quota_domain(const config_snapshot& config, const region_id& region,
                               const account_id& account);

/// Keys of the replicated plan and digest items of a failure domain.
std::string plan_item_key(const failure_domain_id& domain);
std::string digest_item_key(const failure_domain_id& domain);

/// Payload of a digest item: the daemon that published it, and the digest.
struct published_digest
{
    daemon_id holder;
    digest record;
};
std::string encode_published_digest(const daemon_id& holder, const digest& record);
/// Fails with `malformed`.
result<published_digest> decode_published_digest(const std::string& payload);

/// State that the loops of all failure domains share.
struct duty_environment
{
    boost::asio::io_context& context;
    control_strand& strand;
    fleet& peers;
    shared_tables& tables;
    platform::key_value_store& store;
    target::engine_client& engines;
    daemon_id self;
    region_id region;
    std::uint64_t incarnation{0};
    /// Engines in state `leaving` in the instance list.
    const std::set<instance_id>& leaving;
    /// Model loads that the weight store permits concurrently, over all failure domains.
    const std::uint32_t& concurrent_loads;
};

class duty_loop
{
public:
    duty_loop(duty_environment& shared, const failure_domain_id& domain);

    /// Spawns the loop's coroutine. It ends after stop().
    void start();
    void stop() { this->stopped = true; }

    bool holds() const { return this->lease_duty.holds(); }
    const grouping_stats& groups() const { return this->last_grouping; }
    const quota_owner_stats& quota_stats() const { return this->quota.stats(); }

    /// Returns false when the observer must send a full report.
    bool on_observations(const daemon_id& observer, const observer_report& report, time_point received_at);
    /// Answers a slot request; refuses it when this daemon does not hold the duty.
    slot_grant on_slot_request(const daemon_id& requester, const slot_request& request, time_point now);
    void on_slot_release(const daemon_id& requester, const slot_release& release, time_point now);
    /// Answers a request for a share of an account's rate; grants nothing when this daemon does not hold the
    /// duty.
    quota_grant on_quota_request(const daemon_id& requester, const quota_request& request, time_point now);
    /// Updates the engines of the domain and the accounts whose rate limits belong to the holder of this
    /// duty.
    void update_config(const config_snapshot& config, time_point now);

private:
    void run(yield_context yield);
    void step(yield_context yield);
    bool is_candidate() const;
    void make_duty_call(const duty_call& call);
    duty_reply perform(const duty_call& call, yield_context yield);
    void commit_plan(yield_context yield);
    void propose_plan(const config_snapshot& config, time_point now);
    void record_losses(const config_snapshot& config, time_point now);
    std::vector<engine_view> engine_views(const config_snapshot& config, time_point now) const;
    std::vector<pool_demand> demands(const config_snapshot& config) const;
    /// Id of a plan write, unique over all daemons and their incarnations.
    std::string next_attempt();
    void install_plan();
    void send_orders(const config_snapshot& config, time_point now);
    void send_order(const assign_order& order, const engine_object& engine);
    void publish_digest(time_point now);
    void update_slots(const config_snapshot& config, time_point now);
    void record_service(const config_snapshot& config, const digest& record);

    duty_environment& shared;
    failure_domain_id domain;
    duty lease_duty;
    plan_commit commit;
    assignment orders;
    observation_table observations;
    shared_risk risk;
    slot_allocator slots;
    quota_owner quota;
    grouping_stats last_grouping;
    /// Engines with a fresh report in the last step; an engine that drops out is recorded as lost.
    std::set<instance_id> responsive_engines;
    std::string last_health; ///< health of the groups in the last digest; a change is published at once
    time_point last_digest{};
    time_point last_formation_at{};
    time_point last_service_record{};
    std::uint64_t installed_revision{0};
    std::uint64_t attempts{0};
    bool call_pending{false};
    bool was_holder{false};
    /// True when the warm groups have been read from the last digest of the previous holder, once per
    /// takeover.
    bool warm_state_restored{false};
    std::atomic<bool> stopped{false};
};

} // namespace rml::control
