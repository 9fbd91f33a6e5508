/// Forms, opens and repairs the groups of engines. Runs on the one daemon that holds the manager lease. It
/// derives its state from what the engines report, so a new manager needs nothing from the previous one.
///
/// Safety: an engine joins another group only when the head of its previous group is known not to serve.
/// `group_assignments` holds the evidence; the registry alone does not show to which group an engine belongs.
/// Epochs grow with each group and with each manager, so an engine refuses orders that are older than the
/// newest epoch it has seen.
#pragma once

#include "base/metrics.hpp"
#include "decision/group_assignments.hpp"
#include "decision/group_stall.hpp"
#include "decision/pause_detector.hpp"
#include "decision/replica_planner.hpp"
#include "gateway/fleet_state.hpp"
#include "gateway/manager_lease.hpp"
#include "gateway/order_slots.hpp"
#include "gateway/ports.hpp"
#include "gateway/settings.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace rml::gateway {

namespace detail {

/// Added to the expected time of a formation before the manager abandons it, for the registry, orders and
/// retries.
constexpr milliseconds formation_slack{6000};
/// Time for requests in flight to finish when their group ends. Longer ones continue at another group.
constexpr milliseconds graceful_end{3000};
/// Timeout of one probe. Engines answer within milliseconds; TCP retransmits a lost packet after 200 ms.
constexpr milliseconds probe_timeout{300};
/// A group has lost a link between its members when all of them answer probes but no daemon receives output
/// from it for this long. Five times the longest usual pass.
constexpr milliseconds group_stall_limit{1500};
/// Oldest state that an engine reports: the platform's pages say some hundred milliseconds.
constexpr milliseconds max_report_age{500};
/// Engines may execute an unanswered order up to 12 s after its receipt; 3 s are added for the network.
constexpr milliseconds max_order_delay{15000};
/// Bits of an epoch for the counter of one manager; a day of repairs needs some thousands of epochs.
constexpr int epoch_counter_bits = 16;

} // namespace detail

class group_manager
{
public:
    group_manager(boost::asio::io_context& context, const platform_ports& ports, fleet_state& fleet,
                  const manager_lease& lease, const gateway_settings& configured, metric_registry& metrics);

    /// Reviews all groups and starts formations, endings and probes. Call it every 50 ms and after changes.
    void tick();
    /// A daemon suspects that this head has stalled.
    void on_suspect(const instance_id& head);
    /// A daemon receives output from this head although another one suspects it.
    void on_progress(const instance_id& head) { this->stall_detector.on_progress(head); }
    /// Sets the offered load per model over all daemons, in engine seconds per second.
    void update_offered_load(std::map<model_id, double> offered_load)
    {
        this->offered_load = std::move(offered_load);
    }

