/// HTTP/1.1 server: one coroutine per connection, bounded heads, bodies, times and connection counts.
#pragma once

#include "base/failure.hpp"
#include "base/limits.hpp"
#include "base/time.hpp"
#include "http/message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace rml::http {

using yield_context = boost::asio::yield_context;

/// Writes the response of one request: either send(), or start(), write()..., finish().
class response_writer
{
public:
    response_writer() = default;
    response_writer(const response_writer&) = delete;
    response_writer& operator=(const response_writer&) = delete;
    virtual ~response_writer() = default;

    /// Sends a whole response.
    virtual status send(const response& whole) = 0;
    /// Sends status and headers of a chunked response.
    virtual status start(const response& head) = 0;
    /// Sends one chunk. Fails when the other side has gone.
    virtual status write(std::string_view chunk) = 0;
    /// Ends a chunked response.
    virtual status finish() = 0;
    /// Breaks the connection, so that an unfinished response cannot be taken for a whole one.
    virtual void abort() = 0;
    /// True once a head was sent.
    virtual bool started() const = 0;
    /// True when the other side has closed the connection.
    virtual bool disconnected() const { return false; }
    /// Calls `left` at most once, on the connection's executor, when the other side closes the connection
    /// while the request is being handled. Bytes that arrive before that end the watch. The callback is
    /// dropped with the writer.
    virtual void on_disconnect(const std::function<void()>& callback) { (void)callback; }
};

/// Serves requests. Called from many connections at once.
class handler
{
public:
    handler() = default;
    handler(const handler&) = delete;
    handler& operator=(const handler&) = delete;
    virtual ~handler() = default;

    /// Must send a response before it returns; otherwise the connection is closed.
    virtual void handle(const request& message, response_writer& writer, yield_context yield) = 0;
};

struct server_options
{
    std::size_t header_bytes{limits::http_header_bytes};
    std::size_t body_bytes{limits::http_body_bytes};
    std::size_t connections{limits::http_connections};
    milliseconds head_timeout{limits::http_head_timeout};
    milliseconds body_timeout{limits::http_body_timeout};
    milliseconds idle_timeout{limits::http_idle_timeout};
    milliseconds write_timeout{limits::http_write_timeout};
};

struct server_stats
{
    std::uint64_t accepted{0};
    std::uint64_t refused{0}; ///< connections above the limit
    std::uint64_t malformed{0};
    std::uint64_t in_flight{0}; ///< requests being handled now
    std::uint64_t open{0};      ///< connections open now
};

/// A listening socket with its connections. The handler must outlive the io_context's last run.
class server
{
public:
    /// Binds and listens. Fails with `unavailable` when the address cannot be bound.
    static result<std::unique_ptr<server>> create(boost::asio::io_context& context, const endpoint& listen,
                                                  handler& request_handler,
                                                  const server_options& options = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Address in use, with the port that the system picked when 0 was asked for.
    endpoint local() const;
    server_stats stats() const;
    /// Applies to the requests that are read from now on.
    void update_options(const server_options& options);

    /// From now on every response closes its connection. The listening socket stays open.
    void drain();
    /// Breaks every open connection, also those with a request in flight. The listening socket stays open.
    void close_connections();
    /// Stops accepting. Requests in flight go on; a connection ends with its next answer or idle timeout.
    void stop();

private:
    struct state;
    explicit server(std::shared_ptr<state> initial);
    std::shared_ptr<state> inner;
};

} // namespace rml::http
