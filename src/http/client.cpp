#include "http/client.hpp"

#include "base/limits.hpp"
#include "http/executor.hpp"

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace rml::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr std::size_t body_part_bytes = 16 * 1024;

/// True when the process or the system lacks a resource for another socket, which tells nothing of the peer.
bool is_local_shortage(const boost::system::error_code& code)
{
    return code == asio::error::no_descriptors || code == asio::error::no_buffer_space ||
           code == asio::error::no_memory || code == boost::system::errc::too_many_files_open_in_system;
}

failure failure_of(const boost::system::error_code& code, const char* context)
{
    if (is_local_shortage(code)) {
        return {failure_kind::unavailable, std::string(context) + ": " + code.message()};
    }
    if (code == asio::error::timed_out) {
        return {failure_kind::timeout, context};
    }
    if (code == asio::error::connection_refused || code == asio::error::host_unreachable ||
        code == asio::error::network_unreachable) {
        return {failure_kind::connection_refused, context};
    }
    if (code == bhttp::error::body_limit || code == bhttp::error::header_limit ||
        code == bhttp::error::buffer_overflow) {
        return {failure_kind::too_large, context};
    }
    if (code.category() == bhttp::make_error_code(bhttp::error::bad_line_ending).category() &&
        code != bhttp::error::end_of_stream && code != bhttp::error::partial_message) {
        return {failure_kind::malformed, context};
    }
    return {failure_kind::connection_broken, std::string(context) + ": " + code.message()};
}

bhttp::request<bhttp::string_body> to_beast(const request& message, const std::string& host)
{
    bhttp::request<bhttp::string_body> out;
    out.method_string(message.method);
    out.target(message.target);
    out.version(11);
    out.set(bhttp::field::host, host);
    for (const auto& entry : message.headers) {
        if (beast::iequals(entry.name, "host")) {
            out.set(bhttp::field::host, entry.value);
        } else {
            out.insert(entry.name, entry.value); // a header may occur more than once
        }
    }
    out.body() = message.body;
    out.prepare_payload();
    return out;
}

/// True for a response that precedes the final one.
bool is_interim(unsigned status)
{
    return bhttp::to_status_class(status) == bhttp::status_class::informational &&
           bhttp::int_to_status(status) != bhttp::status::switching_protocols;
}

/// True for a status that can end a request. The parser accepts any three digits.
bool is_final(unsigned status)
{
    constexpr unsigned lowest = 200;
    constexpr unsigned above_highest = 600;
    return status >= lowest && status < above_highest;
}

/// Closes the socket when the deadline passes during one operation. The timer runs on the executor of the
/// calling coroutine and not on that of the socket, because different coroutines use the connection one after
/// another.
class deadline_guard
{
public:
    deadline_guard(asio::ip::tcp::socket& socket, time_point deadline, yield_context yield)
        : timer(http::executor_of(yield), deadline), flags(std::make_shared<shared_flags>())
    {
        this->timer.async_wait([&socket, shared = this->flags](const boost::system::error_code& code) {
            if (code || shared->ended) {
                return;
            }
            shared->expired = true;
            boost::system::error_code ignored;
            socket.close(ignored);
        });
    }
    ~deadline_guard() { this->flags->ended = true; }
    deadline_guard(const deadline_guard&) = delete;
    deadline_guard& operator=(const deadline_guard&) = delete;

    /// `timed_out` if the operation failed because the deadline passed, otherwise the operation's own code.
    boost::system::error_code code_or_timeout(const boost::system::error_code& code) const
    {
        return code && this->flags->expired ? asio::error::make_error_code(asio::error::timed_out) : code;
    }

private:
    /// Accessed on the coroutine's executor only.
    struct shared_flags
    {
        bool ended{false};
        bool expired{false};
    };
    asio::steady_timer timer;
    std::shared_ptr<shared_flags> flags;
};

