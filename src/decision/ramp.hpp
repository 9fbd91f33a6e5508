/// Slow start of targets: slots limit the requests on a cold target, and trial slots limit the requests
/// that are suspected of crashing their target. The duty holder allocates slots (`slot_allocator`), the other
/// daemons request and use them (`slot_client`).
///
/// The sum over all daemons never exceeds the target's limit, also after lost, late and duplicated messages,
/// process pauses and a change of the duty holder:
/// * The lifetime of a slot starts at the client when it sends the request and at the allocator when it
///   answers, so it ends at the client first.
/// * Counts in a release are cumulative per slot request, so duplicated and reordered releases have no
///   effect.
/// * A request may outlive its slot. An expired slot that was not released counts until it is released, or
///   until a target status requested after the expiry shows that fewer requests run.
/// * A new allocator grants nothing until the longest slot lifetime has passed, and then starts from the
///   target's status.
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
    trial, ///< one suspected request; at most one per group at a time
};

/// Identifies one incarnation of a group. Changes with the group's epoch and with each member's incarnation.
std::uint64_t group_incarnation(std::uint64_t epoch, const std::vector<std::uint64_t>& member_incarnations);

/// Message of a daemon to the allocator. `request_id` is unique per daemon, also across its restarts.
struct slot_request
{
    std::uint64_t request_id{0};
    group_id target;
    std::uint64_t incarnation{0};
    slot_kind kind{slot_kind::ramp};
    std::uint32_t count{0};
};

/// Message of the allocator to a daemon. A count of 0 is a refusal.
struct slot_grant
{
    std::uint64_t request_id{0};
    std::uint32_t count{0};
    milliseconds ttl{0}; ///< from the time at which the request was sent
    bool warm{false};    ///< the target has finished its cold start; no slot is needed
};

/// Message of a daemon to the allocator. Counts are totals of the slot request, so a later release replaces
/// an earlier one.
struct slot_release
{
    std::uint64_t request_id{0};
    group_id target;
    std::uint64_t incarnation{0};
    slot_kind kind{slot_kind::ramp};
    std::uint32_t released{0};  ///< returned slots, used or unused
    std::uint32_t succeeded{0}; ///< of these, slots of requests that succeeded
    std::uint32_t failed{0};    ///< of these, slots of requests that the target failed
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
    std::uint64_t granted{0};            ///< slots granted
    std::uint64_t refused_lease{0};      ///< no valid lease, or slots of an earlier allocator may be in use
    std::uint64_t refused_stale{0};      ///< unknown target or another incarnation
    std::uint64_t refused_full{0};       ///< at the limit, or the target's status is not yet known
    std::uint64_t expired_unreleased{0}; ///< slots freed by the target's status instead of a release
    std::uint64_t doublings{0};
    std::uint64_t restarts{0}; ///< targets that became cold again in the same incarnation
};

/// The duty holder's side of the protocol.
class slot_allocator
{
public:
    explicit slot_allocator(milliseconds slot_lifetime = limits::slot_lifetime) : lifetime(slot_lifetime) {}

    /// Extends the duty lease to `valid_until`. After a gap in its validity the daemon is a new allocator: it
    /// clears all slots and all cold targets, and grants nothing until the longest slot lifetime has passed.
    void update_lease(time_point valid_until, time_point now);
    /// Drops the duty lease.
    void destroy_lease() { this->lease_until.reset(); }

    /// Sets the current incarnation of the target. Unknown incarnations start cold.
    void update_target(const group_id& target, std::uint64_t incarnation, const ramp_settings& ramp,
                       time_point now);
    void destroy_target(const group_id& target);
    /// Marks the current incarnation as warm, for example because an earlier duty holder's digest reports it.
    void mark_warm(const group_id& target, std::uint64_t incarnation);

