/// Chooses a group of one pool for a request. The score of a group is its expected time to the first token
/// beyond that of an idle, near group; the lowest score among a few sampled groups is chosen.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "decision/prefix_cache.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace rml {

/// Load of a group as one byte of a digest: the expected wait of a new request at the group, logarithmic in
/// 1/16 octaves from 1 ms to 59 s (an error of at most 4.5%). 0 is no wait, 255 is any longer wait. The wait
/// is (running + queued) * service_time / full_slots, as `routing` computes it for its own requests. It
/// differs between groups even while none of them queues.
std::uint8_t encode_load(microseconds expected_wait);
microseconds decode_load(std::uint8_t load);

struct routing_settings
{
    std::uint32_t full_slots{64};        ///< concurrent requests of a warm group
    milliseconds service_time{500};      ///< typical service time of a request
    microseconds prefill_per_block{400}; ///< time saved by one cached block
    milliseconds straggler_limit{500};   ///< largest penalty of a straggler
    milliseconds affinity_slack{20};     ///< largest excess of a preferred group's score over the best one
    milliseconds near_band{1};           ///< largest distance of a near group beyond the nearest one
};

/// State of a group of the pool, as known to the daemon.
struct routing_group
{
    group_id id;
    failure_domain_id domain;
    microseconds distance{0}; ///< one way, between the daemon's failure domain and the group's
    bool servable{false};     ///< there is evidence for every member
    bool drained{false};      ///< its failure domain is out of service
    bool leaving{false};
    bool cold{false};
    std::uint32_t slots{0}; ///< slots that this daemon may use while the group is cold
};

struct route_request
{
    std::vector<prefix_block> prefix;
    std::vector<group_id> tried;                  ///< groups of earlier attempts, never chosen again
    std::vector<failure_domain_id> avoid_domains; ///< chosen only if no other domain has a usable group
    std::uint64_t random{0};                      ///< uniform over all values
};

/// A chosen group. Has to be passed to `end` when the request has ended.
struct route
{
    group_id group;
    microseconds score{0};
    bool cold{false}; ///< the request needs a slot
    time_point sent{};
};

struct routing_stats
{
    std::uint64_t chosen{0};
    std::uint64_t chosen_cold{0};
    std::uint64_t chosen_far{0};
    std::uint64_t preferred{0}; ///< chosen for prefix affinity over the best sampled group
    std::uint64_t scans{0};     ///< choices in which sampling found fewer usable groups than needed
    std::uint64_t none{0};      ///< choices without a usable group
};

class routing
{
public:
    explicit routing(const routing_settings& pool) : settings(pool) {}

    /// Adds a group or replaces its state. Its load and in-flight counts are kept.
    void update_group(const routing_group& group);
    void destroy_group(const group_id& id);
    /// Sets the slots this daemon may use on a cold group.
    void update_slots(const group_id& id, std::uint32_t slots);
    /// Records a load report. Reports older than the last one are ignored.
    void update_load(const group_id& id, std::uint8_t load, time_point taken);

    /// Chooses a group without counting the request. Fails with `unavailable` when no group is usable.
    result<route> choose(const route_request& request, const prefix_cache& cache, time_point now);

    /// Counts a request as sent to the group, directly before it is sent.
    void begin(const route& chosen);
    /// Counts a request as ended. `first_token` is the time to its first token without the distance, 0 if
    /// unknown.
    void end(const route& ended, duration first_token, time_point now);

    /// Score of a group, lower is better; for tests and diagnosis. Fails with `not_found` for an unknown
    /// group.
    result<microseconds> score(const group_id& id, const route_request& request, const prefix_cache& cache,
                               time_point now) const;
    std::size_t size() const { return this->entries.size(); }
    /// Ids of all known groups.
    std::vector<group_id> groups() const;
    const routing_stats& stats() const { return this->counts; }

private:
    struct entry
    {
        routing_group group;
        std::uint64_t id_hash{0};
        microseconds reported_wait{0};
        time_point reported{};
        std::deque<time_point> sent; ///< own requests in flight sent since the report, oldest first
        double latency_us{0};        ///< smoothed first-token time
        time_point latency_at{};
    };

    bool usable(const entry& candidate, const route_request& request, bool exclude_avoided) const;
    microseconds score_of(const entry& candidate, const route_request& request, const prefix_cache& cache,
                          time_point now) const;
    struct scored
    {
        const entry* candidate{nullptr};
        microseconds score{0};
    };

    bool is_near(const entry& candidate) const
    {
        return candidate.group.distance <= this->nearest + this->settings.near_band;
    }
    static microseconds report_age(const entry& candidate, time_point now);
    /// Best of the found groups of one tier, with random noise in proportion to the age of their reports.
    scored best_of(const std::vector<std::size_t>& found, bool near_tier, const route_request& request,
                   const prefix_cache& cache, time_point now, std::uint64_t& random_state) const;
    microseconds straggler_penalty(const entry& candidate, time_point now) const;
    void sample(const std::vector<std::size_t>& from, const route_request& request,
                std::uint64_t& random_state, std::vector<std::size_t>& found) const;
    void scan(const route_request& request, bool exclude_avoided, std::uint64_t& random_state,
              std::vector<std::size_t>& found) const;
    const entry* preferred(const route_request& request) const;
    void rebuild_near();

    routing_settings settings;
    std::vector<entry> entries;
    std::unordered_map<group_id, std::size_t> positions;
    microseconds nearest{0};
    std::vector<std::size_t> all;
    std::vector<std::size_t> near; ///< groups within `near_band` of the nearest one
    double pool_latency_us{0};
    routing_stats counts;
};

} // namespace rml