    /// Engines that do not answer probes or orders.
    std::vector<instance_id> lost() const;
    /// Engines that receive no new requests: lost engines, and heads of groups that end.
    std::vector<instance_id> ejected() const;
    /// Heads of slow groups, each with the factor by which its step times are longer than usual.
    std::map<instance_id, double> slow(time_point now) const;
    /// Called when the ending of a group begins.
    std::function<void()> on_ending;

private:
    /// Evidence that a member of a group being formed is ready.
    struct readiness
    {
        std::int64_t started_ms{0}; ///< life of the engine that was ready
        bool shown{false};          ///< by its registry entry; otherwise by its report, the entry being older
    };
    struct formation
    {
        group_id group;
        std::uint64_t epoch{0};
        service_id service;
        model_id model;
        fabric_domain_id fabric;
        std::vector<instance_id> members;
        milliseconds expected{0};
        std::uint32_t loads{0};
        time_point started{};
        target_entry head; ///< as registered when the formation began
        std::map<instance_id, readiness> ready;
        bool open_sent{false};
        std::uint64_t lease_revision{0}; ///< of the manager lease under which it runs
    };
    struct lost_engine
    {
        std::int64_t started_ms{0};
        time_point next_probe{};
        bool probing{false};
    };
    /// State of a group that the manager ends.
    struct ending
    {
        bool graceful{false}; ///< the head finishes its requests first
        time_point since{};
        bool order_pending{false};
        bool head_closed{false}; ///< the head has accepted the order to close
        bool head_left{false};   ///< the head has left the group; late orders may have taken it back since
        time_point left_at{};    ///< when it answered the latest order to leave
        bool needs_fence{false}; ///< late orders may be in flight; a newer epoch makes the head refuse them
        /// Why the head does not serve; its members can then join other groups.
        std::optional<release_evidence> released;
        time_point next_order{};
        std::uint32_t unanswered_orders{0};
        target_entry head; ///< as last registered; no instance if it was never seen
        std::vector<instance_id> members;
        bool member_left{false};
        instance_id asked_member; ///< was ordered to leave in place of the head; may have left unanswered
        /// Time by which a head with work has noticed that a member left, and has stopped serving.
        std::optional<time_point> head_broken_at;
    };
    /// Weights that an engine was ordered to load.
    struct preparation
    {
        model_id model;
        time_point until{};      ///< the order counts as failed then
        bool into_memory{false}; ///< by joining a fence group; otherwise onto the host
        bool from_store{true};   ///< occupies a load from the weight store
    };
    /// Free engines of a fabric domain that are reserved for groups of one model.
    struct reservation
    {
        model_id model;
        std::uint32_t groups{0};
        time_point until{};
    };
    struct occupied_engines
    {
        std::unordered_set<instance_id> reserved; ///< of formations, or on the way out of a group
        std::unordered_multimap<instance_id, const group_key*> ending;
    };
    enum class availability
    {
        unusable, ///< draining, lost, or in a drained failure domain
        busy,     ///< in a group that serves or is being formed or ended
        free,
    };

    /// Engines that may belong to a group.
    struct group_members
    {
        std::vector<const target_entry*> registered; ///< their entries show the group
        std::vector<const target_entry*> assigned;   ///< their entries do not show it yet
    };

    /// Whether this daemon holds the manager lease and knows the store as of its acquisition. Resets the
    /// state when the lease was acquired anew.
    bool check_manager_lease(time_point now);
    /// True while the lease is held and the orders of the previous manager have had time to arrive.
    bool may_send_orders(time_point now);
    void reset();
    void log_takeover() const;
    void record_open_groups();
    /// Reviews the groups and plans, at a rate that leaves time for orders and store changes.
    void run_pass(time_point now);
    void review_groups(time_point now);
    void review_group(const group_key& key, const group_members& members, time_point now);
    void end_group(const group_key& key, const target_entry& head, std::vector<instance_id> members,
                   bool graceful, time_point now, const std::string& reason);
    void end_group(const served_group& group, bool graceful, time_point now, const std::string& reason);
    /// Whether a late order opened the group of an earlier lease: its head was registered when this lease was
    /// acquired and did not show the group as open. That manager may have ordered members into later groups.
    bool opened_after_takeover(const group_key& key, const target_entry& head) const;
    /// Records that the group cannot serve any more, and orders its members to leave.
    void release(const group_key& key, ending& state, release_evidence evidence);
    /// Orders a member of a group that was released to leave it.
    void order_to_leave(const group_key& key, const target_entry& member);
    /// Orders a member of a group that was released without an answer of its head to leave it, and holds the
    /// member back until its report is newer than the order.
    void hold_until_left(const group_key& key, const target_entry& member, time_point now);
    /// A member other than the head that still reports the group and is not lost, or null.
    const target_state* find_reachable_member(const group_key& key, const ending& state);
    /// Orders the member to leave, which stalls the group even if its head cannot be reached.
    void order_member_to_leave(const group_key& key, ending& state, const target_entry& member);
    void confirm_head_unreachable(const group_key& key, ending& state);
    void advance_ending(const group_key& key, ending& state, time_point now);
    void handle_end_verdict(const group_key& key, ending& state, group_action action,
                            const result<order_verdict>& answer);
    /// Asks a head that has left for its group. If it is in none, it is ordered to join the fence group,
    /// which it refuses once it has accepted another order; otherwise it is ordered to leave again.
    void fence_head(const group_key& key, ending& state);
    /// The order that follows from the report of a head that has left: to join its fence or to leave again.
    /// Nothing if the report may be older than the leave, or if it releases the group.
    std::optional<group_order> next_fence_order(const group_key& key, ending& state,
                                                const result<engine_report>& report);
    void handle_fence_verdict(const group_key& key, ending& state, group_action action,
                              const result<order_verdict>& answer);
    /// The head did not answer; the next order or question follows after a delay.
    static void record_unanswered(const group_key& key, ending& state, const failure& why);
    void remove_expired_records(time_point now);
    /// Whether the engine shows that it has loaded what was ordered.
    static bool is_done(const preparation& wanted, const target_entry& engine);
    void probe_lost(time_point now);
    void plan(time_point now);
    void plan_service(const service& of, time_point now);
    /// Whether the engine may be ordered to join a group. A free engine whose membership is unknown to this
    /// manager is asked for it before the order (`confirm_free`).
    availability availability_of(const target_state& engine, const occupied_engines& occupied) const;
    /// Engines of the formations, those that have to leave a group, and engines of the endings whose group
    /// may still serve, by instance.
    occupied_engines find_occupied() const;
    /// The newest group in which the engine is known to be, by its entry or by the records of this manager.
    std::optional<group_assignments::membership> membership_of(const target_entry& engine) const;
    std::uint32_t loads_allowed(const engine_profile& profile) const;
    std::vector<planner_model> planner_models(const engine_profile& profile) const;

