/// Estimates which prompt blocks a group holds in its prefix cache, from events that arrive late, doubled and
/// with gaps. A wrong estimate costs time, never correctness.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace rml {

/// Hash of a prompt block and of all blocks before it, so equal hashes mean equal prefixes. 0 is no block.
using prefix_block = std::uint64_t;

enum class prefix_event_kind
{
    stored,
    evicted,
    cleared, ///< the cache is empty
};

/// One event of a group's cache. Numbers start at 1 in each incarnation.
struct prefix_event
{
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    prefix_event_kind kind{prefix_event_kind::stored};
    std::vector<prefix_block> blocks;
};

struct prefix_cache_settings
{
    std::size_t blocks_per_group{1024}; ///< rounded down to a multiple of the ways of a set
    std::size_t max_groups{200};
    seconds half_life{60}; ///< an unconfirmed block counts half after this time
};

struct prefix_cache_stats
{
    std::uint64_t events{0};
    std::uint64_t gaps{0};     ///< missing event ranges
    std::uint64_t stale{0};    ///< late or doubled events
    std::uint64_t replaced{0}; ///< blocks dropped for lack of room
    std::uint64_t refused{0};  ///< events of groups beyond `max_groups`
};

class prefix_cache
{
public:
    explicit prefix_cache(const prefix_cache_settings& bounds = {}) : settings(bounds) {}

    /// Applies an event. Late evictions apply, late additions do not: the block may be gone by now.
    void update(const group_id& group, const prefix_event& event, time_point now);
    void destroy(const group_id& group) { this->groups.erase(group); }

    /// Expected number of leading blocks that the group holds: each known block counts by its age and by the
    /// gaps since it was reported.
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
        std::uint32_t stored_ms{0}; ///< since `epoch`, wraps after 49 days, which only ages the entry wrongly
        std::uint32_t gaps{0};      ///< gaps of the group when the block was reported
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
