/// Pooled connections to targets.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/limits.hpp"
#include "base/ranked_mutex.hpp"
#include "base/time.hpp"
#include "http/client.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rml::target {

using yield_context = http::yield_context;

/// A connection with the incarnation of the engine read over it; 0 for plain services.
struct bound_connection
{
    std::unique_ptr<http::client_connection> connection;
    std::uint64_t incarnation{0};
};

struct pool_stats
{
    std::uint64_t opened{0};
    std::uint64_t reused{0};
    std::uint64_t discarded{0}; ///< idle connections closed because of age, incarnation or unexpected bytes
};

/// Idle connections per target. Only connections whose last answer was read to its end come back; a
/// connection that carried a cancelled, late or broken request is destroyed by its user instead.
class connection_pool
{
public:
    explicit connection_pool(boost::asio::io_context& context) : context(context) {}

    /// An idle connection bound to `incarnation` (or to any), or an empty one. Connections of other
    /// incarnations are closed, and so are those that were idle for longer.
    bound_connection take_idle(const endpoint& remote, std::optional<std::uint64_t> incarnation,
                               milliseconds max_idle_time = limits::target_idle_time);

    /// Opens a new connection. Fails with `connection_refused` or `timeout`; nothing was sent then.
    result<std::unique_ptr<http::client_connection>> open(const endpoint& remote, time_point deadline,
                                                          yield_context yield);

    /// Keeps the connection if it is reusable; closes it otherwise.
    void give_back(const endpoint& remote, bound_connection used);

    /// Closes the idle connections to one address, for example because another one to it fell silent.
    void clear(const endpoint& remote);
    /// Closes all idle connections.
    void clear();

    pool_stats stats() const;

private:
    struct idle_connection
    {
        bound_connection bound;
        time_point idle_since;
    };

    idle_connection pop(const endpoint& remote);

    boost::asio::io_context& context;
    mutable ranked_mutex mutex{lock_rank::connection_pool};
    std::unordered_map<std::string, std::vector<idle_connection>> idle;
    pool_stats counts;
};

} // namespace rml::target
