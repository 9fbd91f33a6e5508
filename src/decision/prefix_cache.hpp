/// Estimates which prompt blocks a group holds in its prefix cache, from events that may be late, duplicated
/// or lost. A wrong estimate costs time, never correctness.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace rml {

/// Hash of a prompt block and all blocks before it, so that equal hashes mean equal prefixes. 0 is no block.
using prefix_block = std::uint64_t;

enum class prefix_event_kind
{
    stored,
    evicted,
    cleared, ///< all blocks were evicted
};

/// One event of a group's cache. Sequence numbers start at 1 in each incarnation.
struct prefix_event
{
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    prefix_event_kind kind{prefix_event_kind::stored};
    std::vector<prefix_block> blocks;
};

struct prefix_cache_settings
{
    std::size_t blocks_per_group{1024}; ///< rounded down to a multiple of `ways`
    std::size_t max_groups{200};
    seconds half_life{60}; ///< time after which the weight of an unconfirmed block is halved
};

struct prefix_cache_stats
{
    std::uint64_t events{0};
    std::uint64_t gaps{0};     ///< ranges of missing events
    std::uint64_t stale{0};    ///< late or duplicated events
    std::uint64_t replaced{0}; ///< blocks replaced in a full set
    std::uint64_t refused{0};  ///< events of groups beyond `max_groups`
};

class prefix_cache
{
public:
    explicit prefix_cache(const prefix_cache_settings& bounds = {}) : settings(bounds) {}

    /// Applies an event. Of late events only evictions apply, since a block stored late may have been
    /// evicted.
    void update(const group_id& group, const prefix_event& event, time_point now);
    void destroy(const group_id& group) { this->groups.erase(group); }

    /// Expected number of leading blocks that the group holds. The weight of each known block falls with its
    /// age and with the gaps since it was reported.
    double expected_blocks(const group_id& group, const std::vector<prefix_block>& prefix,
                           time_point now) const;

    /// Bytes of the block tables.
    std::size_t memory() const;
    const prefix_cache_stats& stats() const { return this->counts; }

private:
    static constexpr std::size_t ways = 4;

    /// 16 bytes; an empty entry has block 0.
    struct entry
    {
        prefix_block block{0};
        std::uint32_t stored_ms{0}; ///< since `epoch`; wraps after 49 days, which only falsifies the age
        std::uint32_t gaps{0};      ///< number of gaps of the group when the block was reported
    };
    struct group_cache
    {
        std::uint64_t incarnation{0};
        std::uint64_t last_sequence{0};
        std::uint32_t gaps{0};
        std::vector<entry> entries; ///< sets of `ways` entries
    };

    std::size_t set_count() const;
    std::size_t first_of_set(prefix_block block) const;
    void store(group_cache& target, prefix_block block, time_point now);
    static void evict(group_cache& target, std::size_t first, prefix_block block);
    double confidence(const group_cache& source, const entry& known, time_point now) const;

    prefix_cache_settings settings;
    std::unordered_map<group_id, group_cache> groups;
    prefix_cache_stats counts;
};

} // namespace rml