    /// Records a status of the target with its running and queued `requests`. `sent` is when this process
    /// sent the status request, which bounds the age of the answer from above. `reported_capacity` is the
    /// number of requests that the target can run now, 0 if it is unknown or saturated; it caps the limit. A
    /// warm target that can run fewer requests than its full slots starts cold again, once no daemon can
    /// still treat it as warm.
    void observe(const group_id& target, std::uint64_t incarnation, std::uint32_t requests, time_point sent,
                 std::uint32_t reported_capacity = 0);

    slot_grant grant(const daemon_id& requester, const slot_request& request, time_point now);
    void release(const daemon_id& requester, const slot_release& report, time_point now);

    /// Concurrent requests allowed now: `full_slots` for a warm target, 0 for an unknown one.
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
        std::uint32_t reported_capacity{0}; ///< of the last status, 0 if unknown
        bool is_warm{false};
        time_point step_start{};
        time_point status_not_before{};  ///< statuses requested earlier may miss requests
        bool status_known{false};        ///< a status requested late enough has arrived
        std::uint32_t unassigned{0};     ///< running requests without an open grant of this allocator
        time_point trial_allowed_from{}; ///< until then a trial whose slot expired may still run
        std::vector<outstanding_grant> grants;

        bool ended(time_point now) const; ///< no request can still run on a slot of this incarnation
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
    time_point earliest_grant{}; ///< when all slots of an earlier allocator have expired
    std::unordered_map<group_id, std::uint64_t> current;
    /// Keyed by incarnation too, so that a late report about an old incarnation does not reset the counts of
    /// a newer one.
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
    std::uint64_t late_grants{0}; ///< grants that arrived expired or twice
    std::uint64_t returned_unused{0};
    std::uint64_t voided{0}; ///< slots of another incarnation
};

/// The requesting daemon's side of the protocol.
class slot_client
{
public:
    /// `first_request_id` makes the ids unique across restarts, for example the daemon's incarnation << 32.
    explicit slot_client(std::uint64_t first_request_id) : next_request_id(first_request_id) {}

    /// Builds a request to send to the allocator. The lifetime of its slots starts at `now`.
    slot_request make_request(const group_id& target, std::uint64_t incarnation, slot_kind kind,
                              std::uint32_t count, time_point now);
    /// Slots of the target that are requested or granted but unused, to decide whether to request more.
    std::uint32_t pending(const group_id& target, slot_kind kind, time_point now) const;

    /// Records a grant. Only the first answer to a request counts.
    void accept(const slot_grant& answer, time_point now);

    /// Takes a slot for a request. Must be called directly before the first byte of the request is sent.
    std::optional<slot_use> acquire(const group_id& target, std::uint64_t incarnation, slot_kind kind,
                                    time_point now);
    /// Number of unused slots that have not expired.
    std::uint32_t available(const group_id& target, std::uint64_t incarnation, slot_kind kind,
                            time_point now) const;

    /// Ends the use of a slot. The returned message has to be sent to the allocator.
    slot_release release(const slot_use& use, bool succeeded);
    /// Ends a use that proves neither success nor failure of the target, such as a request that its caller
    /// cancelled.
    slot_release cancel(const slot_use& use);

    /// Releases slots that expired unused, and drops ended requests and old answers about warm targets.
    std::vector<slot_release> expire(time_point now);

    /// Voids the unused slots of every other incarnation of the target.
    void update_incarnation(const group_id& target, std::uint64_t incarnation);

    /// Whether an allocator answered within the last slot lifetime that this incarnation needs no slots.
    /// After that the duty holder's digest reports it, also when the target has become cold again.
    bool warm(const group_id& target, std::uint64_t incarnation) const;
    const slot_client_stats& stats() const { return this->counts; }

private:
    struct held_grant
    {
        slot_request request;
        time_point sent{};
        time_point expires{}; ///< end of use; for an unanswered request, the end of the wait for an answer
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
    std::map<std::uint64_t, held_grant> held_grants; ///< by request id, so that the oldest come first
    std::unordered_map<group_id, warm_answer> warm_answers;
    slot_client_stats counts;
};

} // namespace rml
