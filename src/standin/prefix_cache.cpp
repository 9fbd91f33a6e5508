#include "standin/prefix_cache.hpp"

#include <algorithm>

namespace rml::standin {

namespace {

constexpr std::size_t log_entries = 1024;

} // namespace

bool prefix_cache::use(std::uint64_t prefix, time_point now)
{
    if (const auto found = this->places.find(prefix); found != this->places.end()) {
        this->order.splice(this->order.begin(), this->order, found->second);
        return true;
    }
    if (this->capacity == 0) {
        return false;
    }
    if (this->order.size() >= this->capacity) {
        const auto victim = this->order.back();
        this->order.pop_back();
        this->places.erase(victim);
        this->record(false, victim, now);
    }
    this->order.push_front(prefix);
    this->places[prefix] = this->order.begin();
    this->record(true, prefix, now);
    return false;
}

void prefix_cache::clear()
{
    this->order.clear();
    this->places.clear();
    this->log.clear();
    this->last_seq = 0;
}

void prefix_cache::record(bool added, std::uint64_t prefix, time_point now)
{
    const auto seq = ++this->last_seq;
    if (this->gap != 0 && seq % this->gap == 0) {
        return;
    }
    this->log.push_back({seq, added, prefix, now});
    if (this->log.size() > log_entries) {
        this->log.pop_front();
    }
}

std::vector<cache_event> prefix_cache::events(std::uint64_t since, milliseconds delay, time_point now) const
{
    std::vector<cache_event> seen;
    for (const auto& event : this->log) {
        if (event.seq >= since && event.at + delay <= now) {
            seen.push_back(event);
        }
    }
    return seen;
}

std::uint64_t prefix_cache::next(milliseconds delay, time_point now) const
{
    const auto visible = std::find_if(this->log.rbegin(), this->log.rend(),
                                      [&](const cache_event& event) { return event.at + delay <= now; });
    return visible == this->log.rend() ? 1 : visible->seq + 1;
}

} // namespace rml::standin
