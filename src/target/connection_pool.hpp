/// Pool of connections to targets.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/limits.hpp"
#include "base/ranked_mutex.hpp"
#include "base/time.hpp"
#include "http/client.hpp"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rml::target {

using yield_context = http::yield_context;

/// A connection and the engine incarnation that was read from /status over it; 0 for plain services.
struct bound_connection
{
    std::unique_ptr<http::client_connection> connection;
    std::uint64_t incarnation{0};
};

/// Why an idle connection was closed.
enum class discard_reason
{
    unusable,  ///< found so when it was wanted: too old, another incarnation, closed or with unasked bytes
    idle_time, ///< nobody used it for `limits::target_idle_time`
    ended_by_peer, ///< the target closed it, or sent bytes that no request asked for
    surplus,       ///< more idle connections than the limits allow
    cleared,       ///< the target left, or another connection to it stalled
};

constexpr std::size_t discard_reasons = 5;

struct pool_stats
{
    std::uint64_t opened{0};
    std::uint64_t reused{0};
    std::uint64_t discarded{0};                                ///< idle connections that were closed
    std::array<std::uint64_t, discard_reasons> discarded_by{}; ///< the same by reason
    std::uint64_t refused{
        0}; ///< connections for requests that were not opened because of `pool_limits::open`
};

/// Limits over all targets together.
struct pool_limits
{
    std::size_t idle{limits::target_idle_total};
    std::size_t open{std::numeric_limits<std::size_t>::max()}; ///< idle, in use or being opened
};

/// What a connection is opened for.
enum class connection_use
{
    request, ///< of a caller; fails when the limit on open connections is reached
    control, ///< status reads, orders, checks and the store; opened beyond that limit too
};

/// Idle connections by target address. Only a connection whose last answer was read to its end is returned to
/// the pool; after a cancelled, timed-out or failed request its user destroys the connection instead.
///
/// The pool owns the descriptors of all connections to targets. Idle ones end without being wanted again:
/// expire() closes those that are old or that the target has closed, and the one that was idle for longest
/// gives way when a limit is reached.
class connection_pool
{
public:
    explicit connection_pool(boost::asio::io_context& context) : context(context) {}

    /// Takes an idle connection bound to `incarnation` (nullopt: to any incarnation); empty if there is none.
    /// Closes the connections it finds that are bound to another incarnation, were idle for longer than
    /// `max_idle_time` or are not reusable.
    bound_connection take_idle(const endpoint& remote, std::optional<std::uint64_t> incarnation,
                               milliseconds max_idle_time = limits::target_idle_time);

    /// Opens a new connection, for which an idle one of any target gives way when the limit on open
    /// connections is reached. Fails with `connection_refused` or `timeout`, or with `unavailable` when this
    /// process can open no more; no request bytes were sent then.
    result<std::unique_ptr<http::client_connection>> open(const endpoint& remote, time_point deadline,
                                                          yield_context yield,
                                                          connection_use use = connection_use::control);

    /// Returns a connection to the pool if it is reusable; closes it otherwise.
    void give_back(const endpoint& remote, bound_connection used);

    /// Closes the connections that were idle for longer than `limits::target_idle_time` and those that their
    /// target has ended. To be called each `limits::target_idle_check`.
    void expire(time_point now);

    /// Closes the idle connections to one address, for example after another connection to it stalled.
    void clear(const endpoint& remote);
    /// Closes all idle connections.
    void clear();

    /// Closes the idle connections that exceed the new limits.
    void update_limits(const pool_limits& bounds);

    pool_stats stats() const;
    /// Idle connections.
    std::size_t idle() const;
    /// Connections that are idle, in use or being opened.
    std::size_t open_connections() const { return *this->open_sockets; }

private:
    struct idle_connection
    {
        std::string remote;
        bound_connection bound;
        time_point idle_since;
    };
    using idle_list = std::list<idle_connection>;
    using discarded_connections = std::vector<bound_connection>;

    bound_connection pop(const endpoint& remote, time_point& idle_since);
    /// Removes a connection. The mutex is held.
    bound_connection remove(idle_list::iterator which);
    /// Removes a connection that is to be closed without the mutex. The mutex is held.
    void discard(idle_list::iterator which, discard_reason reason, discarded_connections& discarded);
    /// Makes room for one more connection. Returns false when that use may not open one.
    bool reserve(connection_use use);

    boost::asio::io_context& context;
    const http::socket_count open_sockets{std::make_shared<std::atomic<std::size_t>>(0)};
    mutable ranked_mutex mutex{lock_rank::connection_pool};
    idle_list all_idle; ///< longest idle first
    /// Longest idle first. Holds no empty lists.
    std::unordered_map<std::string, std::vector<idle_list::iterator>> by_remote;
    pool_limits bounds;
    pool_stats counts;
};

} // namespace rml::target
