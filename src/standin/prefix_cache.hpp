/// Prefix cache of a stand-in engine: limited entries, least recently used first out, and a log of cache
/// events that is late and has gaps.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace rml::standin {

struct cache_event
{
    std::uint64_t seq{0};
    bool added{false}; ///< false: evicted
    std::uint64_t prefix{0};
    time_point at{};
};

class prefix_cache
{
public:
    /// Every `gap`-th event is left out of the log; 0: none.
    prefix_cache(std::size_t capacity, std::uint64_t gap) : capacity(capacity), gap(gap) {}

    /// True when the prefix was cached; it is most recently used afterwards.
    bool use(std::uint64_t prefix, time_point now);
    bool contains(std::uint64_t prefix) const { return this->places.count(prefix) != 0; }
    std::size_t size() const { return this->order.size(); }
    void clear();

    /// Events from `since` on that are at least `delay` old.
    std::vector<cache_event> events(std::uint64_t since, milliseconds delay, time_point now) const;
    /// Number that follows the last visible event.
    std::uint64_t next(milliseconds delay, time_point now) const;

private:
    void record(bool added, std::uint64_t prefix, time_point now);

    std::size_t capacity;
    std::uint64_t gap;
    std::list<std::uint64_t> order; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
    std::deque<cache_event> log;
    std::uint64_t last_seq{0};
};

} // namespace rml::standin