    void retire(const planned_retirement& wanted, time_point now);
    void start_formation(const service& of, const planned_group& wanted, time_point now);
    void run_formation(formation plan, yield_context yield);
    /// Asks engines that are not known to be vacant for their group, and all while late orders of the
    /// previous manager are possible. Returns false if one does not answer or may be in a group that serves,
    /// or if the manager lease with that revision is lost meanwhile.
    bool confirm_free(const std::vector<instance_id>& engines, std::uint64_t under_lease,
                      yield_context yield);
    /// Records the engine's own report. Returns whether it is in no group that may serve.
    bool record_report(const target_entry& engine, const engine_report& report);
    /// Last group of each member and why it no longer serves, for logs.
    std::string previous_groups(const std::vector<instance_id>& members);
    bool join_members(const formation& plan, yield_context yield);
    /// Orders one member to join. Returns false when it cannot join; sets `given_up` when the whole formation
    /// is in vain.
    bool join_member(const formation& plan, const target_entry& member, const join_permit& permit,
                     bool& given_up, yield_context yield);
    /// Asks a member that has refused the order to join. Returns true if it has joined and false if it is in
    /// another group; otherwise `what` becomes the order that it can accept.
    std::optional<bool> renew_join(const formation& plan, const target_entry& member, group_order& what,
                                   yield_context yield);
    /// Whether the engine reports. False is no evidence of a loss if this process paused meanwhile.
    bool answers_report(const target_entry& engine, yield_context yield);
    /// Waits until the registry shows the open head: until then the group stays in `formations`. Ends the
    /// group if the head's entry is removed.
    void wait_until_shown(const formation& plan, yield_context yield);
    /// Ends a group of this manager with the address of its head as it was when the formation began.
    ending& end_formed_group(const formation& plan, bool graceful, const std::string& reason);
    bool wait_until_ready(formation& plan, yield_context yield);
    /// Records the members whose entries show that they are ready. Returns false if one that was ready has
    /// restarted or left since: its readiness was that of an earlier life or membership. Makes no call.
    bool update_readiness(formation& plan) const;
    bool open_head(formation& plan, yield_context yield);
    void abandon(const formation& plan, const std::string& reason);
    /// Whether members of a group that a previous manager left unfinished still join it. Once they are ready,
    /// they form a group anew in a fraction of a second; before that their loads would be lost.
    bool may_become_ready(const group_members& members, const target_entry& head, time_point now) const;
    void start_staging(const planned_stage& wanted, const served_model& model, time_point now);
    /// Lets the engine load the model by joining a fence group.
    void start_warmup(const planned_warmup& wanted, const served_model& model, time_point now);
    void run_warmup(const target_entry& engine, const model_id& model, std::uint64_t epoch,
                    std::uint64_t under_lease, yield_context yield);
    /// Sends an order to stage or load weights; when it is refused, another one may follow soon.
    void send_preparation(const target_entry& engine, const group_order& what, yield_context yield);
    void probe_all_groups(time_point now);
    void probe_slow_groups(time_point now);
    /// Probes members without a registry entry: they stay in their groups as long as they answer.
    void probe_absent_members(time_point now);
    void probe_absent_member(const target_entry& member, yield_context yield);
    /// Probes the group unless it was probed within the interval.
    void probe_group_once(const instance_id& head, milliseconds interval, time_point now);
    /// True if the last probe is at least `interval` old; records a probe at `now` in that case.
    bool probe_due(const instance_id& engine, milliseconds interval, time_point now);
    void remove_expired_probes(time_point now);
    void probe_group(const instance_id& head, yield_context yield);
    /// Adds two staggered probes to `tasks`. They store the first report in `answer`, or a failure if there
    /// is none.
    void add_probes(const target_entry& engine, result<engine_report>& answer,
                    std::vector<std::function<void(yield_context)>>& tasks);

