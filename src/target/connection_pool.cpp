#include "target/connection_pool.hpp"

#include "base/limits.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

namespace rml::target {

connection_pool::idle_connection connection_pool::pop(const endpoint& remote)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->idle.find(to_string(remote));
    if (found == this->idle.end()) {
        return {};
    }
    auto most_recent = std::move(found->second.back());
    found->second.pop_back();
    if (found->second.empty()) {
        this->idle.erase(found);
    }
    return most_recent;
}

bound_connection connection_pool::take_idle(const endpoint& remote, std::optional<std::uint64_t> incarnation,
                                            milliseconds max_idle_time)
{
    const auto earliest_idle_since = steady_clock::now() - max_idle_time;
    while (true) {
        auto candidate = this->pop(remote);
        if (!candidate.bound.connection) {
            return {};
        }
        const bool usable =
            candidate.idle_since >= earliest_idle_since &&
            candidate.bound.incarnation == incarnation.value_or(candidate.bound.incarnation) &&
            candidate.bound.connection->reusable();
        const std::scoped_lock lock(this->mutex);
        ++(usable ? this->counts.reused : this->counts.discarded);
        if (usable) {
            return std::move(candidate.bound);
        }
    }
}

result<std::unique_ptr<http::client_connection>>
connection_pool::open(const endpoint& remote, time_point deadline, yield_context yield)
{
    const auto limit = std::min(deadline, steady_clock::now() + limits::connect_timeout);
    auto opened = http::client_connection::create(this->context, remote, limit, yield);
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
    std::vector<idle_connection> discarded;
    const std::scoped_lock lock(this->mutex);
    auto& connections = this->idle[to_string(remote)];
    connections.push_back({std::move(used), now});
    // The longest idle connections are at the front: take_idle() takes from the back, so that surplus
    // connections reach the idle limit.
    auto surplus = connections.begin();
    while (surplus != connections.end() &&
           (surplus->idle_since < now - limits::target_idle_time ||
            static_cast<std::size_t>(connections.end() - surplus) > limits::target_idle_connections)) {
        discarded.push_back(std::move(*surplus));
        ++surplus;
        ++this->counts.discarded;
    }
    connections.erase(connections.begin(), surplus);
}

void connection_pool::clear(const endpoint& remote)
{
    std::vector<idle_connection> discarded;
    const std::scoped_lock lock(this->mutex);
    if (const auto found = this->idle.find(to_string(remote)); found != this->idle.end()) {
        discarded.swap(found->second);
        this->idle.erase(found);
        this->counts.discarded += discarded.size();
    }
}

void connection_pool::clear()
{
    std::unordered_map<std::string, std::vector<idle_connection>> discarded;
    const std::scoped_lock lock(this->mutex);
    discarded.swap(this->idle);
}

pool_stats connection_pool::stats() const
{
    const std::scoped_lock lock(this->mutex);
    return this->counts;
}

} // namespace rml::target
