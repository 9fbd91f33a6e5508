#include "peer/transport.hpp"

#include "base/limits.hpp"
#include "base/log.hpp"

#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <openssl/rand.h>
#include <set>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace rml::peer {

namespace {

namespace asio = boost::asio;
using websocketpp::connection_hdl;

/// Disables websocketpp's log output and limits the frame size.
template <class Base>
struct websocket_config : Base
{
    static const std::size_t max_message_size = limits::peer_frame_bytes;
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
};

using server_type = websocketpp::server<websocket_config<websocketpp::config::asio>>;
using client_type = websocketpp::client<websocket_config<websocketpp::config::asio_client>>;

std::string random_nonce()
{
    std::array<unsigned char, 16> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    constexpr const char* digits = "0123456789abcdef";
    std::string hex;
    for (const auto byte : bytes) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

/// State of one connection through the handshake. The accepting side sends a challenge; the opening side
/// answers with its hello and its own nonce; the accepting side authenticates with its own hello.
struct connection_state
{
    link_handle link;
    connection_hdl handle;
    bool accepted{false}; ///< the other side opened the connection
    bool open{false};     ///< both hellos were verified
    link_purpose purpose{link_purpose::overlay};
    std::string own_nonce;
};

class websocket_transport final : public transport
{
public:
    websocket_transport(asio::io_context& context, transport_options options, hello_source hello,
                        link_events& events)
        : context(context), options(std::move(options)), hello(std::move(hello)), events(events),
          strand(context)
    {
    }

    ~websocket_transport() override { this->stop(); }

    status start()
    {
        websocketpp::lib::error_code code;
        this->server.init_asio(&this->context, code);
        if (!code) {
            this->client.init_asio(&this->context, code);
        }
        if (code) {
            return failure{failure_kind::unavailable, "peer transport: " + code.message()};
        }
        this->server.set_reuse_addr(true);
        this->server.set_open_handshake_timeout(this->options.handshake_timeout.count());
        this->client.set_open_handshake_timeout(this->options.handshake_timeout.count());
        this->register_handlers();
        return this->listen();
    }

    link_handle create_link(const endpoint& remote, link_purpose purpose) override
    {
        const link_handle link{++this->last_link};
        asio::post(this->strand, [this, link, remote, purpose] { this->open(link, remote, purpose); });
        return link;
    }

    void destroy_link(link_handle link) override
    {
        asio::post(this->strand, [this, link] {
            if (const auto found = this->by_link.find(link); found != this->by_link.end()) {
                this->close(found->second, failure{failure_kind::connection_broken, "closed by this side"});
            }
        });
    }

    void send(link_handle link, const message& m) override
    {
        asio::post(this->strand, [this, link, bytes = encode(m)] {
            const auto found = this->by_link.find(link);
            if (found != this->by_link.end() && this->states.at(found->second).open) {
                this->send_bytes(found->second, bytes);
            }
        });
    }

    endpoint local() const override
    {
        boost::system::error_code code;
        const auto bound = const_cast<server_type&>(this->server).get_local_endpoint(code);
        return endpoint{bound.address().to_string(), bound.port()};
    }

    transport_stats stats() const override
    {
        return {this->frames_sent, this->bytes_sent,    this->frames_received, this->bytes_received,
                this->malformed,   this->unknown_types, this->unauthorized};
    }

    void stop() override
    {
        if (this->stopped.exchange(true)) {
            return;
        }
        websocketpp::lib::error_code ignored;
        this->server.stop_listening(ignored);
        asio::post(this->strand, [this] {
            while (!this->states.empty()) {
                this->close(this->states.begin()->first, failure{failure_kind::connection_broken, "stopped"});
            }
        });
    }

private:
    using key_type = std::owner_less<connection_hdl>;

    status listen()
    {
        boost::system::error_code address_code;
        const auto address = asio::ip::make_address(this->options.listen.address, address_code);
        websocketpp::lib::error_code code;
        if (!address_code) {
            this->server.listen(asio::ip::tcp::endpoint(address, this->options.listen.port), code);
        }
        if (!address_code && !code) {
            this->server.start_accept(code);
        }
        if (address_code || code) {
            return failure{failure_kind::unavailable, "peer listen on " + to_string(this->options.listen)};
        }
        return success();
    }

    void register_handlers()
    {
        this->server.set_open_handler([this](const connection_hdl& handle) {
            asio::post(this->strand, [this, handle] { this->accept(handle); });
        });
        this->client.set_open_handler([](const connection_hdl&) {});
        const auto on_message = [this](const connection_hdl& handle, const auto& frame) {
            asio::post(this->strand,
                       [this, handle, bytes = frame->get_payload()] { this->receive(handle, bytes); });
        };
        this->server.set_message_handler(
            [on_message](const connection_hdl& handle, const server_type::message_ptr& frame) {
                on_message(handle, frame);
            });
        this->client.set_message_handler(
            [on_message](const connection_hdl& handle, const client_type::message_ptr& frame) {
                on_message(handle, frame);
            });
        const auto on_close = [this](const connection_hdl& handle) {
            asio::post(this->strand, [this, handle] {
                this->remove_connection(
                    handle, failure{failure_kind::connection_broken, "peer link closed or not established"});
            });
        };
        this->server.set_close_handler(on_close);
        this->server.set_fail_handler(on_close);
        this->client.set_close_handler(on_close);
        this->client.set_fail_handler(on_close);
    }

    void open(link_handle link, const endpoint& remote, link_purpose purpose)
    {
        websocketpp::lib::error_code code;
        const auto connection = this->client.get_connection("ws://" + to_string(remote) + "/peer", code);
        if (code || this->stopped) {
            this->events.link_closed(
                link, failure{failure_kind::connection_refused, "peer link could not be opened"});
            return;
        }
        connection_state state;
        state.link = link;
        state.handle = connection->get_handle();
        state.purpose = purpose;
        state.own_nonce = random_nonce();
        this->by_link[link] = state.handle;
        this->states[state.handle] = std::move(state);
        this->client.connect(connection);
    }

    void accept(const connection_hdl& handle)
    {
        connection_state state;
        state.link = link_handle{++this->last_link};
        state.handle = handle;
        state.accepted = true;
        state.own_nonce = random_nonce();
        this->by_link[state.link] = handle;
        const auto nonce = state.own_nonce;
        this->states[handle] = std::move(state);
        this->send_bytes(handle, encode(challenge_message{limits::peer_protocol_version, nonce}));
    }

    void receive(const connection_hdl& handle, const std::string& bytes)
    {
        const auto found = this->states.find(handle);
        if (found == this->states.end()) {
            return;
        }
        ++this->frames_received;
        this->bytes_received += bytes.size();
        auto decoded = decode(bytes);
        if (failed(decoded)) {
            if (error(decoded).kind == failure_kind::not_found) {
                ++this->unknown_types;
                return;
            }
            ++this->malformed;
            this->close(handle, error(decoded));
            return;
        }
        auto& state = found->second;
        if (state.open) {
            this->events.message_received(state.link, value(decoded));
        } else {
            this->continue_handshake(state, value(decoded));
        }
    }

    void continue_handshake(connection_state& state, const message& received)
    {
        if (const auto* challenge = std::get_if<challenge_message>(&received); challenge && !state.accepted) {
            this->send_hello(state, challenge->nonce);
            return;
        }
        const auto* remote = std::get_if<hello_message>(&received);
        if (remote == nullptr || !verify(*remote, state.own_nonce, this->options.secret)) {
            ++this->unauthorized;
            this->close(state.handle,
                        failure{failure_kind::unauthorized, "expected a peer hello with a valid signature"});
            return;
        }
        if (state.accepted) {
            this->send_hello(state, remote->nonce);
        }
        state.open = true;
        state.purpose = remote->purpose;
        this->events.link_opened(state.link, *remote);
    }

    void send_hello(const connection_state& state, const std::string& receiver_nonce)
    {
        auto own = this->hello();
        own.version = limits::peer_protocol_version;
        own.purpose = state.purpose;
        own.nonce = state.own_nonce;
        own.mac = sign(own, receiver_nonce, this->options.secret);
        this->send_bytes(state.handle, encode(own));
    }

    void send_bytes(const connection_hdl& handle, const std::string& bytes)
    {
        const auto& state = this->states.at(handle);
        websocketpp::lib::error_code code;
        std::size_t buffered = 0;
        if (state.accepted) {
            this->server.send(handle, bytes, websocketpp::frame::opcode::binary, code);
            if (const auto connection = this->server.get_con_from_hdl(handle, code)) {
                buffered = connection->get_buffered_amount();
            }
        } else {
            this->client.send(handle, bytes, websocketpp::frame::opcode::binary, code);
            if (const auto connection = this->client.get_con_from_hdl(handle, code)) {
                buffered = connection->get_buffered_amount();
            }
        }
        ++this->frames_sent;
        this->bytes_sent += bytes.size();
        if (buffered > this->options.send_buffer_bytes) {
            this->close(handle, failure{failure_kind::too_large,
                                        "unsent bytes of the peer link exceed the send buffer"});
        }
    }

    void close(const connection_hdl& handle, const failure& reason)
    {
        const bool accepted = this->states.at(handle).accepted;
        websocketpp::lib::error_code ignored;
        if (accepted) {
            this->server.close(handle, websocketpp::close::status::going_away, "", ignored);
        } else {
            this->client.close(handle, websocketpp::close::status::going_away, "", ignored);
        }
        this->remove_connection(handle, reason);
    }

    void remove_connection(const connection_hdl& handle, const failure& reason)
    {
        const auto found = this->states.find(handle);
        if (found == this->states.end()) {
            return;
        }
        const auto link = found->second.link;
        // `handle` may be a reference into the state and must not be used after the state is erased.
        // `events` has not been notified about a link that was accepted but not authenticated.
        const bool reported = found->second.open || !found->second.accepted;
        this->states.erase(found);
        this->by_link.erase(link);
        if (reported && !this->stopped) {
            this->events.link_closed(link, reason);
        }
    }

    asio::io_context& context;
    transport_options options;
    hello_source hello;
    link_events& events;
    asio::io_context::strand strand;
    server_type server;
    client_type client;
    std::map<connection_hdl, connection_state, key_type> states;
    std::map<link_handle, connection_hdl> by_link;
    std::atomic<std::uint64_t> last_link{0};
    std::atomic<bool> stopped{false};
    std::atomic<std::uint64_t> frames_sent{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> frames_received{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> unknown_types{0};
    std::atomic<std::uint64_t> unauthorized{0};
};

} // namespace

result<std::unique_ptr<transport>> create_websocket_transport(asio::io_context& context,
                                                              const transport_options& options,
                                                              hello_source hello, link_events& events)
{
    auto created = std::make_unique<websocket_transport>(context, options, std::move(hello), events);
    if (auto started = created->start(); failed(started)) {
        return error(started);
    }
    return std::unique_ptr<transport>(std::move(created));
}

} // namespace rml::peer
