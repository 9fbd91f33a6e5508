#include "standin/service.hpp"

#include "base/hash.hpp"
#include "standin/standin.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace rml::standin {

namespace {

struct service_faults
{
    bool down{false};
    milliseconds slow{0};        ///< before the run
    milliseconds slow_answer{0}; ///< between the run and the answer
    fault_count drop_replies;
    fault_count refuse;
};

} // namespace

struct service_server::state final : http::handler, std::enable_shared_from_this<service_server::state>
{
    explicit state(std::string service) : name(std::move(service)) {}

    void handle(const http::request& message, http::response_writer& writer, yield_context yield) override;
    http::response control(const http::request& message, std::string_view path);
    http::response run(const http::request& message, std::string_view path);

    std::string name;
    service_faults faults;
    std::map<std::string, std::uint64_t> runs_of_key;
    std::uint64_t runs{0};
    std::uint64_t refused{0};
    std::uint64_t dropped_replies{0};
};

void service_server::state::handle(const http::request& message, http::response_writer& writer,
                                   yield_context yield)
{
    const auto self = this->shared_from_this();
    const auto path = http::path_of(message.target);
    if (path == "/faults" || path == "/stats") {
        writer.send(this->control(message, path));
        return;
    }
    if (this->faults.down) {
        writer.abort();
        return;
    }
    if (this->faults.refuse.strike()) {
        ++this->refused;
        auto answer = http::json_response(503, R"({"error":"refused"})");
        answer.headers.push_back({"x-not-run", "true"});
        if (const auto id = http::find_header(message.headers, "x-request-id")) {
            answer.headers.push_back({"x-request-id", *id});
        }
        writer.send(answer);
        return;
    }
    sleep_for(this->faults.slow, yield);
    const auto answer = this->run(message, path);
    sleep_for(this->faults.slow_answer, yield);
    if (this->faults.drop_replies.strike()) {
        ++this->dropped_replies;
        writer.abort();
        return;
    }
    writer.send(answer);
}

http::response service_server::state::run(const http::request& message, std::string_view path)
{
    const auto key = http::find_header(message.headers, "idempotency-key").value_or("");
    ++this->runs;
    const auto run = key.empty() ? 1 : ++this->runs_of_key[key];
    auto answer = http::json_response(200, nlohmann::json{{"service", this->name},
                                                          {"path", std::string(path)},
                                                          {"key", key},
                                                          {"run", run},
                                                          {"body_hash", std::to_string(hash64(message.body))}}
                                               .dump());
    if (auto id = http::find_header(message.headers, "x-request-id")) {
        answer.headers.push_back({"x-request-id", *std::move(id)});
    }
    return answer;
}

http::response service_server::state::control(const http::request& message, std::string_view path)
{
    if (path == "/stats") {
        std::uint64_t most = 0;
        for (const auto& entry : this->runs_of_key) {
            most = std::max(most, entry.second);
        }
        return http::json_response(200, nlohmann::json{{"runs", this->runs},
                                                       {"refused", this->refused},
                                                       {"dropped_replies", this->dropped_replies},
                                                       {"most_runs_of_a_key", most},
                                                       {"runs_of_key", this->runs_of_key}}
                                            .dump());
    }
    const auto object = read_object(message.body);
    if (failed(object)) {
        return control_answer(error(object));
    }
    fault_reader reader(value(object));
    reader.take("down", this->faults.down);
    reader.take("slow_ms", this->faults.slow);
    reader.take("slow_answer_ms", this->faults.slow_answer);
    reader.take("drop_replies", this->faults.drop_replies);
    reader.take("refuse", this->faults.refuse);
    return control_answer(reader.finish());
}

service_server::service_server(std::shared_ptr<state> initial) : served_standin(std::move(initial)) {}

result<std::unique_ptr<service_server>>
service_server::create(boost::asio::io_context& context, const endpoint& address, const std::string& name)
{
    auto initial_state = std::make_shared<state>(name);
    auto created = std::unique_ptr<service_server>(new service_server(std::move(initial_state)));
    if (const auto listening = created->listen(context, address); failed(listening)) {
        return error(listening);
    }
    return created;
}

std::string service_server::fault_help()
{
    return R"(
Faults (POST /faults, a JSON object; keys that are left out stay as they are):
  down            bool       drop every connection without running the call
  slow_ms         number     delay before the run
  slow_answer_ms  number     delay between the run and the answer
  drop_replies    bool or n  run the call, then drop the connection (the next n calls)
  refuse          bool or n  answer 503 with x-not-run without running (the next n calls)
GET /stats counts runs, also per Idempotency-Key.
)";
}

} // namespace rml::standin
