/// Tables shared by the request path and the control loops. Each has one mutex; the ranks in
/// base/ranked_mutex.hpp give the lock order. No lock is held over I/O.
#pragma once

#include "base/endpoint.hpp"
#include "base/ranked_mutex.hpp"
#include "base/time.hpp"
#include "caller/serving_state.hpp"
#include "control/config_snapshot.hpp"
#include "decision/admission.hpp"
#include "decision/burn_recorder.hpp"
#include "decision/crash_attribution.hpp"
#include "decision/evidence.hpp"
#include "decision/prefix_cache.hpp"
#include "decision/quota.hpp"
#include "decision/ramp.hpp"
#include "decision/retry_budget.hpp"
#include "decision/routing.hpp"
#include "model/plan.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace rml::control {

using yield_context = boost::asio::yield_context;

/// Object set in force. Rank config_table.
class config_table
{
public:
    std::shared_ptr<const config_snapshot> get() const
    {
        const std::lock_guard guard(this->mutex);
        return this->current;
    }
    void update(std::shared_ptr<const config_snapshot> next)
    {
        const std::lock_guard guard(this->mutex);
        this->current = std::move(next);
    }

private:
    mutable ranked_mutex mutex{lock_rank::config_table};
    std::shared_ptr<const config_snapshot> current{config_snapshot::create({})};
};

/// Entry addresses for callers, and the readiness of this daemon. Rank member_table.
class member_table
{
public:
    struct view
    {
        caller::entry_list entries;
        std::size_t daemons_in_region{1}; ///< live daemons of this region, this one included
        bool config_ready{false};
        bool isolated{false};
        bool leaving{false};
    };
    view get() const
    {
        const std::lock_guard guard(this->mutex);
        return this->current;
    }
    template <class Change>
    void update(Change change)
    {
        const std::lock_guard guard(this->mutex);
        change(this->current);
    }

private:
    mutable ranked_mutex mutex{lock_rank::member_table};
    view current;
};

/// Plans and evidence. Rank group_table.
struct group_table
{
    mutable ranked_mutex mutex{lock_rank::group_table};
    evidence_table evidence;
    std::map<failure_domain_id, committed_plan> plans;
};

/// The group that a request was sent to, as planned at that time.
struct dispatched_run
{
    group_run target;   ///< `incarnation` is the epoch of the group
    instance_id leader; ///< rank 0
};

/// A request that was sent to a group and has not ended.
struct dispatched_request
{
    model_pool_id pool;
    route chosen;
    std::optional<slot_use> slot;
    request_fingerprint fingerprint;
    dispatched_run run;
};

/// Routing state per pool and the requests in flight. Rank load_table.
struct load_table
{
    mutable ranked_mutex mutex{lock_rank::load_table};
    std::unordered_map<model_pool_id, std::unique_ptr<routing>> pools;
    prefix_cache prefixes;
    std::unordered_map<std::uint64_t, dispatched_request> in_flight;
    std::uint64_t next_permit{0};
    std::uint64_t random{0};
};

/// Cold-start and trial slots that this daemon holds. Rank slot_table.
struct slot_table
{
    explicit slot_table(std::uint64_t first_request_id) : client(first_request_id) {}
    mutable ranked_mutex mutex{lock_rank::slot_table};
    slot_client client;
    std::unordered_map<group_id, time_point> last_request_at;
};

struct admission_waiter;

/// Admission queues and account rates. Rank admission_table.
struct admission_table
{
    explicit admission_table(std::uint64_t first_request_id) : quota(first_request_id) {}
    mutable ranked_mutex mutex{lock_rank::admission_table};
    std::unordered_map<std::string, std::unique_ptr<admission>> queues; ///< by pool or service
    std::unordered_map<admission_ticket, std::shared_ptr<admission_waiter>> waiters;
    quota_client quota;
    admission_ticket next_ticket{0};
};

/// Retry budget and requests that crash groups. Rank crash_table.
struct crash_table
{
    mutable ranked_mutex mutex{lock_rank::crash_table};
    retry_budget retries;
    crash_attribution attribution;
    std::unordered_map<std::uint64_t, std::uint32_t> loss_probes; ///< loss probes in flight by fingerprint
};

/// Counts for the service-level objectives. Rank metrics.
struct burn_table
{
    explicit burn_table(std::string source) : recorder(std::move(source)) {}
    mutable ranked_mutex mutex{lock_rank::metrics};
    burn_recorder recorder;
};

/// Wall clock for the burn report, seconds since 1970.
inline seconds wall_seconds()
{
    return std::chrono::duration_cast<seconds>(std::chrono::system_clock::now().time_since_epoch());
}

struct shared_tables
{
    /// `incarnation` makes request ids unique across restarts of the daemon.
    shared_tables(const daemon_id& self, std::uint64_t incarnation)
        : slots(incarnation << request_id_bits), admissions(incarnation << request_id_bits),
          burn(self.str() + "@" + std::to_string(incarnation))
    {
    }

    /// One incarnation has 2^20 request ids before they reach the range of the next one.
    static constexpr unsigned request_id_bits = 20;

    config_table config;
    member_table members;
    group_table groups;
    load_table loads;
    slot_table slots;
    admission_table admissions;
    crash_table crashes;
    burn_table burn;
};

} // namespace rml::control
