/// HTTP/1.1 client connections. All calls run inside a coroutine and take an absolute deadline.
#pragma once

#include "base/failure.hpp"
#include "base/time.hpp"
#include "http/executor.hpp"
#include "http/message.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rml::http {

using yield_context = boost::asio::yield_context;

/// Number of open sockets. Shared with the connections that it counts, which may outlive its owner.
using socket_count = std::shared_ptr<std::atomic<std::size_t>>;

/// One connection. Used by one coroutine at a time; different coroutines may use it one after another.
class client_connection
{
public:
    /// Opens a connection. Fails with `connection_refused` or `timeout`, or with `unavailable` when this
    /// process has no descriptor left; no request bytes were sent then. `open_sockets`, if set, counts the
    /// socket from the start of connecting until it is closed.
    static result<std::unique_ptr<client_connection>> create(boost::asio::io_context& context,
                                                             const endpoint& remote, time_point deadline,
                                                             yield_context yield,
                                                             socket_count open_sockets = nullptr);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Writes the request. After a failure the peer may have received any part of the request.
    status write_request(const request& message, time_point deadline, yield_context yield);

    /// Reads status and headers of the response, not the body. Fails with `malformed` when the response has a
    /// transfer coding other than `chunked`, or a status that is neither interim nor between 200 and 599.
    result<response> read_head(time_point deadline, yield_context yield);

    /// Reads the next part of the body; nullopt at its end. Fails with `too_large` when the body exceeds the
    /// limit set by update_body_limit().
    result<std::optional<std::string>> read_body_part(time_point deadline, yield_context yield);

    /// True when the last response has neither a length nor chunks, so that its body ends with the connection
    /// and looks the same when the peer stopped before its end.
    bool ends_with_connection() const;

    /// Writes a request and reads the complete response.
    result<response> exchange(const request& message, time_point deadline, yield_context yield);

    /// True when the last response was read to its end, the peer keeps the connection open and no bytes
    /// arrived since. Must be checked again directly before an idle connection is used.
    bool reusable() const;

    /// For each idle connection, whether the peer has closed it or has sent bytes that no request asked for.
    /// Takes one system call for all.
    static std::vector<bool> ended_by_peer(const std::vector<const client_connection*>& idle);

    /// Closes the socket. Pending operations fail with `connection_broken`. May be called more than once.
    void close();

    /// Sets the highest number of body bytes accepted for one response.
    void update_body_limit(std::size_t bytes);

private:
    struct state;
    explicit client_connection(std::unique_ptr<state> initial);
    std::unique_ptr<state> inner;
};

/// Makes one request over a connection of its own. Blocks the calling thread; for tools and tests.
result<response> call(const endpoint& remote, const request& message, milliseconds timeout);

} // namespace rml::http
