#include "http/server.hpp"

#include "base/log.hpp"
#include "http/pause.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <numeric>
#include <optional>
#include <stdexcept>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>

namespace rml::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

/// Body of a request. Its memory follows the bytes that arrive and not the length that the client states, and
/// a discarded body takes none.
struct request_body
{
    struct value_type
    {
        std::string text;
        bool discarded{false};
    };

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(bhttp::header<IsRequest, Fields>&, value_type& target) : target(target)
        {
        }
        void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& code)
        {
            constexpr std::uint64_t reserved_bytes = 64 * 1024;
            if (length && !this->target.discarded) {
                this->target.text.reserve(static_cast<std::size_t>(std::min(*length, reserved_bytes)));
            }
            code = {};
        }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& code)
        {
            code = {};
            for (const auto part : beast::buffers_range_ref(buffers)) {
                if (!this->target.discarded) {
                    this->target.text.append(static_cast<const char*>(part.data()), part.size());
                }
            }
            return beast::buffer_bytes(buffers);
        }
        void finish(boost::system::error_code& code) { code = {}; }

    private:
        value_type& target;
    };
};

using request_parser = bhttp::request_parser<request_body>;

/// Share of the connections, as a divisor, that may be closing in stages at the same time.
constexpr std::size_t closing_connections_divisor = 4;

response error_response(int status)
{
    const char* kind = status == 408   ? "timeout"
                       : status == 503 ? "unavailable"
                       : status == 400 ? "malformed"
                                       : "too_large";
    auto answer = json_response(status, std::string(R"({"error":{"kind":")") + kind +
                                            R"(","message":"request not accepted","outcome":"not-run"}})");
    answer.headers.push_back({"x-rml-outcome", "not-run"});
    if (status == 503) {
        answer.headers.push_back(
            {"retry-after", "1"}); // stalled clients are turned away within about a second
    }
    return answer;
}