    /// The order that ends the group at its head: close or leave.
    static group_order next_end_order(const group_key& key, const ending& state, const target_state* head,
                                      time_point now);
    /// Model that the fence of the group names if the head's entry shows none: of the ending, of a member,
    /// staged at the head, or any that its service serves. Empty only if the service has no models, so that
    /// no engine of it joins another group. A fence with another model than that of the group costs a load.
    model_id fence_model(const ending& state) const;
    /// Sends an order, after waiting for its turn, if this daemon still holds the manager lease under which
    /// the order was decided.
    result<order_verdict> order(const target_entry& engine, const group_order& what, yield_context yield,
                                bool urgent = true);
    void mark_lost(const instance_id& engine, const std::string& reason, time_point now);
    bool is_lost(const target_entry& engine) const;
    /// Runs the tasks concurrently and waits for all of them.
    void run_all(std::vector<std::function<void(yield_context)>> tasks, yield_context yield);
    /// Epoch of a new group. The following epoch is reserved for the group's fence.
    std::uint64_t next_epoch();
    /// Whether the formation belongs to the present manager lease. Check it after each suspension.
    bool in_force(const formation& plan) const { return plan.lease_revision == this->lease_revision; }

    boost::asio::io_context& context;
    const platform_ports& ports;
    fleet_state& fleet;
    const manager_lease& lease;
    const gateway_settings& configured;
    std::map<model_id, double> offered_load;

    /// manager_revision() of the lease under which the state below was built.
    std::uint64_t lease_revision{0};
    time_point active_from{}; ///< the orders of the previous manager have arrived by then
    /// The group, if any, that each engine showed as its open head when the lease was acquired.
    std::map<instance_id, std::optional<group_key>> open_at_takeover;
    std::uint64_t epoch_counter{0};
    /// No engine has been in a group and no request has arrived: loads are short and unlimited.
    bool first_start{false};
    std::map<group_id, formation> formations;
    std::map<group_key, ending> endings;
    group_assignments assignments;
    std::set<group_key> unanswered_groups; ///< groups with an order of unknown outcome
    /// When engines last accepted an order; forgotten once all their reports are newer.
    std::map<instance_id, time_point> accepted_at;
    std::map<instance_id, time_point> leaving; ///< members that have to leave, and when they are asked again
    std::map<instance_id, lost_engine> lost_engines;
    std::map<instance_id, preparation> preparations;
    std::map<fabric_domain_id, reservation> reservations;
    std::map<instance_id, time_point> probed; ///< time of the last probe, by head or absent member
    group_stall_detector stall_detector{detail::group_stall_limit};
    std::deque<time_point> load_starts;
    time_point next_pass{};
    order_slots slots;
    std::size_t stage_orders{0}; ///< orders to stage that are not answered yet
    pause_detector pauses; ///< pauses of this process: an answer missed during one is no evidence of a loss

    counter& formed;
    counter& abandoned;
    counter& ended;
    counter& loads;
    counter& orders;
    counter& probes_sent;
};

} // namespace rml::gateway
