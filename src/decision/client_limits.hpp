/// Bounds what all clients of a daemon hold together and decides which of them is turned away first. It
/// answers crowds of clients that are each within their limits and together exhaust the memory or the
/// descriptors: with unfinished heads and bodies, with answers that they do not read, or with connections
/// that they only keep.
#pragma once

#include "base/limits.hpp"
#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <optional>

namespace rml {

/// Addresses of a daemon. Each has connections of its own, so that a crowd at one leaves the others usable.
enum class client_address
{
    caller,
    readiness,
    entries,
    metrics,
};
constexpr std::size_t client_addresses = 4;

/// What the machine of a process has. Absent values do not limit clients.
struct machine_limits
{
    std::optional<std::uint64_t> memory_bytes;
    std::optional<std::uint64_t> descriptors;
};

struct client_bounds
{
    std::size_t bytes{
        std::numeric_limits<std::size_t>::max()}; ///< of all clients, their connections included
    std::array<std::size_t, client_addresses> connections{limits::http_connections, limits::http_connections,
                                                          limits::http_connections, limits::http_connections};
    std::size_t refused_connections{limits::http_refused_connections}; ///< that wait for the peer to close
};

client_bounds bounds_for(const machine_limits& machine);

enum class turn_away_reason
{
    memory,      ///< the clients together held too many bytes
    connections, ///< the connections of the address were all in use
};

constexpr std::size_t turn_away_reasons = 2;

/// What was turned away since the start, by reason.
struct turned_away_counts
{
    std::array<std::uint64_t, turn_away_reasons> clients{};
    std::array<std::uint64_t, turn_away_reasons> bytes{}; ///< that these clients held
};

/// Not thread-safe. Outlives its shares.
class client_limits
{
public:
    /// A client without progress for this time is turned away before others.
    static constexpr milliseconds stalled_time{1000};
    /// Bytes that a client has to send or read to make progress. Single bytes in short intervals are none.
    static constexpr std::size_t progress_bytes = 4096;
    /// Cost of a connection without a request: some 10 kB were measured (used part of the stack, first
    /// buffer).
    static constexpr std::size_t connection_bytes = 16 * 1024;
    /// Cost of a header field, in which its name and value are short: some 80 bytes in the parser and as many
    /// in each of two copies while the request is handled.
    static constexpr std::size_t field_bytes = 256;

    explicit client_limits(const client_bounds& bounds) : limit(bounds) {}
    client_limits(const client_limits&) = delete;
    client_limits& operator=(const client_limits&) = delete;

    /// What one connection holds; releases it at its end.
    class share
    {
    public:
        /// `on_turned_away` is called when the client has to give way to others; it must end the reading or
        /// writing of the connection later and must not use the limits.
        share(client_limits& owner, client_address address,
              std::function<void(turn_away_reason)> on_turned_away, time_point now);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// The request that is being read takes this many bytes in memory. Returns false when the client is
        /// turned away, now or earlier.
        bool hold(std::size_t bytes, time_point now);
        /// The request is complete and takes this many bytes while it is handled. It is not turned away any
        /// more unless its answer waits for the client. Returns false as hold() does.
        bool admit(std::size_t bytes, time_point now);
        /// Bytes of the answer that wait for the client; never refused, since a ready answer is delivered.
        void begin_answer(std::size_t bytes, time_point now);
        void end_answer();
        /// The request has ended, and the connection waits for the next one.
        void end_request(time_point now);
        /// The client has sent or read this many bytes.
        void record_progress(std::size_t bytes, time_point now);

        bool turned_away() const { return this->reason.has_value(); }

    private:
        friend class client_limits;
        enum class phase
        {
            idle,
            reading,
            handling,
            answering,
        };

        std::size_t bytes() const { return connection_bytes + this->request_bytes + this->answer_bytes; }
        bool stalled(time_point now) const { return now - this->progressed >= stalled_time; }
        void update(std::size_t request, std::size_t answer);

        client_limits& owner;
        client_address address;
        std::function<void(turn_away_reason)> on_turned_away;
        time_point progressed;
        std::size_t progress{0}; ///< bytes since `progressed`
        std::size_t request_bytes{0};
        std::size_t answer_bytes{0};
        phase current{phase::idle};
        std::optional<turn_away_reason> reason;
        std::list<share*>::iterator position;
    };

    /// Whether the address takes one more connection. Turns a stalled one away if none is free.
    bool accept(client_address address, time_point now);
    /// Whether one more refused connection may wait for its peer to close.
    bool keeps_refused(std::size_t waiting) const { return waiting < this->limit.refused_connections; }
    /// True when much memory has been released since it last was, so that it is to be returned to the system:
    /// also while as much is held as before, since the allocator does not reuse all of it.
    bool returns_memory(time_point now);

    const client_bounds& bounds() const { return this->limit; }
    std::size_t held() const { return this->sum; }
    std::size_t connections(client_address address) const { return this->open[index(address)]; }
    const turned_away_counts& turned_away() const { return this->counts; }

private:
    static std::size_t index(client_address address) { return static_cast<std::size_t>(address); }
    /// Turns clients away until the bytes fit. Returns false when `growing` is among them, or when none is
    /// left.
    bool make_room(share& growing, time_point now);
    /// The client that gives way first when memory is short; none when all are being handled.
    share* first_by_memory(time_point now) const;
    void turn_away(share& client, turn_away_reason reason);

    client_bounds limit;
    std::list<share*> shares;
    std::array<std::size_t, client_addresses> open{};
    std::size_t sum{0};
    std::size_t released{0}; ///< since memory was returned
    time_point next_return{};
    turned_away_counts counts;
};

} // namespace rml
