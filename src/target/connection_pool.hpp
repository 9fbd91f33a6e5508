/// Pool of connections to targets.
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

/// A connection and the engine incarnation that was read from /status over it; 0 for plain services.
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

/// Idle connections by target address. Only a connection whose last answer was read to its end is returned to
/// the pool; after a cancelled, timed-out or failed request its user destroys the connection instead.
class connection_pool
{
public:
    explicit connection_pool(boost::asio::io_context& context) : context(context) {}

    /// Takes an idle connection bound to `incarnation` (nullopt: to any incarnation); empty if there is none.
    /// Closes the connections it finds that are bound to another incarnation, were idle for longer than
    /// `max_idle_time` or are not reusable.
    bound_connection take_idle(const endpoint& remote, std::optional<std::uint64_t> incarnation,
                               milliseconds max_idle_time = limits::target_idle_time);

    /// Opens a new connection. Fails with `connection_refused` or `timeout`; no request bytes were sent then.
    result<std::unique_ptr<http::client_connection>> open(const endpoint& remote, time_point deadline,
                                                          yield_context yield);

    /// Returns a connection to the pool if it is reusable; closes it otherwise.
    void give_back(const endpoint& remote, bound_connection used);

    /// Closes the idle connections to one address, for example after another connection to it stalled.
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
