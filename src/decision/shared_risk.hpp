/// Learns which instances fail together, for example because they share an undocumented power feed.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rml {

struct shared_risk_stats
{
    std::size_t pairs{0};
    std::uint64_t coincidences{0};
    std::uint64_t dropped_pairs{0}; ///< pairs evicted because of `limits::risk_pairs`
};

/// Correlated-failure weights of pairs of instances.
class shared_risk
{
public:
    /// Records the loss of an instance. `now` must not be earlier than in a previous call by more than
    /// `limits::correlated_loss_window`.
    void record_loss(const instance_id& instance, time_point now);

    /// Weight of a pair in [0, limits::risk_cap]; 0 until `limits::risk_coincidences` coincidences were seen.
    double weight(const instance_id& a, const instance_id& b, time_point now) const;

    shared_risk_stats stats() const;

private:
    using pair_key = std::pair<instance_id, instance_id>;

    struct pair_state
    {
        double count{0}; ///< coincidences, decayed to `updated`
        std::uint32_t occurrences{0};
        time_point updated{};
    };

    struct loss
    {
        instance_id instance;
        time_point at{};
    };

    static pair_key key_of(const instance_id& a, const instance_id& b);
    static double decayed(const pair_state& state, time_point now);
    void count_coincidence(const instance_id& a, const instance_id& b, time_point now);
    void evict_weakest(time_point now);

    std::map<pair_key, pair_state> pairs;
    std::deque<loss> recent;
    std::uint64_t coincidences{0};
    std::uint64_t dropped{0};
};

} // namespace rml
