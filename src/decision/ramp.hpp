/// Slots of targets in cold start, and trial slots for requests suspected of crashing their target. The duty
/// holder hands out slots (`slot_holder`), the other daemons ask for and use them (`slot_client`).
///
/// The sum over all daemons stays at most the target's limit with lost, late and doubled messages, paused
/// daemons and a change of holder:
/// * The lifetime of a slot runs at the client from sending the ask and at the holder from answering, so the
///   client stops starting requests first.
/// * Counts in a release are cumulative per ask, so doubled and reordered releases change nothing.
/// * A request may outlive its slot. An expired slot that was not released stays counted until it is released
///   or the target's own status, asked for after the expiry, shows that fewer requests run.
/// * A new holder waits out the longest lifetime and then starts from the target's own status.
#pragma once

#include "base/ids.hpp"
#include "base/limits.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rml {

enum class slot_kind
{
    ramp,  ///< one request on a cold target
    trial, ///< one suspect; at most one per group at a time
};

/// Identifies one run of a group: changes when its epoch or the incarnation of any member changes.
std::uint64_t group_incarnation(std::uint64_t epoch, const std::vector<std::uint64_t>& member_incarnations);

/// Daemon to holder. `ask` is unique per daemon, also across restarts of the daemon.
struct slot_request
{
    std::uint64_t request_id{0};
    group_id target;
    std::uint64_t incarnation{0};
    slot_kind kind{slot_kind::ramp};
    std::uint32_t count{0};
};

/// Holder to daemon. A zero count is a refusal.
struct slot_grant
{
    std::uint64_t request_id{0};
    std::uint32_t count{0};
    milliseconds ttl{0}; ///< from the sending of the ask
    bool warm{false};    ///< the target has finished its cold start; no slot is needed
};

/// Daemon to holder. Counts are totals of the ask, so a later release replaces an earlier one.
struct slot_release
{
    std::uint64_t request_id{0};
    group_id target;
    std::uint64_t incarnation{0};
    slot_kind kind{slot_kind::ramp};
    std::uint32_t released{0};  ///< slots returned, used or not
    std::uint32_t succeeded{0}; ///< of these, requests that ended well
    std::uint32_t failed{0};    ///< of these, requests that the target failed
};

struct ramp_settings
{
    std::uint32_t start_slots{2};
    std::uint32_t full_slots{64};
    milliseconds ramp_step{5000};
};

struct slot_allocator_stats
{
    std::uint64_t requests{0};
    std::uint64_t granted{0};            ///< slots handed out
    std::uint64_t refused_lease{0};      ///< asks without a valid lease or while waiting out old slots
    std::uint64_t refused_stale{0};      ///< asks for an unknown target or another incarnation
    std::uint64_t refused_full{0};       ///< asks at the limit, or before the target's status is known
    std::uint64_t expired_unreleased{0}; ///< slots that ended by the target's status instead of a release
    std::uint64_t doublings{0};
    std::uint64_t restarts{0}; ///< warm targets that became cold without a new incarnation
};

/// The duty holder's side.
class slot_allocator
{
public:
    explicit slot_allocator(milliseconds slot_lifetime = limits::slot_lifetime) : lifetime(slot_lifetime) {}

    /// States that the duty lease is valid until `valid_until`. After a gap in validity the daemon counts as
    /// a new holder: cold targets and all slots are forgotten, and the longest slot lifetime is waited out.
    void update_lease(time_point valid_until, time_point now);
    /// Gives the lease up.
    void destroy_lease() { this->lease_until.reset(); }

    /// Makes `incarnation` the current one of the target. Unknown incarnations start cold.
    void update_target(const group_id& target, std::uint64_t incarnation, const ramp_settings& ramp,
                       time_point now);
    void destroy_target(const group_id& target);
    /// Marks the current incarnation as warm, for example because an earlier holder's digest said so.
    void mark_warm(const group_id& target, std::uint64_t incarnation);

    /// Takes the target's own count of requests (running and queued). `sent` is when this process sent the
    /// status request, which bounds the age of the answer from above. `bearable` is what the target says it
    /// can bear now, 0 if it does not say or the figure is saturated; it caps the limit. A warm target that
    /// bears less than its full slots starts cold again, after the time in which daemons may still take it
    /// for warm.
    void observe(const group_id& target, std::uint64_t incarnation, std::uint32_t requests, time_point sent,
                 std::uint32_t reported_capacity = 0);

    slot_grant grant(const daemon_id& requester, const slot_request& request, time_point now);
    void release(const daemon_id& requester, const slot_release& report, time_point now);

    /// Concurrent requests allowed now; 0 for an unknown target. Warm targets report `full_slots`.
    std::uint32_t limit(const group_id& target) const;
    bool warm(const group_id& target, std::uint64_t incarnation) const;
    const slot_allocator_stats& stats() const { return this->counts; }

private:
    struct outstanding_grant
    {
        daemon_id daemon;
        std::uint64_t request_id{0};
        slot_kind kind{slot_kind::ramp};
        std::uint32_t granted{0};
        slot_release last;
        time_point expires{};

