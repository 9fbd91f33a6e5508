#include "target/connection_pool.hpp"

#include "base/limits.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

namespace rml::target {

bound_connection connection_pool::remove(idle_list::iterator which)
{
    const auto found = this->by_remote.find(which->remote);
    auto& same_remote = found->second;
    same_remote.erase(std::find(same_remote.begin(), same_remote.end(), which));
    if (same_remote.empty()) {
        this->by_remote.erase(found);
    }
    auto removed = std::move(which->bound);
    this->all_idle.erase(which);
    return removed;
}

void connection_pool::discard(idle_list::iterator which, discard_reason reason,
                              discarded_connections& discarded)
{
    discarded.push_back(this->remove(which));
    ++this->counts.discarded;
    ++this->counts.discarded_by[static_cast<std::size_t>(reason)];
}

bound_connection connection_pool::pop(const endpoint& remote, time_point& idle_since)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->by_remote.find(to_string(remote));
    if (found == this->by_remote.end()) {
        return {};
    }
    const auto most_recent = found->second.back();
    idle_since = most_recent->idle_since;
    return this->remove(most_recent);
}

bound_connection connection_pool::take_idle(const endpoint& remote, std::optional<std::uint64_t> incarnation,
                                            milliseconds max_idle_time)
{
    const auto earliest_idle_since = steady_clock::now() - max_idle_time;
    while (true) {
        time_point idle_since;
        auto candidate = this->pop(remote, idle_since);
        if (!candidate.connection) {
            return {};
        }
        const bool usable = idle_since >= earliest_idle_since &&
                            candidate.incarnation == incarnation.value_or(candidate.incarnation) &&
                            candidate.connection->reusable();
        const std::scoped_lock lock(this->mutex);
        if (usable) {
            ++this->counts.reused;
            return candidate;
        }
        ++this->counts.discarded;
        ++this->counts.discarded_by[static_cast<std::size_t>(discard_reason::unusable)];
    }
}

bool connection_pool::reserve(connection_use use)
{
    discarded_connections discarded;
    const std::scoped_lock lock(this->mutex);
    if (*this->open_sockets < this->bounds.open) {
        return true;
    }
    if (!this->all_idle.empty()) {
        this->discard(this->all_idle.begin(), discard_reason::surplus, discarded);
        return true;
    }
    this->counts.refused += use == connection_use::request ? 1 : 0;
    return use == connection_use::control;
}

result<std::unique_ptr<http::client_connection>>
connection_pool::open(const endpoint& remote, time_point deadline, yield_context yield, connection_use use)
{
    if (!this->reserve(use)) {
        return failure{failure_kind::unavailable, "no descriptor left for a connection to a target"};
    }
    const auto limit = std::min(deadline, steady_clock::now() + limits::connect_timeout);
    auto opened = http::client_connection::create(this->context, remote, limit, yield, this->open_sockets);
    if (succeeded(opened)) {
        const std::scoped_lock lock(this->mutex);
        ++this->counts.opened;
    }
    return opened;
}

void connection_pool::give_back(const endpoint& remote, bound_connection used)
{
    if (!used.connection || !used.connection->reusable()) {
        return;
    }
    const auto now = steady_clock::now();
    discarded_connections discarded;
    const std::scoped_lock lock(this->mutex);
    const auto key = to_string(remote);
    this->all_idle.push_back({key, std::move(used), now});
    this->by_remote[key].push_back(std::prev(this->all_idle.end()));
    // take_idle() takes the connection that became idle last, so surplus ones grow old.
    while (this->by_remote.at(key).size() > limits::target_idle_connections) {
        this->discard(this->by_remote.at(key).front(), discard_reason::surplus, discarded);
    }
    while (this->all_idle.size() > this->bounds.idle) {
        this->discard(this->all_idle.begin(), discard_reason::surplus, discarded);
    }
}

void connection_pool::expire(time_point now)
{
    discarded_connections discarded;
    const std::scoped_lock lock(this->mutex);
    while (!this->all_idle.empty() && this->all_idle.front().idle_since < now - limits::target_idle_time) {
        this->discard(this->all_idle.begin(), discard_reason::idle_time, discarded);
    }
    std::vector<idle_list::iterator> entries;
    std::vector<const http::client_connection*> connections;
    for (auto entry = this->all_idle.begin(); entry != this->all_idle.end(); ++entry) {
        entries.push_back(entry);
        connections.push_back(entry->bound.connection.get());
    }
    const auto ended = http::client_connection::ended_by_peer(connections);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (ended[i]) {
            this->discard(entries[i], discard_reason::ended_by_peer, discarded);
        }
    }
}

void connection_pool::clear(const endpoint& remote)
{
    discarded_connections discarded;
    const std::scoped_lock lock(this->mutex);
    const auto found = this->by_remote.find(to_string(remote));
    if (found == this->by_remote.end()) {
        return;
    }
    for (const auto entry : std::vector<idle_list::iterator>(found->second)) {
        this->discard(entry, discard_reason::cleared, discarded);
    }
}

void connection_pool::clear()
{
    discarded_connections discarded;
    const std::scoped_lock lock(this->mutex);
    while (!this->all_idle.empty()) {
        this->discard(this->all_idle.begin(), discard_reason::cleared, discarded);
    }
}

void connection_pool::update_limits(const pool_limits& limit)
{
    discarded_connections discarded;
    const std::scoped_lock lock(this->mutex);
    this->bounds = limit;
    const auto exceeded = [&] {
        // The sockets of discarded connections are still open here.
        return this->all_idle.size() > limit.idle || *this->open_sockets - discarded.size() > limit.open;
    };
    while (!this->all_idle.empty() && exceeded()) {
        this->discard(this->all_idle.begin(), discard_reason::surplus, discarded);
    }
}

pool_stats connection_pool::stats() const
{
    const std::scoped_lock lock(this->mutex);
    return this->counts;
}

std::size_t connection_pool::idle() const
{
    const std::scoped_lock lock(this->mutex);
    return this->all_idle.size();
}

} // namespace rml::target