/// Sends 503 without waiting. What the socket does not take is lost.
void send_refusal(tcp::socket& socket)
{
    static const std::string answer = [] {
        const auto refusal = error_response(503);
        std::string out = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n";
        for (const auto& entry : refusal.headers) {
            out += entry.name + ": " + entry.value + "\r\n";
        }
        return out + "Content-Length: " + std::to_string(refusal.body.size()) + "\r\n\r\n" + refusal.body;
    }();
    ::send(socket.native_handle(), answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

} // namespace

namespace detail {

enum class connection_phase
{
    idle,
    reading,
    handling,
    closing,
};

/// An open connection; used on its strand only.
class connection
{
public:
    connection(tcp::socket socket, const client_policy& policy)
        : stream(std::move(socket)), limit(std::make_shared<read_limit>(this->stream.get_executor()))
    {
        if (policy.limits != nullptr) {
            this->share.emplace(
                *policy.limits, policy.address, [this](turn_away_reason reason) { this->turn_away(reason); },
                steady_clock::now());
        }
    }

    /// Appends bytes to the buffer. Returns `beast::error::timeout` when none have arrived at the deadline;
    /// the socket stays open, unlike at a timeout of the stream, so that an answer can still be written.
    boost::system::error_code read_some(time_point deadline, yield_context yield);

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    connection_phase phase{connection_phase::idle};
    bool refuse{false}; ///< the request that is being read is to be refused
    std::optional<client_limits::share> share;

    bool turned_away() const { return this->share && this->share->turned_away(); }

private:
    /// Outlives the connection in the handler of its timer.
    struct read_limit
    {
        explicit read_limit(const beast::tcp_stream::executor_type& executor) : timer(executor) {}

        asio::steady_timer timer;
        std::uint64_t reads{0}; ///< number of the latest read
        bool pending{false};    ///< the latest read has not ended
        bool expired{false};    ///< the latest read was cancelled at its deadline
    };

    void turn_away(turn_away_reason reason);

    std::shared_ptr<read_limit> limit;
};

/// Ends what the connection's coroutine waits for. A connection that gives way to a new one is closed at
/// once, because the new one takes its descriptor.
void connection::turn_away(turn_away_reason reason)
{
    if (this->phase == connection_phase::reading && reason == turn_away_reason::memory) {
        this->stream.cancel();
        return;
    }
    if (this->phase == connection_phase::reading) {
        send_refusal(this->stream.socket());
    }
    this->stream.close();
}

boost::system::error_code connection::read_some(time_point deadline, yield_context yield)
{
    constexpr std::size_t least_bytes = 1024;
    constexpr std::size_t most_bytes = 65536;
    boost::system::error_code code;
    do {
        this->limit->pending = true;
        this->limit->expired = false;
        this->limit->timer.expires_at(deadline);
        this->limit->timer.async_wait([this, shared = this->limit,
                                       read = ++this->limit->reads](const boost::system::error_code& failed) {
            if (!failed && shared->pending && shared->reads == read) {
                boost::system::error_code ignored;
                shared->expired = true;
                this->stream.socket().cancel(ignored);
            }
        });
        const auto size = std::max(least_bytes, beast::read_size(this->buffer, most_bytes));
        const auto count = this->stream.socket().async_read_some(this->buffer.prepare(size), yield[code]);
        this->buffer.commit(count);
        this->limit->pending = false;
        this->limit->timer.cancel();
        if (this->share) {
            this->share->record_progress(count, steady_clock::now());
        }
        if (this->turned_away()) {
            return asio::error::operation_aborted;
        }
        if (!code || !this->limit->expired) {
            return code;
        }
        // Bytes that arrived in time while the event loop was busy are still read.
    } while (this->stream.socket().available(code) > 0);
    return beast::error::timeout;
}

} // namespace detail

struct server::state
{
    state(asio::io_context& context, handler& request_handler, server_options options,
          const client_policy& policy)
        : context(context), acceptor(asio::make_strand(context)), request_handler(request_handler),
          policy(policy), options(options)
    {
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    handler& request_handler;
    const client_policy policy;
    server_options options;
    mutable std::mutex options_mutex;
    std::atomic<bool> draining{false};
    std::atomic<bool> stopped{false};
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> refusing{0}; ///< refused connections that wait for the peer to close
    std::atomic<std::uint64_t> accept_failures{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> reading{0};
    std::atomic<std::uint64_t> in_flight{0};
    std::atomic<std::uint64_t> open{0};
    std::atomic<std::uint64_t> closing{0};
    server_options current_options() const
    {
        const std::scoped_lock lock(this->options_mutex);
        return this->options;
    }

    std::mutex connections_mutex;
    std::unordered_map<std::uint64_t, detail::connection*> connections; ///< open connections by number
    std::uint64_t next_connection{0};
};

namespace {

/// Writes responses to the connection's stream; used by the connection's coroutine.
class stream_writer final : public response_writer
{
public:
    /// `head_only`: the request is a HEAD request, whose answer ends with its head (RFC 9112, 6.3).
    stream_writer(detail::connection& link, milliseconds timeout, bool keep_alive, bool head_only,
                  yield_context yield)
        : stream(link.stream), share(link.share ? &*link.share : nullptr), timeout(timeout),
          keep_alive(keep_alive), head_only(head_only), yield(yield)
    {
    }

    status send(const response& whole) override
    {
        this->head_sent = true;
        bhttp::response<bhttp::span_body<const char>> out;
        this->fill(out, whole);
        out.body() = {whole.body.data(), whole.body.size()};
        out.prepare_payload(); // the length that the answer to GET would have
        bhttp::response_serializer<bhttp::span_body<const char>> serializer(out);
        boost::system::error_code code;
        if (this->head_only) {
            this->stream.expires_after(this->timeout);
            bhttp::async_write_header(this->stream, serializer, this->yield[code]);
            this->ended = !code;
            return this->checked(code);
        }
        const answer_guard waiting(this->share, whole.body.size());
        this->stream.expires_after(this->timeout);
        do {
            const auto count = bhttp::async_write_some(this->stream, serializer, this->yield[code]);
            waiting.record_progress(count);
        } while (!code && !serializer.is_done());
        this->ended = !code;
        return this->checked(code);
    }

    status start(const response& head) override
    {
        this->head_sent = true;
        bhttp::response<bhttp::empty_body> out;
        this->fill(out, head);
        out.chunked(true);
        bhttp::response_serializer<bhttp::empty_body> serializer(out);
        boost::system::error_code code;
        this->stream.expires_after(this->timeout);
        bhttp::async_write_header(this->stream, serializer, this->yield[code]);
        return this->checked(code);
    }

    status write(std::string_view chunk) override
    {
        if (chunk.empty() || this->head_only) {
            return success();
        }
        boost::system::error_code code;
        const answer_guard waiting(this->share, chunk.size());
        this->stream.expires_after(this->timeout);
        std::size_t written = 0;
        const auto record = [&](const boost::system::error_code& failed, std::size_t total) -> std::size_t {
            waiting.record_progress(total - std::exchange(written, total));
            return asio::transfer_all()(failed, total);
        };
        asio::async_write(this->stream, bhttp::make_chunk(asio::const_buffer(chunk.data(), chunk.size())),
                          record, this->yield[code]);
        return this->checked(code);
    }

    status finish() override
    {
        boost::system::error_code code;
        if (this->head_only) {
            this->ended = true;
            return success();
        }
        this->stream.expires_after(this->timeout);
        asio::async_write(this->stream, bhttp::make_chunk_last(), this->yield[code]);
        this->ended = !code;
        return this->checked(code);
    }

    void abort() override
    {
        boost::system::error_code ignored;
        this->ended = false;
        this->head_sent = true;
        this->stream.socket().close(ignored);
    }

    bool started() const override { return this->head_sent; }

    bool disconnected() const override
    {
        char byte = 0;
        const auto count = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

    void on_disconnect(const std::function<void()>& callback) override
    {
        this->watch = std::make_shared<disconnect_watch>();
        this->watch->callback = callback;
        this->stream.socket().async_wait(tcp::socket::wait_read,
                                         [this, shared = this->watch](const boost::system::error_code& code) {
                                             // The writer's destructor resets the callback, so an
                                             // empty callback means that the writer is destroyed.
                                             if (shared->callback && !code && this->disconnected()) {
                                                 std::exchange(shared->callback, nullptr)();
                                             }
                                             shared->waiting = false;
                                         });
    }

    ~stream_writer() override
    {
        if (this->watch && this->watch->waiting) {
            this->watch->callback = nullptr;
            boost::system::error_code ignored;
            this->stream.socket().cancel(ignored);
        }
    }
    stream_writer(const stream_writer&) = delete;
    stream_writer& operator=(const stream_writer&) = delete;

    bool complete() const { return this->ended; }

private:
    /// Bytes of an answer that wait for the client, for the lifetime of the object.
    class answer_guard
    {
    public:
        answer_guard(client_limits::share* share, std::size_t bytes) : share(share)
        {
            if (this->share != nullptr) {
                this->share->begin_answer(bytes, steady_clock::now());
            }
        }
        ~answer_guard()
        {
            if (this->share != nullptr) {
                this->share->end_answer();
            }
        }
        answer_guard(const answer_guard&) = delete;
        answer_guard& operator=(const answer_guard&) = delete;

        void record_progress(std::size_t bytes) const
        {
            if (this->share != nullptr) {
                this->share->record_progress(bytes, steady_clock::now());
            }
        }

    private:
        client_limits::share* share;
    };

    struct disconnect_watch
    {
        std::function<void()> callback;
        bool waiting{true};
    };

    template <class Message>
    void fill(Message& out, const response& from) const
    {
        out.result(static_cast<unsigned>(from.status));
        out.version(11);
        out.keep_alive(this->keep_alive);
        for (const auto& entry : from.headers) {
            out.set(entry.name, entry.value);
        }
    }

    status checked(const boost::system::error_code& code) const
    {
        if (!code) {
            return success();
        }
        const bool timed_out = code == beast::error::timeout;
        return failure{timed_out ? failure_kind::timeout : failure_kind::connection_broken, "write response"};
    }

    beast::tcp_stream& stream;
    client_limits::share* share;
    milliseconds timeout;
    bool keep_alive;
    bool head_only;
    yield_context yield;
    std::shared_ptr<disconnect_watch> watch;
    bool head_sent{false};
    bool ended{false};
};

/// Increments a counter for the lifetime of the object.
class counter_guard
{
public:
    explicit counter_guard(std::atomic<std::uint64_t>& counter) : counter(counter) { ++this->counter; }
    ~counter_guard() { --this->counter; }
    counter_guard(const counter_guard&) = delete;
    counter_guard& operator=(const counter_guard&) = delete;

private:
    std::atomic<std::uint64_t>& counter;
};

bool is_head_request(const bhttp::request<request_body>& message)
{
    return message.method() == bhttp::verb::head;
}

int status_of(unserved_reason reason, const boost::system::error_code& code)
{
    switch (reason) {
    case unserved_reason::head_timeout:
    case unserved_reason::body_timeout:
        return 408;
    case unserved_reason::too_large:
        return code == bhttp::error::header_limit ? 431 : 413;
    case unserved_reason::stopping:
    case unserved_reason::crowded:
        return 503;
    default:
        return 400;
    }
}

unserved_reason reason_of(const boost::system::error_code& code, bool head_read)
{
    if (code == beast::error::timeout) {
        return head_read ? unserved_reason::body_timeout : unserved_reason::head_timeout;
    }
    if (code == bhttp::error::header_limit || code == bhttp::error::body_limit) {
        return unserved_reason::too_large;
    }
    const auto& parser_errors = bhttp::make_error_code(bhttp::error::end_of_stream).category();
    const bool closed = code == bhttp::error::partial_message || code.category() != parser_errors;
    return closed ? unserved_reason::peer_closed : unserved_reason::malformed;
}

/// Takes the fields and the body out of the message.
request from_beast(bhttp::request<request_body>& message)
{
    request out;
    out.method = std::string(message.method_string());
    out.target = std::string(message.target());
    for (const auto& field : message) {
        out.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    message.base().clear();
    out.body = std::move(message.body().text);
    return out;
}

} // namespace

namespace detail {

/// Registers a connection for close_connections() for the lifetime of the object.
template <class State>
class connection_entry
{
public:
    connection_entry(State& owner, connection& link) : owner(owner)
    {
        const std::scoped_lock lock(this->owner.connections_mutex);
        this->number = this->owner.next_connection++;
        this->owner.connections.emplace(this->number, &link);
    }
    ~connection_entry()
    {
        const std::scoped_lock lock(this->owner.connections_mutex);
        this->owner.connections.erase(this->number);
    }
    connection_entry(const connection_entry&) = delete;
    connection_entry& operator=(const connection_entry&) = delete;

private:
    State& owner;
    std::uint64_t number{0};
};

/// Memory of a request that has been read in part or completely.
inline std::size_t request_bytes(const connection& link, const request_parser& parser)
{
    const auto& message = parser.get();
    const auto fields = static_cast<std::size_t>(std::distance(message.begin(), message.end()));
    return fields * client_limits::field_bytes + message.body().text.capacity() + link.buffer.capacity();
}

/// Parses the received bytes. The library throws for a field that exceeds what it can store, also for a
/// trailer field, to which its limit on heads does not apply.
inline boost::system::error_code parse(connection& link, request_parser& parser)
{
    boost::system::error_code code;
    try {
        link.buffer.consume(parser.put(link.buffer.data(), code));
    } catch (const std::length_error&) {
        code = bhttp::error::header_limit;
    }
    return code;
}

/// Reads until `done` returns true for the parser.
template <class Condition>
boost::system::error_code read_until(connection& link, request_parser& parser, std::size_t head_bytes,
                                     time_point deadline, Condition done, yield_context yield)
{
    bool more = link.buffer.size() == 0;
    while (!done(parser)) {
        if (more) {
            if (const auto code = link.read_some(deadline, yield)) {
                return code;
            }
        }
        const auto code = parse(link, parser);
        if (code && code != bhttp::error::need_more) {
            return code;
        }
        // After the head only the line of a chunk or the trailers can be incomplete. They have the limit of
        // heads.
        if (code && parser.is_header_done() && link.buffer.size() > head_bytes) {
            return bhttp::error::header_limit;
        }
        if (link.share && !link.share->hold(request_bytes(link, parser), steady_clock::now())) {
            return asio::error::operation_aborted;
        }
        more = code == bhttp::error::need_more || link.buffer.size() == 0;
    }
    return {};
}

/// Bytes of the names and values of all fields that were parsed, trailers included.
inline std::size_t field_bytes(const request_parser& parser)
{
    const auto& message = parser.get();
    return std::accumulate(message.begin(), message.end(), std::size_t{0},
                           [](std::size_t sum, const auto& field) {
                               return sum + field.name_string().size() + field.value().size();
                           });
}

/// Reads one request, of which the buffer may hold a part. Returns the error code of the read that failed.
inline boost::system::error_code read_request(connection& link, request_parser& parser,
                                              const server_options& options, yield_context yield)
{
    parser.header_limit(static_cast<std::uint32_t>(options.header_bytes));
    parser.body_limit(options.body_bytes);
    if (const auto code = read_until(
            link, parser, options.header_bytes, steady_clock::now() + options.head_timeout,
            [](const request_parser& head) { return head.is_header_done(); }, yield)) {
        return code;
    }
    if (const auto coding = parser.get()[bhttp::field::transfer_encoding];
        !coding.empty() && !beast::iequals(coding, "chunked")) {
        // The length of such a body is unknown: bytes of the body could be taken for another request.
        return bhttp::error::bad_transfer_encoding;
    }
    if (const auto expectation = parser.get()[bhttp::field::expect];
        beast::iequals(expectation, "100-continue")) {
        bhttp::response<bhttp::empty_body> continue_response{bhttp::status::continue_, 11};
        boost::system::error_code code;
        link.stream.expires_after(options.write_timeout);
        bhttp::async_write(link.stream, continue_response, yield[code]);
        if (code) {
            return code;
        }
    }
    parser.eager(true);
    const auto head_field_bytes = field_bytes(parser);
    const auto code = read_until(
        link, parser, options.header_bytes, steady_clock::now() + options.body_timeout,
        [](const request_parser& whole) { return whole.is_done(); }, yield);
    if (code) {
        return code;
    }
    if (field_bytes(parser) - head_field_bytes > options.header_bytes) {
        return bhttp::error::header_limit;
    }
    if (parser.get().method() == bhttp::verb::trace && !parser.get().body().text.empty()) {
        // TRACE has no body (RFC 9110, 9.3.8), and the library throws when one is written to a target.
        return bhttp::error::bad_method;
    }
    return {};
}

/// Waits for the first bytes of a request. Returns false when the connection is to be closed.
template <class State>
bool wait_for_request(State& shared, connection& link, yield_context yield)
{
    link.phase = connection_phase::idle;
    const auto idle_since = steady_clock::now();
    const auto idle_end = [&] { return idle_since + shared.current_options().idle_timeout; };
    boost::system::error_code code;
    // A request that arrived before the server stopped is still served.
    while (link.buffer.size() == 0 && !link.turned_away() &&
           (!shared.stopped || link.stream.socket().available(code) > 0)) {
        code = link.read_some(idle_end(), yield);
        // The idle time may have been extended meanwhile.
        const bool extended = code == beast::error::timeout && steady_clock::now() < idle_end();
        if (code && code != asio::error::operation_aborted && !extended) {
            break;
        }
    }
    link.phase = connection_phase::reading;
    return link.buffer.size() != 0 && !link.turned_away();
}

/// Answers a request that was not read completely, and reports it. Returns true when the answer was written.
template <class State>
bool refuse_unread(State& shared, connection& link, const request_parser& parser,
                   const boost::system::error_code& code, yield_context yield)
{
    ++shared.malformed;
    link.phase = connection_phase::handling;
    const bool head_read = parser.is_header_done();
    const auto reason = link.turned_away() ? unserved_reason::crowded
                        : link.refuse      ? unserved_reason::stopping
                                           : reason_of(code, head_read);
    const auto status = status_of(reason, code);
    stream_writer writer(link, shared.current_options().write_timeout, false,
                         head_read && is_head_request(parser.get()), yield);
    writer.send(error_response(status));
    if (reason == unserved_reason::crowded) {
        return writer.complete(); // counted and logged by the owner of the limits
    }
    shared.request_handler.on_unserved({reason, writer.complete() ? status : 0,
                                        head_read ? std::string(parser.get().target()) : std::string(),
                                        link.buffer.size()});
    return writer.complete();
}

/// Hands a request to the handler. Returns true when it was answered completely.
template <class State>
bool handle_request(State& shared, connection& link, bhttp::request<request_body>& message, bool keep_alive,
                    yield_context yield)
{
    link.phase = connection_phase::handling;
    const counter_guard in_flight_guard(shared.in_flight);
    stream_writer writer(link, shared.current_options().write_timeout, keep_alive, is_head_request(message),
                         yield);
    link.stream.expires_never();
    shared.request_handler.handle(from_beast(message), writer, yield);
    if (!writer.complete()) {
        shared.request_handler.on_unserved(
            {unserved_reason::no_answer, 0, std::string(message.target()), link.buffer.size()});
    }
    return writer.complete();
}

/// Closes the sending side and discards what the peer still sends, for a short time. Closing at once would
/// answer unread bytes with a reset, which can reach the peer before it has read the answer (RFC 9112, 9.6).
template <class State>
void close_in_stages(State& shared, connection& link, yield_context yield)
{
    boost::system::error_code code;
    link.phase = connection_phase::closing;
    link.stream.socket().shutdown(tcp::socket::shutdown_send, code);
    if (code || shared.closing >= shared.current_options().connections / closing_connections_divisor) {
        return;
    }
    const counter_guard closing_guard(shared.closing);
    const auto deadline = steady_clock::now() + limits::http_closing_time;
    for (std::size_t discarded = 0; !code && discarded < limits::http_closing_bytes;) {
        link.buffer.clear();
        code = link.read_some(deadline, yield);
        discarded += link.buffer.size();
    }
}

template <class State>
void serve_connection(const std::shared_ptr<State>& shared, tcp::socket socket, yield_context yield)
{
    const counter_guard open_guard(shared->open);
    connection link(std::move(socket), shared->policy);
    const connection_entry<State> entry(*shared, link);
    bool answered = true;
    bool keep_alive = true;
    while (answered && keep_alive) {
        if (!wait_for_request(*shared, link, yield)) {
            answered = false;
            break;
        }
        request_parser parser;
        parser.get().body().discarded = shared->policy.discards_bodies;
        {
            const counter_guard reading_guard(shared->reading);
            const auto options = shared->current_options();
            auto code = read_request(link, parser, options, yield);
            // While the request is handled, its body is copied for the target.
            if (!code && link.share &&
                !link.share->admit(request_bytes(link, parser) + parser.get().body().text.capacity(),
                                   steady_clock::now())) {
                code = asio::error::operation_aborted;
            }
            if (code) {
                answered = refuse_unread(*shared, link, parser, code, yield);
                break;
            }
        }
        keep_alive = parser.get().keep_alive() && !shared->draining;
        answered = handle_request(*shared, link, parser.get(), keep_alive, yield);
        if (link.share) {
            link.share->end_request(steady_clock::now());
        }
    }
    if (link.share) {
        link.share->end_request(steady_clock::now());
    }
    if (answered) {
        close_in_stages(*shared, link, yield);
    }
    boost::system::error_code ignored;
    link.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

/// Runs the action for each open connection, on the connection's strand.
template <class State, class Action>
void post_to_connections(const std::shared_ptr<State>& shared, Action action)
{
    const std::scoped_lock lock(shared->connections_mutex);
    for (const auto& [number, link] : shared->connections) {
        // Entries are removed on the connection's strand only, so the lookup is repeated there.
        asio::post(link->stream.get_executor(), [shared, action, number = number] {
            const std::scoped_lock inner_lock(shared->connections_mutex);
            if (const auto found = shared->connections.find(number); found != shared->connections.end()) {
                action(*found->second);
            }
        });
    }
}

/// Answers 503 without a coroutine, and keeps the socket for a short time, so that a reset for a request that
/// is not read does not overtake the answer.
template <class State>
void refuse_connection(const std::shared_ptr<State>& shared, tcp::socket socket)
{
    ++shared->refused;
    boost::system::error_code code;
    send_refusal(socket);
    socket.shutdown(tcp::socket::shutdown_send, code);
    const auto* const clients = shared->policy.limits;
    if (clients != nullptr ? !clients->keeps_refused(shared->refusing)
                           : shared->refusing >= limits::http_refused_connections) {
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(socket.get_executor(), limits::http_closing_time);
    const auto peer = std::make_shared<tcp::socket>(std::move(socket));
    timer->async_wait([shared, timer, peer, guard = std::make_shared<counter_guard>(shared->refusing)](
                          const boost::system::error_code&) {
        std::array<char, 16384> unread{};
        ::recv(peer->native_handle(), unread.data(), unread.size(), MSG_DONTWAIT);
    });
}

template <class State>
void accept_connections(const std::shared_ptr<State>& shared, yield_context yield)
{
    while (!shared->stopped) {
        boost::system::error_code code;
        tcp::socket socket(asio::make_strand(shared->context));
        shared->acceptor.async_accept(socket, yield[code]);
        if (code == asio::error::operation_aborted || code == asio::error::bad_descriptor) {
            return;
        }
        if (code) {
            ++shared->accept_failures;
            log(log_level::warning, "connection not accepted", {{"error", code.message()}});
            // The connection stays in the backlog, so the next accept would fail at once.
            pause(limits::http_accept_pause, yield);
            continue;
        }
        auto* const clients = shared->policy.limits;
        const bool full = shared->open >= shared->current_options().connections;
        if (full || (clients != nullptr && !clients->accept(shared->policy.address, steady_clock::now()))) {
            refuse_connection(shared, std::move(socket));
            continue;
        }
        ++shared->accepted;
        socket.set_option(tcp::no_delay(true), code);
        const auto executor = socket.get_executor();
        asio::spawn(
            executor,
            [shared, peer = std::make_shared<tcp::socket>(std::move(socket))](yield_context inner) {
                serve_connection(shared, std::move(*peer), inner);
            },
            boost::coroutines::attributes(128 * 1024));
    }
}

} // namespace detail

std::string_view to_string(unserved_reason reason)
{
    switch (reason) {
    case unserved_reason::head_timeout:
        return "head timeout";
    case unserved_reason::body_timeout:
        return "body timeout";
    case unserved_reason::malformed:
        return "malformed";
    case unserved_reason::too_large:
        return "too large";
    case unserved_reason::peer_closed:
        return "peer closed";
    case unserved_reason::stopping:
        return "stopping";
    case unserved_reason::crowded:
        return "crowded";
    case unserved_reason::no_answer:
        return "no answer";
    }
    return "unknown";
}

void handler::on_unserved(const unserved_request& request)
{
    const bool expected = request.reason == unserved_reason::peer_closed;
    log(expected ? log_level::info : log_level::warning, "request ended without a complete answer",
        {{"reason", std::string(to_string(request.reason))},
         {"status", static_cast<std::int64_t>(request.status)},
         {"path", std::string(path_of(request.target))},
         {"unparsed_bytes", static_cast<std::int64_t>(request.bytes)}});
}

server::server(std::shared_ptr<state> initial) : inner(std::move(initial)) {}

server::~server()
{
    this->stop();
}

result<std::unique_ptr<server>> server::create(asio::io_context& context, const endpoint& listen,
                                               handler& request_handler, const server_options& options,
                                               const client_policy& policy)
{
    auto created = std::make_shared<state>(context, request_handler, options, policy);
    boost::system::error_code code;
    const auto address = asio::ip::make_address(listen.address, code);
    const tcp::endpoint local(address, listen.port);
    if (!code) {
        created->acceptor.open(local.protocol(), code);
    }
    if (!code) {
        created->acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    }
    if (!code) {
        created->acceptor.bind(local, code);
    }
    if (!code) {
        created->acceptor.listen(asio::socket_base::max_listen_connections, code);
    }
    if (code) {
        return failure{failure_kind::unavailable, "listen on " + to_string(listen) + ": " + code.message()};
    }
    asio::spawn(created->acceptor.get_executor(),
                [created](yield_context yield) { detail::accept_connections(created, yield); });
    return std::unique_ptr<server>(new server(std::move(created)));
}

endpoint server::local() const
{
    boost::system::error_code code;
    const auto bound = this->inner->acceptor.local_endpoint(code);
    return endpoint{bound.address().to_string(), bound.port()};
}

server_stats server::stats() const
{
    server_stats out;
    out.accepted = this->inner->accepted;
    out.refused = this->inner->refused;
    out.accept_failures = this->inner->accept_failures;
    out.malformed = this->inner->malformed;
    out.reading = this->inner->reading;
    out.in_flight = this->inner->in_flight;
    out.open = this->inner->open;
    out.closing = this->inner->closing;
    return out;
}

void server::update_options(const server_options& options)
{
    const std::scoped_lock lock(this->inner->options_mutex);
    this->inner->options = options;
}

void server::drain()
{
    this->inner->draining = true;
}

void server::close_connections()
{
    detail::post_to_connections(this->inner, [](detail::connection& link) { link.stream.close(); });
}

void server::refuse_partial_requests()
{
    detail::post_to_connections(this->inner, [](detail::connection& link) {
        if (link.phase == detail::connection_phase::reading) {
            link.refuse = true;
            link.stream.cancel();
        }
    });
}

void server::stop()
{
    this->inner->draining = true;
    if (this->inner->stopped.exchange(true)) {
        return;
    }
    asio::post(this->inner->acceptor.get_executor(), [shared = this->inner] {
        boost::system::error_code ignored;
        shared->acceptor.close(ignored);
    });
    detail::post_to_connections(this->inner, [](detail::connection& link) {
        if (link.phase == detail::connection_phase::idle) {
            link.stream.cancel();
        }
    });
}

} // namespace rml::http
