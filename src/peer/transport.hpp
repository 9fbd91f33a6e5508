/// Links between daemons: binary websocket frames with authenticated hellos in both directions.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/time.hpp"
#include "peer/messages.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rml::peer {

/// Receives the events of the links. Calls come from the threads of the io_context, one at a time per
/// transport.
class link_events
{
public:
    link_events() = default;
    link_events(const link_events&) = delete;
    link_events& operator=(const link_events&) = delete;
    virtual ~link_events() = default;

    /// Both sides have authenticated.
    virtual void link_opened(link_handle link, const hello_message& remote) = 0;
    virtual void message_received(link_handle link, const message& received) = 0;
    /// The link was closed or could not be opened. No further events follow for this handle.
    virtual void link_closed(link_handle link, const failure& reason) = 0;
};

struct transport_options
{
    endpoint listen;
    std::string secret; ///< shared by all daemons; never logged
    milliseconds handshake_timeout{2000};
    std::size_t send_buffer_bytes{4 * 1024 * 1024}; ///< a link with more unsent bytes is closed
};

struct transport_stats
{
    std::uint64_t frames_sent{0};
    std::uint64_t bytes_sent{0}; ///< websocket payload bytes
    std::uint64_t frames_received{0};
    std::uint64_t bytes_received{0};
    std::uint64_t malformed{0};
    std::uint64_t unknown_types{0};
    std::uint64_t unauthorized{0};
};

class transport
{
public:
    transport() = default;
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    virtual ~transport() = default;

    /// Starts to open a link. The result arrives as link_opened or link_closed.
    virtual link_handle create_link(const endpoint& remote, link_purpose purpose) = 0;
    virtual void destroy_link(link_handle link) = 0;
    /// Queues a message. A message to a link that is not open is dropped.
    virtual void send(link_handle link, const message& m) = 0;
    virtual endpoint local() const = 0;
    virtual transport_stats stats() const = 0;
    /// Closes all links and stops listening.
    virtual void stop() = 0;
};

/// Builds the hello of this daemon. The transport sets version, purpose, nonce and mac.
using hello_source = std::function<hello_message()>;

/// Websocket backend. Fails with `unavailable` when the address cannot be bound.
result<std::unique_ptr<transport>> create_websocket_transport(boost::asio::io_context& context,
                                                              const transport_options& options,
                                                              hello_source hello, link_events& events);

} // namespace rml::peer
