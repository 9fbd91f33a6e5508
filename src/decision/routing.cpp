#include "decision/routing.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace rml {

namespace {

/// Groups sampled per tier. With two, the daemons don't all choose the group with the lowest load in the last
/// report.
constexpr std::size_t samples_per_tier = 2;
/// Draws per tier before a scan of all groups. With half of the groups unusable, 8 draws find fewer than two
/// usable groups in 3% of cases.
constexpr int max_draws = 8;
/// Weight of the newest sample in the smoothed first-token time.
constexpr double latency_gain = 0.1;
/// Half-life of a straggler's penalty without new requests. Lets the group receive requests again.
constexpr seconds straggler_half_life{10};
/// Upper bound of a report's age. An older report says nothing about the load.
constexpr seconds max_report_age{5};
/// Upper bound of the requests per group that are kept since the last report, to bound the memory.
constexpr std::size_t max_sent = 1024;

/// Next value of the SplitMix64 sequence.
std::uint64_t next_random(std::uint64_t& random_state)
{
    random_state += 0x9e3779b97f4a7c15U;
    auto z = random_state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

template <class T>
bool contains(const std::vector<T>& values, const T& value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

constexpr double steps_per_octave = 16;
constexpr std::uint8_t max_load = 255;

} // namespace

std::uint8_t encode_load(microseconds expected_wait)
{
    if (expected_wait < milliseconds(1)) {
        return 0;
    }
    const auto in_ms = std::chrono::duration<double, std::milli>(expected_wait).count();
    const auto step = 1 + std::round(std::log2(in_ms) * steps_per_octave);
    return static_cast<std::uint8_t>(std::min<double>(step, max_load));
}

microseconds decode_load(std::uint8_t load)
{
    if (load == 0) {
        return microseconds(0);
    }
    return microseconds(static_cast<std::int64_t>(1000 * std::exp2((load - 1) / steps_per_octave)));
}

void routing::update_group(const routing_group& group)
{
    const auto [position, created] = this->positions.try_emplace(group.id, this->entries.size());
    if (created) {
        this->entries.emplace_back();
        this->entries.back().id_hash = hash64(group.id.str());
    }
    auto& target = this->entries[position->second];
    const bool distance_changed = created || target.group.distance != group.distance;
    target.group = group;
    if (distance_changed) {
        this->rebuild_near();
    }
}

void routing::destroy_group(const group_id& id)
{
    const auto known = this->positions.find(id);
    if (known == this->positions.end()) {
        return;
    }
    const auto position = known->second;
    this->positions.erase(known);
    if (position + 1 != this->entries.size()) {
        this->entries[position] = std::move(this->entries.back());
        this->positions[this->entries[position].group.id] = position;
    }
    this->entries.pop_back();
    this->rebuild_near();
}

void routing::rebuild_near()
{
    this->nearest = microseconds::max();
    for (const auto& candidate : this->entries) {
        this->nearest = std::min(this->nearest, candidate.group.distance);
    }
    this->all.clear();
    this->near.clear();
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        this->all.push_back(i);
        if (this->is_near(this->entries[i])) {
            this->near.push_back(i);
        }
    }
}

void routing::update_slots(const group_id& id, std::uint32_t slots)
{
    if (const auto known = this->positions.find(id); known != this->positions.end()) {
        this->entries[known->second].group.slots = slots;
    }
}

void routing::update_load(const group_id& id, std::uint8_t load, time_point taken)
{
    const auto known = this->positions.find(id);
    if (known == this->positions.end() || taken < this->entries[known->second].reported) {
        return;
    }
    auto& target = this->entries[known->second];
    target.reported = taken;
    target.reported_wait = decode_load(load);
    while (!target.sent.empty() && target.sent.front() <= taken) {
        target.sent.pop_front();
    }
}

bool routing::usable(const entry& candidate, const route_request& request, bool exclude_avoided) const
{
    const auto& group = candidate.group;
    return group.servable && !group.drained && !group.leaving && (!group.cold || group.slots > 0) &&
           !contains(request.tried, group.id) &&
           !(exclude_avoided && contains(request.avoid_domains, group.domain));
}

microseconds routing::straggler_penalty(const entry& candidate, time_point now) const
{
    if (candidate.latency_us <= this->pool_latency_us) {
        return microseconds(0);
    }
    const std::chrono::duration<double> idle = now - candidate.latency_at;
    const auto excess =
        (candidate.latency_us - this->pool_latency_us) * std::exp2(-(idle / straggler_half_life));
    return std::min<microseconds>(microseconds(static_cast<std::int64_t>(excess)),
                                  this->settings.straggler_limit);
}

microseconds routing::score_of(const entry& candidate, const route_request& request,
                               const prefix_cache& cache, time_point now) const
{
    // Each request that this daemon sent since the report takes one of the group's slots for the service
    // time.
    const auto per_request =
        std::chrono::duration<double, std::micro>(this->settings.service_time) / this->settings.full_slots;
    const auto own = per_request * static_cast<double>(candidate.sent.size());
    const auto cached =
        request.prefix.empty() ? 0.0 : cache.expected_blocks(candidate.group.id, request.prefix, now);
    const auto gain = std::chrono::duration<double, std::micro>(this->settings.prefill_per_block) * cached;
    return candidate.reported_wait + 2 * candidate.group.distance + this->straggler_penalty(candidate, now) +
           std::chrono::duration_cast<microseconds>(own - gain);
}

result<microseconds> routing::score(const group_id& id, const route_request& request,
                                    const prefix_cache& cache, time_point now) const
{
    const auto known = this->positions.find(id);
    if (known == this->positions.end()) {
        return failure{failure_kind::not_found, "routing score of group " + id.str()};
    }
    return this->score_of(this->entries[known->second], request, cache, now);
}

microseconds routing::report_age(const entry& candidate, time_point now)
{
    const auto age = std::clamp<duration>(now - candidate.reported, duration::zero(), max_report_age);
    return std::chrono::duration_cast<microseconds>(age);
}

routing::scored routing::best_of(const std::vector<std::size_t>& found, bool near_tier,
                                 const route_request& request, const prefix_cache& cache, time_point now,
                                 std::uint64_t& random_state) const
{
    scored best;
    microseconds lowest{0};
    for (const auto position : found) {
        const auto& candidate = this->entries[position];
        if (this->is_near(candidate) != near_tier) {
            continue;
        }
        const auto score = this->score_of(candidate, request, cache, now);
        // Since the report, the wait can have fallen by the report's age, or risen by as much if many daemons
        // chose the group. Smaller differences are noise; choosing by them makes the load of the groups
        // oscillate.
        const auto width = 2 * report_age(candidate, now).count();
        const auto noise = width > 0 ? next_random(random_state) % static_cast<std::uint64_t>(width) : 0;
        const auto compared = score + microseconds(noise);
        if (best.candidate == nullptr || compared < lowest) {
            best = {&candidate, score};
            lowest = compared;
        }
    }
    return best;
}

void routing::sample(const std::vector<std::size_t>& from, const route_request& request,
                     std::uint64_t& random_state, std::vector<std::size_t>& found) const
{
    std::size_t taken = 0;
    for (int draw = 0; draw < max_draws && taken < samples_per_tier && !from.empty(); ++draw) {
        const auto position = from[next_random(random_state) % from.size()];
        if (!contains(found, position) && this->usable(this->entries[position], request, true)) {
            found.push_back(position);
            ++taken;
        }
    }
}

void routing::scan(const route_request& request, bool exclude_avoided, std::uint64_t& random_state,
                   std::vector<std::size_t>& found) const
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        if (this->usable(this->entries[i], request, exclude_avoided)) {
            candidates.push_back(i);
        }
    }
    for (std::size_t taken = 0; taken < samples_per_tier && !candidates.empty(); ++taken) {
        const auto drawn = next_random(random_state) % candidates.size();
        found.push_back(candidates[drawn]);
        candidates[drawn] = candidates.back();
        candidates.pop_back();
    }
}

