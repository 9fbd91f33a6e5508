/// HTTP/1.1 server: one coroutine per connection; head size, body size, times and connections are limited.
#pragma once

#include "base/failure.hpp"
#include "base/limits.hpp"
#include "base/time.hpp"
#include "decision/client_limits.hpp"
#include "http/message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
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

    /// Sends a complete response.
    virtual status send(const response& whole) = 0;
    /// Sends status and headers of a chunked response.
    virtual status start(const response& head) = 0;
    /// Sends one chunk. Fails when the peer has disconnected.
    virtual status write(std::string_view chunk) = 0;
    /// Ends a chunked response.
    virtual status finish() = 0;
    /// Closes the connection, so that an unfinished response cannot be taken for a complete one.
    virtual void abort() = 0;
    /// True after the response head was sent.
    virtual bool started() const = 0;
    /// True when the peer has closed the connection.
    virtual bool disconnected() const { return false; }
    /// Calls `callback` at most once, on the connection's executor, when the peer closes the connection while
    /// the request is being handled. The watch ends without a call when bytes arrive first. The writer's
    /// destructor discards the callback.
    virtual void on_disconnect(const std::function<void()>& callback) { (void)callback; }
};

enum class unserved_reason
{
    head_timeout,
    body_timeout,
    malformed,
    too_large,
    peer_closed,
    stopping,
    crowded,   ///< gave way to other clients
    no_answer, ///< the handler returned before the answer was complete
};

std::string_view to_string(unserved_reason reason);

/// A request of which bytes were read and that got no complete answer of the handler.
struct unserved_request
{
    unserved_reason reason{unserved_reason::malformed};
    int status{0};        ///< answer of the server itself; 0 when none was written completely
    std::string target;   ///< empty when the head was not read completely
    std::size_t bytes{0}; ///< read and not parsed yet
};

/// Handles requests. Called concurrently by many connections.
class handler
{
public:
    handler() = default;
    handler(const handler&) = delete;
    handler& operator=(const handler&) = delete;
    virtual ~handler() = default;

    /// The connection is closed if no complete response was sent before the return.
    virtual void handle(const request& message, response_writer& writer, yield_context yield) = 0;
    /// Called for each request that handle() did not receive or did not answer completely. Logs it.
    virtual void on_unserved(const unserved_request& request);
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

/// How a server treats its clients beyond the limits of one request.
struct client_policy
{
    client_limits* limits{
        nullptr}; ///< only of a context that one thread runs; outlives the context's handlers
    client_address address{client_address::caller};
    bool discards_bodies{false}; ///< the handler gets requests without their bodies
};

struct server_stats
{
    std::uint64_t accepted{0};
    std::uint64_t refused{0};         ///< connections refused because of the connection limit
    std::uint64_t accept_failures{0}; ///< such as too many open files
    std::uint64_t malformed{0};
    std::uint64_t reading{0};   ///< requests of which a part has been read
    std::uint64_t in_flight{0}; ///< requests being handled
    std::uint64_t open{0};      ///< open connections
    std::uint64_t closing{0};   ///< open connections that are answered and wait for the peer to close
};

/// A listening socket and its connections. The handler must outlive the last run of the io_context.
class server
{
public:
    /// Binds and listens. Fails with `unavailable` when the address cannot be bound.
    static result<std::unique_ptr<server>> create(boost::asio::io_context& context, const endpoint& listen,
                                                  handler& request_handler,
                                                  const server_options& options = {},
                                                  const client_policy& policy = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Bound address, with the port that the system chose if the configured port is 0.
    endpoint local() const;
    server_stats stats() const;
    /// Sets the options for requests that are read after the call.
    void update_options(const server_options& options);

    /// Closes each connection after its next response. The listening socket stays open.
    void drain();
    /// Closes every open connection, also those with a request in flight. The listening socket stays open.
    void close_connections();
    /// Answers 503 to each request of which only a part has been read, and closes its connection.
    void refuse_partial_requests();
    /// Closes the listening socket and the idle connections. Requests that are being read or handled
    /// continue; each connection is closed after its next response.
    void stop();

private:
    struct state;
    explicit server(std::shared_ptr<state> initial);
    std::shared_ptr<state> inner;
};

} // namespace rml::http