/// True when the peer has neither closed the connection nor sent bytes. Bytes that arrive without a request
/// could be taken for the answer to the next one.
bool open_and_idle(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Counts one socket until it is destroyed or released.
class counted_socket
{
public:
    explicit counted_socket(socket_count owner) : count(std::move(owner))
    {
        if (this->count) {
            ++*this->count;
        }
    }
    ~counted_socket() { this->release(); }
    counted_socket(const counted_socket&) = delete;
    counted_socket& operator=(const counted_socket&) = delete;

    void release()
    {
        if (const auto owner = std::exchange(this->count, nullptr)) {
            --*owner;
        }
    }

private:
    socket_count count;
};

} // namespace

struct client_connection::state
{
    state(const asio::any_io_executor& executor, socket_count open_sockets)
        : counted(std::move(open_sockets)), socket(executor)
    {
    }

    counted_socket counted;
    asio::ip::tcp::socket socket;
    /// The parser needs a head, a chunk header or the trailers as a whole, and limits only the size of a
    /// head.
    beast::flat_buffer buffer{limits::http_header_bytes};
    std::optional<bhttp::response_parser<bhttp::buffer_body>> parser;
    std::string host;
    std::size_t body_limit{limits::http_body_bytes};
    bool without_body{false}; ///< the answer has no body, whatever its headers state
    bool broken{false};

    /// Fails after the deadline. When the peer sends faster than this process reads, each read completes
    /// before the timer of its deadline_guard is handled, so the guard alone does not end the reads.
    status check_deadline(time_point deadline, const char* context)
    {
        if (steady_clock::now() < deadline) {
            return success();
        }
        this->broken = true;
        return failure{failure_kind::timeout, context};
    }
};

client_connection::client_connection(std::unique_ptr<state> initial) : inner(std::move(initial)) {}

client_connection::~client_connection()
{
    this->close();
}

result<std::unique_ptr<client_connection>> client_connection::create(asio::io_context& context,
                                                                     const endpoint& remote,
                                                                     time_point deadline, yield_context yield,
                                                                     socket_count open_sockets)
{
    boost::system::error_code code;
    const auto address = asio::ip::make_address(remote.address, code);
    if (code) {
        return failure{failure_kind::connection_refused, "not an IP number: " + remote.address};
    }
    auto created = std::make_unique<state>(context.get_executor(), std::move(open_sockets));
    created->host = to_string(remote);
    {
        const deadline_guard guard(created->socket, deadline, yield);
        created->socket.async_connect(asio::ip::tcp::endpoint(address, remote.port), yield[code]);
        code = guard.code_or_timeout(code);
    }
    if (code) {
        return failure_of(code, "connect");
    }
    created->socket.set_option(asio::ip::tcp::no_delay(true), code);
    return std::unique_ptr<client_connection>(new client_connection(std::move(created)));
}

status client_connection::write_request(const request& message, time_point deadline, yield_context yield)
{
    auto out = to_beast(message, this->inner->host);
    this->inner->without_body = out.method() == bhttp::verb::head;
    boost::system::error_code code;
    {
        const deadline_guard guard(this->inner->socket, deadline, yield);
        bhttp::async_write(this->inner->socket, out, yield[code]);
        code = guard.code_or_timeout(code);
    }
    if (code) {
        this->inner->broken = true;
        return failure_of(code, "write request");
    }
    return success();
}

result<response> client_connection::read_head(time_point deadline, yield_context yield)
{
    auto allowed_bytes = limits::http_header_bytes; // for the interim responses and the final head together
    do {
        if (const auto in_time = this->inner->check_deadline(deadline, "read response head");
            failed(in_time)) {
            return error(in_time);
        }
        auto& parser = this->inner->parser.emplace();
        parser.header_limit(static_cast<std::uint32_t>(allowed_bytes));
        parser.body_limit(this->inner->body_limit);
        parser.skip(this->inner->without_body);
        boost::system::error_code code;
        {
            const deadline_guard guard(this->inner->socket, deadline, yield);
            const auto read =
                bhttp::async_read_header(this->inner->socket, this->inner->buffer, parser, yield[code]);
            allowed_bytes -= std::min(allowed_bytes, read);
            code = guard.code_or_timeout(code);
        }
        if (code) {
            this->inner->broken = true;
            return failure_of(code, "read response head");
        }
    } while (is_interim(this->inner->parser->get().result_int()));
    const auto& received = this->inner->parser->get();
    if (received.result() == bhttp::status::switching_protocols) {
        this->inner->broken = true;
        return failure{failure_kind::malformed, "read response head: protocol switch without a request"};
    }
    if (!is_final(received.result_int())) {
        this->inner->broken = true;
        return failure{failure_kind::malformed,
                       "read response head: invalid status " + std::to_string(received.result_int())};
    }
    const auto coding = received.find(bhttp::field::transfer_encoding);
    if (coding != received.end() && !beast::iequals(coding->value(), "chunked")) {
        this->inner->broken = true;
        return failure{failure_kind::malformed,
                       "read response head: transfer coding " + std::string(coding->value())};
    }
    response head;
    head.status = static_cast<int>(received.result_int());
    for (const auto& field : received) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return head;
}

