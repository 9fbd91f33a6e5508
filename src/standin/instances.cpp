#include "standin/instances.hpp"

#include "http/server.hpp"
#include "standin/standin.hpp"

#include <deque>
#include <nlohmann/json.hpp>

namespace rml::standin {

namespace {

struct instances_faults
{
    bool down{false};
    bool garbled{false};
    milliseconds slow{0};
    milliseconds lag{0};
};

struct list_version
{
    time_point since;
    std::string document;
};

status check_list(const std::string& document)
{
    const auto parsed = read_object(document);
    if (failed(parsed)) {
        return error(parsed);
    }
    if (!value(parsed).contains("instances") || !value(parsed).at("instances").is_array()) {
        return failure{failure_kind::malformed, "instance list without 'instances'"};
    }
    return success();
}

} // namespace

struct instances_server::state final : http::handler, std::enable_shared_from_this<instances_server::state>
{
    void handle(const http::request& message, http::response_writer& writer, yield_context yield) override;
    http::response control(const http::request& message, std::string_view path);
    http::response replace(const http::request& message);
    const std::string& visible();

    std::deque<list_version> versions;
    instances_faults faults;
    std::uint64_t reads{0};
};

const std::string& instances_server::state::visible()
{
    const auto limit = steady_clock::now() - this->faults.lag;
    while (this->versions.size() > 1 && this->versions[1].since <= limit) {
        this->versions.pop_front();
    }
    return this->versions.front().document;
}

void instances_server::state::handle(const http::request& message, http::response_writer& writer,
                                     yield_context yield)
{
    const auto self = this->shared_from_this();
    const auto path = http::path_of(message.target);
    if (path == "/faults" || path == "/stats") {
        writer.send(this->control(message, path));
        return;
    }
    if (path == "/v1/instances" && message.method == "PUT") {
        writer.send(this->replace(message));
        return;
    }
    ++this->reads;
    sleep_for(this->faults.slow, yield);
    if (this->faults.down) {
        writer.abort();
        return;
    }
    if (path != "/v1/instances") {
        writer.send(http::json_response(404, "{}"));
        return;
    }
    writer.send(http::json_response(200, this->faults.garbled ? "{\"instances\":" : this->visible()));
}

http::response instances_server::state::replace(const http::request& message)
{
    const auto checked = check_list(message.body);
    if (succeeded(checked)) {
        this->versions.push_back({steady_clock::now(), message.body});
    }
    return control_answer(checked);
}

http::response instances_server::state::control(const http::request& message, std::string_view path)
{
    if (path == "/stats") {
        return http::json_response(200, nlohmann::json{{"reads", this->reads}}.dump());
    }
    const auto object = read_object(message.body);
    if (failed(object)) {
        return control_answer(error(object));
    }
    fault_reader reader(value(object));
    reader.take("down", this->faults.down);
    reader.take("garbled", this->faults.garbled);
    reader.take("slow_ms", this->faults.slow);
    reader.take("lag_ms", this->faults.lag);
    return control_answer(reader.finish());
}

instances_server::instances_server(std::shared_ptr<state> initial) : served_standin(std::move(initial)) {}

result<std::unique_ptr<instances_server>> instances_server::create(boost::asio::io_context& context,
                                                                   const endpoint& address, milliseconds lag,
                                                                   const std::string& initial)
{
    if (const auto checked = check_list(initial); failed(checked)) {
        return error(checked);
    }
    auto initial_state = std::make_shared<state>();
    initial_state->faults.lag = lag;
    initial_state->versions.push_back({time_point::min(), initial});
    auto created = std::unique_ptr<instances_server>(new instances_server(std::move(initial_state)));
    if (const auto listening = created->listen(context, address); failed(listening)) {
        return error(listening);
    }
    return created;
}

std::string instances_server::fault_help()
{
    return R"(
PUT /v1/instances replaces the list.
Faults (POST /faults, a JSON object; keys that are left out stay as they are):
  down     bool    drop every connection
  garbled  bool    answer with a broken document
  slow_ms  number  delay every answer
  lag_ms   number  age at which a replaced list becomes visible
GET /stats counts reads.
)";
}

} // namespace rml::standin
