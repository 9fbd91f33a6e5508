/// A duty is the right to control the engines of one failure domain. This module ranks the candidates for a
/// duty and keeps its lease in the key-value store.
///
/// The lease only avoids contention; the plan is safe because it is replaced by compare-and-swap. A duty
/// costs one store call per `duty_renewal` at the holder and one pending watch at the other candidate,
/// independent of the number of daemons and engines.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/limits.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rml {

/// A live member of the region that could hold a duty.
struct duty_member
{
    daemon_id daemon;
    failure_domain_id failure_domain;
};

/// The first `limits::duty_candidates` daemons for the duty, by rendezvous hash. Daemons of another failure
/// domain rank first, so that the loss of a domain rarely takes both its engines and their holder.
std::vector<daemon_id> rank_duty_candidates(const failure_domain_id& duty,
                                            const std::vector<duty_member>& members);

/// What a holder may do, and until when. A default-constructed lease permits nothing.
struct duty_lease
{
    /// End of the lease on the monotonic clock, measured from the start of the store call.
    time_point valid_until{};
    time_point settled_at{}; ///< from then on no order of an earlier holder can be in flight

    /// Must be checked directly before each order.
    bool permits_orders(time_point now) const { return now < this->valid_until; }
    /// Whether an engine may be assigned to another group. `fenced`: the engine rejects old fencing numbers.
    bool permits_reassignment(time_point now, bool fenced) const
    {
        return this->permits_orders(now) && (fenced || now >= this->settled_at);
    }
};

enum class duty_call_kind
{
    read,          ///< read the key
    watch,         ///< wait until the key changes from `revision`, at most `wait`
    create_lease,  ///< create a store lease with `ttl`
    create_key,    ///< create the key with `value`, bound to `lease`
    renew_lease,   ///< renew `lease`
    destroy_lease, ///< end `lease`, so that the next candidate does not wait for its expiry
};

/// A store call for the caller to make. The caller passes exactly one reply with the same number back.
struct duty_call
{
    std::uint64_t number{0};
    duty_call_kind kind{duty_call_kind::read};
    std::string key;
    std::string value;
    std::string lease;
    std::uint64_t revision{0};
    milliseconds ttl{0};
    milliseconds wait{0};
};

enum class store_outcome
{
    ok,
    conflict,  ///< the revision differs from the expected one, or the key exists
    not_found, ///< no such key or lease
    unchanged, ///< a watch ended without a change
    lost,      ///< no usable reply; the call may have taken effect
};

struct duty_reply
{
    std::uint64_t number{0};
    store_outcome outcome{store_outcome::lost};
    std::uint64_t revision{0};
    std::string value; ///< of read and watch
    std::string lease; ///< of create_lease
};

struct duty_stats
{
    std::uint64_t acquired{0};
    std::uint64_t lost_replies{0};
    std::uint64_t lapsed{0}; ///< renewals that failed because the store had ended the lease
    std::uint64_t calls{0};
};

/// The lease of one duty at one daemon. At most one store call is pending.
class duty
{
public:
    /// `incarnation` differs between runs of the daemon, which makes attempt ids unique without randomness.
    duty(failure_domain_id domain, daemon_id self, std::uint64_t incarnation);

    /// The store call to make now, if any. A daemon that is not a candidate destroys the lease it holds and
    /// makes no other call.
    std::optional<duty_call> next_call(time_point now, bool candidate);

    /// Processes the reply to the pending call. Replies with another number are ignored.
    void on_reply(const duty_reply& reply, time_point now);

    /// Earliest time at which next_call() may return a call, if no reply arrives before.
    time_point next_due() const { return this->due; }

    const failure_domain_id& domain() const { return this->failure_domain; }
    /// The current lease; it permits nothing when this daemon is not the holder.
    duty_lease lease() const;
    /// Whether this daemon acquired the duty and knows of no later loss. Observation and digests continue
    /// even after the lease has expired on the local clock.
    bool holds() const { return this->step == phase::holding; }
    /// The holder that the key named when it was last read, or empty.
    const daemon_id& last_known_holder() const { return this->holder; }
    const duty_stats& stats() const { return this->counts; }

private:
    enum class phase
    {
        unknown,       ///< the key has not been read
        waiting,       ///< another daemon holds the duty
        vacant,        ///< the key does not exist
        lease_created, ///< a store lease exists; the key has not been created with it
        reading_back,  ///< the reply of create_key was lost
        holding,
    };

    std::string current_attempt() const;
    std::string key_value() const;
    duty_call make_call(duty_call_kind kind, time_point now);
    void discard_lease();
    void start_holding(time_point now);
    void process_key(const duty_reply& reply, time_point now);
    void process_create_key(const duty_reply& reply, time_point now);
    void process_renewal(const duty_reply& reply, time_point now);

    failure_domain_id failure_domain;
    daemon_id self;
    std::uint64_t incarnation{0};
    phase step{phase::unknown};
    std::optional<duty_call> pending;
    time_point pending_since{};
    time_point due{};
    std::string store_lease;
    time_point lease_valid_until{};
    time_point settled{};
    std::uint64_t attempt{0};
    std::uint64_t calls_made{0};
    std::uint64_t key_revision{0};
    daemon_id holder;
    duty_stats counts;
};

} // namespace rml