        std::uint32_t unreleased() const { return this->granted - this->last.released; }
    };
    struct incarnation_state
    {
        ramp_settings ramp;
        std::uint32_t slots{0};
        std::uint32_t reported_capacity{0}; ///< as the target last said, 0: nothing
        bool is_warm{false};
        time_point step_start{};
        time_point status_not_before{};  ///< a status asked for before may miss requests
        bool status_known{false};        ///< a status asked for after the wait has arrived
        std::uint32_t unassigned{0};     ///< requests that run without an open grant of this holder
        time_point trial_allowed_from{}; ///< a lost trial may still run until then
        std::vector<outstanding_grant> grants;

        bool ended(time_point now) const; ///< no request on a slot of this run can exist any more
        std::uint32_t limit() const;
        bool can_run_full_slots() const
        {
            return this->reported_capacity == 0 || this->reported_capacity >= this->ramp.full_slots;
        }
        void finish_ramp();
        void restart_ramp(time_point observed_at);
    };
    using incarnation_key = std::pair<group_id, std::uint64_t>;

    bool lease_valid(time_point now) const { return this->lease_until && now < *this->lease_until; }
    incarnation_state* find_current(const group_id& target, std::uint64_t incarnation);
    std::uint32_t available(const incarnation_state& state, slot_kind kind, time_point now) const;

    milliseconds lifetime;
    std::optional<time_point> lease_until;
    time_point ready{}; ///< end of the wait for slots of an earlier holder
    std::unordered_map<group_id, std::uint64_t> current;
    /// Keyed by incarnation too: a late report about an old incarnation must not reset the counts of a newer.
    std::map<incarnation_key, incarnation_state> incarnations;
    slot_allocator_stats counts;
};

/// One slot in use.
struct slot_use
{
    std::uint64_t slot_request_id{0};
    group_id target;
    std::uint64_t incarnation{0};
    slot_kind kind{slot_kind::ramp};
};

struct slot_client_stats
{
    std::uint64_t requests{0};
    std::uint64_t received{0}; ///< slots granted
    std::uint64_t used{0};
    std::uint64_t late_grants{0}; ///< grants that arrived after their lifetime or twice
    std::uint64_t returned_unused{0};
    std::uint64_t voided{0}; ///< slots of another incarnation
};

/// The asking daemon's side.
class slot_client
{
public:
    /// `first_ask` makes ask numbers unique across restarts, for example the daemon's incarnation << 32.
    explicit slot_client(std::uint64_t first_request_id) : next_request_id(first_request_id) {}

    /// Builds an ask. The lifetime of its slots starts at `now`.
    slot_request make_request(const group_id& target, std::uint64_t incarnation, slot_kind kind,
                              std::uint32_t count, time_point now);
    /// Number of asks and slots not yet used for the target, for deciding whether to ask again.
    std::uint32_t pending(const group_id& target, slot_kind kind, time_point now) const;

    /// Takes a grant. The first answer to an ask counts, all others are ignored.
    void accept(const slot_grant& answer, time_point now);

    /// Takes a slot for a request that is sent now. Call it directly before the first byte is sent.
    std::optional<slot_use> acquire(const group_id& target, std::uint64_t incarnation, slot_kind kind,
                                    time_point now);
    /// Unused valid slots.
    std::uint32_t available(const group_id& target, std::uint64_t incarnation, slot_kind kind,
                            time_point now) const;

    /// Ends a use. The returned message goes to the holder.
    slot_release release(const slot_use& use, bool succeeded);
    /// Ends a use that says nothing about the target, such as one that its caller cancelled.
    slot_release cancel(const slot_use& use);

    /// Returns slots that expired unused and drops ended asks and old answers about warm targets.
    std::vector<slot_release> expire(time_point now);

    /// Voids the unused slots of every other incarnation of the target.
    void update_incarnation(const group_id& target, std::uint64_t incarnation);

    /// Whether a holder answered within the last slot lifetime that this incarnation needs no slots. Later
    /// the holder's digest tells it, also when the target has become cold again.
    bool warm(const group_id& target, std::uint64_t incarnation) const;
    const slot_client_stats& stats() const { return this->counts; }

private:
    struct held_grant
    {
        slot_request request;
        time_point sent{};
        time_point expires{}; ///< end of use; for an unanswered ask, the end of waiting
        bool answered{false};
        std::uint32_t unused{0};
        std::uint32_t in_use{0};
        slot_release totals;
    };

    struct warm_answer
    {
        std::uint64_t incarnation{0};
        time_point until{};
    };

    slot_release end_use(const slot_use& use, std::uint32_t succeeded, std::uint32_t failed);

    std::uint64_t next_request_id;
    std::map<std::uint64_t, held_grant> held_grants; ///< by ask, so the oldest slots are used first
    std::unordered_map<group_id, warm_answer> warm_answers;
    slot_client_stats counts;
};

} // namespace rml
