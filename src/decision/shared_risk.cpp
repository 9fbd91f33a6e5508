#include "decision/shared_risk.hpp"

#include "base/limits.hpp"

#include <algorithm>
#include <cmath>

namespace rml {

shared_risk::pair_key shared_risk::key_of(const instance_id& a, const instance_id& b)
{
    return a < b ? pair_key(a, b) : pair_key(b, a);
}

double shared_risk::decayed(const pair_state& state, time_point now)
{
    const std::chrono::duration<double> age = std::max(duration(0), now - state.updated);
    const std::chrono::duration<double> half_life = limits::risk_half_life;
    return state.count * std::exp2(-age / half_life);
}

void shared_risk::evict_weakest(time_point now)
{
    // A quarter is evicted at once, so that a large loss does not search all pairs for each new pair.
    std::vector<double> decayed_counts;
    decayed_counts.reserve(this->pairs.size());
    for (const auto& [key, state] : this->pairs) {
        decayed_counts.push_back(decayed(state, now));
    }
    const auto quarter = decayed_counts.begin() + static_cast<std::ptrdiff_t>(decayed_counts.size() / 4);
    std::nth_element(decayed_counts.begin(), quarter, decayed_counts.end());
    auto to_evict = decayed_counts.size() / 4;
    for (auto it = this->pairs.begin(); it != this->pairs.end() && to_evict > 0;) {
        const bool weak = decayed(it->second, now) <= *quarter;
        it = weak ? this->pairs.erase(it) : std::next(it);
        to_evict -= weak ? 1 : 0;
        this->dropped += weak ? 1 : 0;
    }
}

void shared_risk::count_coincidence(const instance_id& a, const instance_id& b, time_point now)
{
    auto& state = this->pairs[key_of(a, b)];
    state.count = decayed(state, now) + 1;
    state.updated = now;
    ++state.occurrences;
    ++this->coincidences;
    if (this->pairs.size() > limits::risk_pairs) {
        this->evict_weakest(now);
    }
}

void shared_risk::record_loss(const instance_id& instance, time_point now)
{
    while (!this->recent.empty() && now - this->recent.front().at > limits::correlated_loss_window) {
        this->recent.pop_front();
    }
    for (const auto& other : this->recent) {
        if (other.instance == instance) {
            return; // the same loss reported again
        }
    }
    for (const auto& other : this->recent) {
        this->count_coincidence(instance, other.instance, now);
    }
    this->recent.push_back({instance, now});
}

double shared_risk::weight(const instance_id& a, const instance_id& b, time_point now) const
{
    const auto found = this->pairs.find(key_of(a, b));
    if (found == this->pairs.end() || found->second.occurrences < limits::risk_coincidences) {
        return 0;
    }
    return std::min(limits::risk_cap, decayed(found->second, now) * limits::risk_step);
}

shared_risk_stats shared_risk::stats() const
{
    return {this->pairs.size(), this->coincidences, this->dropped};
}

} // namespace rml
