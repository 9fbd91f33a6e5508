#include "decision/client_limits.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rml {

namespace {

/// Memory that a daemon uses without clients: some 13 MB at a small site, more with hundreds of daemons.
constexpr std::uint64_t own_memory = 32 * 1024 * 1024;
/// Of the rest, clients hold half: freed memory is in part lost between memory in use.
constexpr std::uint64_t memory_divisor = 2;
/// Shares of the descriptors, as divisors. About a quarter is left for the store, targets and other daemons.
constexpr std::array<std::uint64_t, client_addresses> descriptor_divisors{2, 32, 8, 32};
constexpr std::uint64_t refused_divisor = 16;
/// Shares of the clients' memory that connections without a request may take, as divisors.
constexpr std::array<std::uint64_t, client_addresses> connection_divisors{2, 32, 8, 32};
/// Less is not worth a walk over the free memory.
constexpr std::size_t returned_bytes = 8 * 1024 * 1024;
constexpr milliseconds return_interval{50};

} // namespace

client_bounds bounds_for(const machine_limits& machine)
{
    client_bounds out;
    if (machine.memory_bytes) {
        const auto memory = std::max(*machine.memory_bytes, 2 * own_memory);
        out.bytes = (memory - own_memory) / memory_divisor;
        for (std::size_t i = 0; i < client_addresses; ++i) {
            out.connections[i] = std::min(out.connections[i], out.bytes / client_limits::connection_bytes /
                                                                  connection_divisors[i]);
        }
    }
    if (machine.descriptors) {
        for (std::size_t i = 0; i < client_addresses; ++i) {
            out.connections[i] =
                std::min<std::size_t>(out.connections[i], *machine.descriptors / descriptor_divisors[i]);
        }
        out.refused_connections =
            std::min<std::size_t>(out.refused_connections, *machine.descriptors / refused_divisor);
    }
    return out;
}

client_limits::share::share(client_limits& all, client_address from,
                            std::function<void(turn_away_reason)> callback, time_point now)
    : owner(all), address(from), on_turned_away(std::move(callback)), progressed(now),
      position(all.shares.insert(all.shares.end(), this))
{
    ++this->owner.open[index(this->address)];
    this->owner.sum += this->bytes();
}

client_limits::share::~share()
{
    this->owner.released += this->bytes();
    if (!this->turned_away()) {
        this->owner.sum -= this->bytes();
    }
    --this->owner.open[index(this->address)];
    this->owner.shares.erase(this->position);
}

void client_limits::share::update(std::size_t request, std::size_t answer)
{
    if (!this->turned_away()) {
        this->owner.sum -= this->bytes();
    }
    if (request != this->request_bytes) {
        this->owner.released += this->request_bytes; // a body that grows moves to a larger block
    }
    this->request_bytes = request;
    this->answer_bytes = answer;
    if (!this->turned_away()) {
        this->owner.sum += this->bytes();
    }
}

bool client_limits::share::hold(std::size_t bytes, time_point now)
{
    if (this->current == phase::idle) {
        this->current = phase::reading;
        this->progressed = now;
        this->progress = 0;
    }
    this->update(bytes, this->answer_bytes);
    return !this->turned_away() && this->owner.make_room(*this, now);
}

bool client_limits::share::admit(std::size_t bytes, time_point now)
{
    if (!this->hold(bytes, now)) {
        return false;
    }
    this->current = phase::handling;
    return true;
}

void client_limits::share::begin_answer(std::size_t bytes, time_point now)
{
    this->current = phase::answering;
    this->progressed = now;
    this->progress = 0;
    this->update(this->request_bytes, bytes);
    this->owner.make_room(*this, now);
}

void client_limits::share::end_answer()
{
    this->current = phase::handling;
    this->update(this->request_bytes, 0);
}

void client_limits::share::end_request(time_point now)
{
    this->current = phase::idle;
    this->progressed = now;
    this->progress = 0;
    this->update(0, 0);
}

void client_limits::share::record_progress(std::size_t bytes, time_point now)
{
    this->progress += bytes;
    if (this->progress >= progress_bytes) {
        this->progress = 0;
        this->progressed = now;
    }
}

bool client_limits::accept(client_address address, time_point now)
{
    if (this->open[index(address)] < this->limit.connections[index(address)]) {
        return true;
    }
    share* found = nullptr;
    for (auto* one : this->shares) {
        const bool usable = one->address == address && !one->turned_away() && one->stalled(now) &&
                            one->current != share::phase::handling;
        // A request that has been admitted is closed only if no other connection can be.
        const auto rank = [](const share& client) {
            return std::make_tuple(client.current == share::phase::answering, client.progressed);
        };
        if (usable && (found == nullptr || rank(*one) < rank(*found))) {
            found = one;
        }
    }
    if (found == nullptr) {
        ++this->counts.clients[static_cast<std::size_t>(turn_away_reason::connections)];
        return false;
    }
    this->turn_away(*found, turn_away_reason::connections);
    return true;
}

bool client_limits::returns_memory(time_point now)
{
    if (this->released < returned_bytes || now < this->next_return) {
        return false;
    }
    this->released = 0;
    this->next_return = now + return_interval;
    return true;
}

bool client_limits::make_room(share& growing, time_point now)
{
    while (this->sum > this->limit.bytes) {
        auto* found = this->first_by_memory(now);
        if (found == nullptr) {
            return true;
        }
        this->turn_away(*found, turn_away_reason::memory);
        if (found == &growing) {
            return false;
        }
    }
    return true;
}

client_limits::share* client_limits::first_by_memory(time_point now) const
{
    // Stalled requests, stalled answers, connections that have been idle, requests that arrive, connections
    // that have just become idle.
    const auto rank = [now](const share& client) {
        const bool stalled = client.stalled(now);
        const auto group = client.current == share::phase::reading     ? (stalled ? 5 : 2)
                           : client.current == share::phase::answering ? (stalled ? 4 : 0)
                           : client.current == share::phase::idle      ? (stalled ? 3 : 1)
                                                                       : 0;
        return std::make_tuple(group, client.bytes(), now - client.progressed);
    };
    share* found = nullptr;
    auto best = std::make_tuple(0, std::numeric_limits<std::size_t>::max(), duration::max());
    for (auto* one : this->shares) {
        if (const auto current = rank(*one); !one->turned_away() && current > best) {
            best = current;
            found = one;
        }
    }
    return found;
}

void client_limits::turn_away(share& client, turn_away_reason reason)
{
    ++this->counts.clients[static_cast<std::size_t>(reason)];
    this->counts.bytes[static_cast<std::size_t>(reason)] += client.bytes();
    this->sum -= client.bytes();
    client.reason = reason;
    client.on_turned_away(reason);
}

} // namespace rml
