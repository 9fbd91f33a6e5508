#include "http/client.hpp"

#include "base/limits.hpp"
#include "http/executor.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace rml::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr std::size_t body_part_bytes = 16 * 1024;

failure failure_of(const boost::system::error_code& code, const char* context)
{
    if (code == beast::error::timeout || code == asio::error::timed_out) {
        return {failure_kind::timeout, context};
    }
    if (code == asio::error::connection_refused || code == asio::error::host_unreachable ||
        code == asio::error::network_unreachable) {
        return {failure_kind::connection_refused, context};
    }
    if (code == bhttp::error::body_limit || code == bhttp::error::header_limit) {
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
        out.set(entry.name, entry.value);
    }
    out.body() = message.body;
    out.prepare_payload();
    return out;
}

} // namespace

struct client_connection::state
{
    explicit state(const asio::any_io_executor& executor) : stream(executor) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<bhttp::response_parser<bhttp::buffer_body>> parser;
    std::string host;
    std::size_t body_limit{limits::http_body_bytes};
    bool broken{false};
};

client_connection::client_connection(std::unique_ptr<state> initial) : inner(std::move(initial)) {}

client_connection::~client_connection()
{
    this->close();
}

result<std::unique_ptr<client_connection>> client_connection::create(asio::io_context& /*context*/,
                                                                     const endpoint& remote,
                                                                     time_point deadline, yield_context yield)
{
    boost::system::error_code code;
    const auto address = asio::ip::make_address(remote.address, code);
    if (code) {
        return failure{failure_kind::connection_refused, "not an IP number: " + remote.address};
    }
    auto created = std::make_unique<state>(executor_of(yield));
    created->host = to_string(remote);
    created->stream.expires_at(deadline);
    created->stream.async_connect(asio::ip::tcp::endpoint(address, remote.port), yield[code]);
    if (code) {
        return failure_of(code, "connect");
    }
    created->stream.socket().set_option(asio::ip::tcp::no_delay(true), code);
    return std::unique_ptr<client_connection>(new client_connection(std::move(created)));
}

status client_connection::write_request(const request& message, time_point deadline, yield_context yield)
{
    auto out = to_beast(message, this->inner->host);
    boost::system::error_code code;
    this->inner->stream.expires_at(deadline);
    bhttp::async_write(this->inner->stream, out, yield[code]);
    if (code) {
        this->inner->broken = true;
        return failure_of(code, "write request");
    }
    return success();
}

result<response> client_connection::read_head(time_point deadline, yield_context yield)
{
    auto& parser = this->inner->parser.emplace();
    parser.header_limit(static_cast<std::uint32_t>(limits::http_header_bytes));
    parser.body_limit(this->inner->body_limit);
    boost::system::error_code code;
    this->inner->stream.expires_at(deadline);
    bhttp::async_read_header(this->inner->stream, this->inner->buffer, parser, yield[code]);
    if (code) {
        this->inner->broken = true;
        return failure_of(code, "read response head");
    }
    response head;
    head.status = static_cast<int>(parser.get().result_int());
    for (const auto& field : parser.get()) {
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
    std::string part(body_part_bytes, '\0');
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    boost::system::error_code code;
    this->inner->stream.expires_at(deadline);
    bhttp::async_read_some(this->inner->stream, this->inner->buffer, parser, yield[code]);
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
           this->inner->parser->keep_alive() && this->inner->stream.socket().is_open();
}

void client_connection::close()
{
    boost::system::error_code ignored;
    this->inner->stream.socket().close(ignored);
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
