/// Admission queue of one pool at one daemon. Bounds the expected wait by early refusal, divides the
/// service rate between accounts by weighted deficit round robin, and honours priorities within an account
/// and deadlines.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

namespace rml {

/// Identifies one request at this daemon.
using admission_ticket = std::uint64_t;

struct admission_settings
{
    milliseconds max_wait{2000};       ///< longest expected wait in the queue
    milliseconds initial_service{500}; ///< assumed service time until the first request has ended
    std::size_t max_queued{10000};     ///< bounds the memory, independent of the expected wait
};

struct admission_request
{
    admission_ticket ticket{0};
    account_id account;
    double weight{1};          ///< share of the account
    std::uint32_t priority{1}; ///< lower runs first among the requests of the same account
    bool best_effort{false};   ///< over the account's share: started only while no regular request is queued
    double cost{1};            ///< in units of an average request, above 0
    time_point deadline{};     ///< end of the whole request
};

enum class admission_verdict
{
    started, ///< holds a slot
    queued,  ///< started or refused by a later `admission_changes`
    refused, ///< will not run
};

enum class refusal_reason
{
    none,
    no_capacity, ///< no servable group
    wait,        ///< the expected wait exceeds the pool's bound
    deadline,    ///< the deadline would pass before the request ends
    queue_full,
};

struct admission_decision
{
    admission_verdict verdict{admission_verdict::refused};
    refusal_reason reason{refusal_reason::none};
    milliseconds expected_wait{0}; ///< for a refused request also the suggested time until a retry
};

struct admission_refusal
{
    admission_ticket ticket{0};
    refusal_reason reason{refusal_reason::none};
};

/// Requests that left the queue.
struct admission_changes
{
    std::vector<admission_ticket> started;
    std::vector<admission_refusal> refused;
};

struct admission_stats
{
    std::uint64_t started{0};
    std::uint64_t refused_capacity{0};
    std::uint64_t refused_wait{0};
    std::uint64_t refused_deadline{0};
    std::uint64_t refused_full{0};
    std::uint64_t evicted{0}; ///< refused after queueing, because the capacity or the shares changed
    std::size_t queued{0};
    std::size_t running{0};
};

/// The capacity is the number of requests of this daemon that may run in the pool concurrently. The expected
/// wait of a request is the cost queued before it in its account, divided by the account's share of the
/// service rate.
class admission
{
public:
    explicit admission(const admission_settings& pool) : settings(pool), service_time(pool.initial_service) {}

    /// Sets the capacity. A smaller capacity refuses queued requests whose expected wait exceeds the bound.
    admission_changes update_capacity(std::size_t slots, time_point now);

    admission_decision offer(const admission_request& request, time_point now);

    /// Frees the slot of a started request that ended after `elapsed`. An `elapsed` of 0 leaves the estimate
    /// of the service time unchanged.
    admission_changes finish(duration elapsed, double cost, time_point now);

    /// Removes a queued request that its caller no longer needs; false when the ticket is not queued.
    bool cancel(admission_ticket ticket);

    /// Refuses queued requests whose deadline or wait bound can no longer be met. Must be called at least
    /// every 100 ms.
    admission_changes expire(time_point now);

    /// Refuses all queued requests, for example when no target will take one in time.
    admission_changes refuse_queued();

    /// Expected wait of a request that arrives now.
    milliseconds expected_wait(const admission_request& request) const;

    /// Requests of average cost that end per second while all slots are in use.
    double rate() const;

    const admission_stats& stats() const { return this->counts; }

private:
    struct queued_request
    {
        admission_request request;
        time_point since{};
    };
    struct level
    {
        std::deque<queued_request> entries;
        double cost{0};
    };
    /// The queued requests of one account, either its regular or its best-effort ones.
    struct flow
    {
        account_id account;
        double weight{0};
        double deficit{0};
        std::map<std::uint32_t, level> by_priority; ///< no level is empty

        bool empty() const { return this->by_priority.empty(); }
        const queued_request& front() const { return this->by_priority.begin()->second.entries.front(); }
        double cost_up_to(std::uint32_t priority) const;
        queued_request pop_front();
    };
    /// Deficit round robin over the flows of all accounts.
    struct round_robin
    {
        std::list<flow> active; ///< flows with a queued request; the front one is served next
        std::unordered_map<account_id, std::list<flow>::iterator> by_account;
        double total_weight{0}; ///< sum over active flows
        double queued_cost{0};
        bool quantum_due{true}; ///< the front flow has not yet received its quantum in this turn
    };

    duration queue_wait(const round_robin& queue, const account_id& account, double weight,
                        double ahead) const;
    refusal_reason check(const admission_request& request, duration wait, time_point now) const;
    void count_refusal(refusal_reason reason);
    void enqueue(const admission_request& request, time_point now);
    queued_request dequeue(round_robin& queue);
    void remove_if_empty(round_robin& queue, std::list<flow>::iterator position);
    void start_queued(admission_changes& changes, time_point now);
    void evict_late(round_robin& queue, admission_changes& changes, time_point now);

    admission_settings settings;
    std::size_t capacity{0};
    std::chrono::duration<double> service_time; ///< smoothed, per cost unit
    round_robin regular;
    round_robin best_effort;
    admission_stats counts;
};

} // namespace rml