const routing::entry* routing::preferred(const route_request& request) const
{
    // Only near groups: a cached prefix saves less than the distance to another region costs.
    const entry* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto position : this->near) {
        const auto& candidate = this->entries[position];
        auto random_state = candidate.id_hash ^ request.prefix.front();
        const auto weight = next_random(random_state);
        if (weight >= best_weight && this->usable(candidate, request, true)) {
            best = &candidate;
            best_weight = weight;
        }
    }
    return best;
}

result<route> routing::choose(const route_request& request, const prefix_cache& cache, time_point now)
{
    auto random_state = request.random;
    std::vector<std::size_t> found;
    found.reserve(2 * samples_per_tier);
    this->sample(this->near, request, random_state, found);
    if (this->near.size() != this->all.size()) {
        this->sample(this->all, request, random_state, found);
    }
    if (found.size() < samples_per_tier) {
        ++this->counts.scans;
        found.clear();
        this->scan(request, true, random_state, found);
        if (found.empty() && !request.avoid_domains.empty()) {
            this->scan(request, false, random_state, found);
        }
    }
    if (found.empty()) {
        ++this->counts.none;
        return failure{failure_kind::unavailable, "no usable group in the pool"};
    }
    auto best = this->best_of(found, true, request, cache, now, random_state);
    const auto far = this->best_of(found, false, request, cache, now, random_state);
    // A far group is chosen only if its advantage exceeds the age of its report.
    if (best.candidate == nullptr ||
        (far.candidate != nullptr && far.score + report_age(*far.candidate, now) < best.score)) {
        best = far;
    }
    if (!request.prefix.empty() && request.prefix.front() != 0) {
        const auto* preferred_candidate = this->preferred(request);
        if (preferred_candidate != nullptr && preferred_candidate != best.candidate) {
            const auto score = this->score_of(*preferred_candidate, request, cache, now);
            if (score <= best.score + this->settings.affinity_slack) {
                best = {preferred_candidate, score};
                ++this->counts.preferred;
            }
        }
    }
    const auto& group = best.candidate->group;
    ++this->counts.chosen;
    this->counts.chosen_cold += group.cold ? 1 : 0;
    this->counts.chosen_far += this->is_near(*best.candidate) ? 0 : 1;
    return route{group.id, best.score, group.cold, now};
}

