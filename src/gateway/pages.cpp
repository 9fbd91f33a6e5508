#include "gateway/pages.hpp"

#include "base/log.hpp"

namespace rml::gateway {

namespace {

void send(http::response_writer& writer, const http::response& answer)
{
    if (const auto sent = writer.send(answer); failed(sent)) {
        log(log_level::debug, "status page not sent", {context_field(error(sent))});
    }
}

} // namespace

void readiness_page::handle(const http::request&, http::response_writer& writer, http::yield_context)
{
    send(writer, http::json_response(this->ready() ? 200 : 503, "{}"));
}

void entries_page::handle(const http::request& message, http::response_writer& writer, http::yield_context)
{
    if (http::path_of(message.target) != "/resolve") {
        return send(writer, http::json_response(404, "{}"));
    }
    const auto known = this->addresses(this->codec.caller_domain(message.target));
    if (known.empty()) {
        return send(writer, http::json_response(503, "{}"));
    }
    send(writer, http::json_response(200, this->codec.encode_entry_addresses(known, this->lifetime)));
}

void metrics_page::handle(const http::request&, http::response_writer& writer, http::yield_context)
{
    send(writer,
         http::response{200, {{"content-type", "text/plain; version=0.0.4"}}, this->metrics.render()});
}

} // namespace rml::gateway
