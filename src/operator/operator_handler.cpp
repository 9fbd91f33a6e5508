#include "operator/operator_handler.hpp"

#include "objects/object_codec.hpp"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace rml {

namespace {

http::response error_answer(int status, failure_kind kind, const std::string& text)
{
    const nlohmann::json body{{"error", {{"kind", to_string(kind)}, {"message", text}}}};
    return http::json_response(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace

bool operator_handler::authorized(const http::request& message) const
{
    const auto given = http::find_header(message.headers, "authorization");
    const auto expected = "Bearer " + this->token;
    return given && given->size() == expected.size() &&
           CRYPTO_memcmp(given->data(), expected.data(), expected.size()) == 0;
}

void operator_handler::handle(const http::request& message, http::response_writer& writer,
                              http::yield_context yield)
{
    if (!this->authorized(message)) {
        writer.send(error_answer(401, failure_kind::unauthorized, "operator token"));
        return;
    }
    const auto path = http::path_of(message.target);
    if (message.method == "GET" && path == "/operator/status") {
        writer.send(http::json_response(200, this->service.status_document(yield)));
        return;
    }
    if (message.method == "GET" && path == "/operator/burn") {
        writer.send(http::json_response(200, this->service.burn_document(yield)));
        return;
    }
    if (message.method == "POST" && path == "/operator/config") {
        auto set = decode_delivery(message.body);
        if (failed(set)) {
            writer.send(error_answer(400, error(set).kind, error(set).context));
            return;
        }
        const auto generation = this->service.deliver(value(std::move(set)), yield);
        writer.send(http::json_response(200, nlohmann::json{{"generation", generation}}.dump()));
        return;
    }
    writer.send(error_answer(404, failure_kind::not_found, "no such call"));
}

} // namespace rml
