#include "decision/prefix_cache.hpp"

#include <algorithm>
#include <cmath>

namespace rml {

namespace {

std::uint32_t to_ms(time_point at)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count());
}

/// Share of the known blocks that is assumed to be still cached after a gap, since any missed event may have
/// been an eviction.
constexpr double gap_discount = 0.5;

} // namespace

std::size_t prefix_cache::set_count() const
{
    return std::max<std::size_t>(1, this->settings.blocks_per_group / ways);
}

std::size_t prefix_cache::first_of_set(prefix_block block) const
{
    return static_cast<std::size_t>(block % this->set_count()) * ways;
}

double prefix_cache::confidence(const group_cache& source, const entry& known, time_point now) const
{
    const milliseconds age(to_ms(now) - known.stored_ms);
    const auto half_lives = std::chrono::duration<double>(age) / this->settings.half_life;
    return std::exp2(-half_lives) * std::pow(gap_discount, source.gaps - known.gaps);
}

void prefix_cache::store(group_cache& target, prefix_block block, time_point now)
{
    const auto first = target.entries.begin() + static_cast<std::ptrdiff_t>(this->first_of_set(block));
    const auto last = first + ways;
    auto position = std::find_if(first, last, [&](const entry& e) { return e.block == block; });
    if (position == last) {
        position = std::find_if(first, last, [](const entry& e) { return e.block == 0; });
    }
    if (position == last) {
        const auto oldest = [&](const entry& a, const entry& b) {
            return to_ms(now) - a.stored_ms > to_ms(now) - b.stored_ms;
        };
        position = std::min_element(first, last, oldest);
        ++this->counts.replaced;
    }
    *position = {block, to_ms(now), target.gaps};
}

void prefix_cache::evict(group_cache& target, std::size_t first, prefix_block block)
{
    for (auto i = first; i < first + ways; ++i) {
        if (target.entries[i].block == block) {
            target.entries[i] = {};
        }
    }
}

void prefix_cache::update(const group_id& group, const prefix_event& event, time_point now)
{
    ++this->counts.events;
    auto known = this->groups.find(group);
    if (known == this->groups.end()) {
        if (this->groups.size() >= this->settings.max_groups) {
            ++this->counts.refused;
            return;
        }
        known = this->groups.emplace(group, group_cache{}).first;
        known->second.incarnation = event.incarnation;
        known->second.entries.resize(this->set_count() * ways);
    }
    auto& target = known->second;
    if (event.incarnation != target.incarnation) {
        target.incarnation = event.incarnation;
        target.last_sequence = 0;
        target.gaps = 0;
        std::fill(target.entries.begin(), target.entries.end(), entry{});
    }
    const bool out_of_order = event.sequence <= target.last_sequence;
    if (out_of_order) {
        ++this->counts.stale;
    } else {
        // Events missed before the first received one concern blocks that are not in the table.
        if (target.last_sequence != 0 && event.sequence > target.last_sequence + 1) {
            ++target.gaps;
            ++this->counts.gaps;
        }
        target.last_sequence = event.sequence;
    }
    if (event.kind == prefix_event_kind::cleared && !out_of_order) {
        std::fill(target.entries.begin(), target.entries.end(), entry{});
    }
    for (const auto block : event.blocks) {
        if (event.kind == prefix_event_kind::evicted) {
            evict(target, this->first_of_set(block), block);
        } else if (event.kind == prefix_event_kind::stored && !out_of_order && block != 0) {
            this->store(target, block, now);
        }
    }
}

double prefix_cache::expected_blocks(const group_id& group, const std::vector<prefix_block>& prefix,
                                     time_point now) const
{
    const auto known = this->groups.find(group);
    if (known == this->groups.end()) {
        return 0;
    }
    double sum = 0;
    double lowest_confidence = 1;
    for (const auto block : prefix) {
        const auto first =
            known->second.entries.begin() + static_cast<std::ptrdiff_t>(this->first_of_set(block));
        const auto found =
            std::find_if(first, first + ways, [&](const entry& e) { return e.block == block; });
        if (block == 0 || found == first + ways) {
            break;
        }
        // A block is usable only if all earlier blocks of the prefix are cached too.
        lowest_confidence = std::min(lowest_confidence, this->confidence(known->second, *found, now));
        sum += lowest_confidence;
    }
    return sum;
}

std::size_t prefix_cache::memory() const
{
    return this->groups.size() * this->set_count() * ways * sizeof(entry);
}

} // namespace rml