void routing::begin(const route& chosen)
{
    const auto known = this->positions.find(chosen.group);
    if (known == this->positions.end()) {
        return;
    }
    auto& target = this->entries[known->second];
    if (target.sent.size() < max_sent && chosen.sent > target.reported) {
        // Requests begin almost in the order of their times, so that the insertion is mostly at the end.
        target.sent.insert(std::upper_bound(target.sent.begin(), target.sent.end(), chosen.sent),
                           chosen.sent);
    }
}

void routing::end(const route& ended, duration first_token, time_point now)
{
    const auto known = this->positions.find(ended.group);
    if (known == this->positions.end()) {
        return;
    }
    auto& target = this->entries[known->second];
    const auto own = std::lower_bound(target.sent.begin(), target.sent.end(), ended.sent);
    if (own != target.sent.end() && *own == ended.sent) {
        target.sent.erase(own);
    }
    if (first_token > duration::zero()) {
        const auto sample = std::chrono::duration<double, std::micro>(first_token).count();
        const auto smooth = [&](double& value) {
            value = value == 0 ? sample : value + latency_gain * (sample - value);
        };
        smooth(target.latency_us);
        target.latency_at = now;
        // The latency of the pool changes slowly, so that a single straggler does not dominate it.
        this->pool_latency_us +=
            this->pool_latency_us == 0
                ? sample
                : latency_gain / static_cast<double>(this->entries.size()) * (sample - this->pool_latency_us);
    }
}

std::vector<group_id> routing::groups() const
{
    std::vector<group_id> ids;
    ids.reserve(this->entries.size());
    for (const auto& known : this->entries) {
        ids.push_back(known.group.id);
    }
    return ids;
}

} // namespace rml