result<std::optional<std::string>> client_connection::read_body_part(time_point deadline, yield_context yield)
{
    auto& parser = *this->inner->parser;
    if (parser.is_done()) {
        return std::optional<std::string>{};
    }
    if (const auto in_time = this->inner->check_deadline(deadline, "read response body"); failed(in_time)) {
        return error(in_time);
    }
    std::string part(body_part_bytes, '\0');
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    boost::system::error_code code;
    {
        const deadline_guard guard(this->inner->socket, deadline, yield);
        bhttp::async_read_some(this->inner->socket, this->inner->buffer, parser, yield[code]);
        code = guard.code_or_timeout(code);
    }
    if (code && code != bhttp::error::need_buffer) {
        this->inner->broken = true;
        return failure_of(code, "read response body");
    }
    part.resize(part.size() - parser.get().body().size);
    if (part.empty() && parser.is_done()) {
        return std::optional<std::string>{};
    }
    return std::optional<std::string>(std::move(part));
}

bool client_connection::ends_with_connection() const
{
    return this->inner->parser && this->inner->parser->need_eof();
}

result<response> client_connection::exchange(const request& message, time_point deadline, yield_context yield)
{
    if (auto written = this->write_request(message, deadline, yield); failed(written)) {
        return error(written);
    }
    auto head = this->read_head(deadline, yield);
    if (failed(head)) {
        return head;
    }
    auto& whole = value(head);
    while (true) {
        auto part = this->read_body_part(deadline, yield);
        if (failed(part)) {
            return error(part);
        }
        if (!value(part)) {
            return head;
        }
        whole.body += *value(part);
    }
}

bool client_connection::reusable() const
{
    return !this->inner->broken && this->inner->parser && this->inner->parser->is_done() &&
           this->inner->parser->keep_alive() && this->inner->socket.is_open() &&
           this->inner->buffer.size() == 0 && open_and_idle(this->inner->socket);
}

std::vector<bool> client_connection::ended_by_peer(const std::vector<const client_connection*>& idle)
{
    std::vector<pollfd> sockets;
    sockets.reserve(idle.size());
    for (const auto* connection : idle) {
        sockets.push_back({connection->inner->socket.native_handle(), POLLIN, 0});
    }
    std::vector<bool> out(idle.size());
    if (::poll(sockets.data(), sockets.size(), 0) > 0) {
        std::transform(sockets.begin(), sockets.end(), out.begin(),
                       [](const pollfd& socket) { return socket.revents != 0; });
    }
    return out;
}

void client_connection::close()
{
    boost::system::error_code ignored;
    this->inner->socket.close(ignored);
    this->inner->counted.release();
    this->inner->broken = true;
}

void client_connection::update_body_limit(std::size_t bytes)
{
    this->inner->body_limit = bytes;
}

result<response> call(const endpoint& remote, const request& message, milliseconds timeout)
{
    asio::io_context context;
    result<response> answer = failure{failure_kind::unavailable, "call not started"};
    const auto deadline = steady_clock::now() + timeout;
    asio::spawn(context, [&](yield_context yield) {
        auto connection = client_connection::create(context, remote, deadline, yield);
        if (failed(connection)) {
            answer = error(connection);
            return;
        }
        answer = value(connection)->exchange(message, deadline, yield);
    });
    context.run();
    return answer;
}

} // namespace rml::http
