#include "standin/weights.hpp"

#include "http/server.hpp"
#include "standin/standin.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rml::standin {

namespace {

constexpr std::string_view weights_path = "/v1/weights/";

} // namespace

struct weights_server::state final : http::handler, std::enable_shared_from_this<weights_server::state>
{
    explicit state(const weights_options& wanted) : options(wanted) {}

    void handle(const http::request& message, http::response_writer& writer, yield_context yield) override;
    http::response control(const http::request& message, std::string_view path);
    void load(http::response_writer& writer, yield_context yield);

    weights_options options;
    bool down{false};
    std::uint32_t loading{0};
    std::uint32_t most_loading{0};
    std::uint64_t loads{0};
    std::uint64_t refused{0};
    std::uint64_t limit_reads{0};
};

void weights_server::state::handle(const http::request& message, http::response_writer& writer,
                                   yield_context yield)
{
    const auto self = this->shared_from_this();
    const auto path = http::path_of(message.target);
    if (path == "/faults" || path == "/stats") {
        writer.send(this->control(message, path));
    } else if (this->down) {
        writer.abort();
    } else if (path == "/v1/limit") {
        ++this->limit_reads;
        writer.send(http::json_response(
            200, nlohmann::json{{"concurrent_loads", this->options.concurrent_loads}}.dump()));
    } else if (path.substr(0, weights_path.size()) == weights_path) {
        this->load(writer, yield);
    } else {
        writer.send(http::json_response(404, "{}"));
    }
}

void weights_server::state::load(http::response_writer& writer, yield_context yield)
{
    if (this->loading >= this->options.concurrent_loads) {
        ++this->refused;
        auto answer = http::json_response(429, "{}");
        answer.headers.push_back({"retry-after-ms", std::to_string(this->options.retry_after.count())});
        writer.send(answer);
        return;
    }
    ++this->loading;
    this->most_loading = std::max(this->most_loading, this->loading);
    sleep_for(this->options.load, yield);
    --this->loading;
    if (this->down) {
        writer.abort();
        return;
    }
    ++this->loads;
    writer.send(http::json_response(200, "{}"));
}

http::response weights_server::state::control(const http::request& message, std::string_view path)
{
    if (path == "/stats") {
        return http::json_response(200, nlohmann::json{{"loads", this->loads},
                                                       {"refused", this->refused},
                                                       {"loading", this->loading},
                                                       {"most_loading", this->most_loading},
                                                       {"limit_reads", this->limit_reads}}
                                            .dump());
    }
    const auto object = read_object(message.body);
    if (failed(object)) {
        return control_answer(error(object));
    }
    std::int64_t limit = this->options.concurrent_loads;
    fault_reader reader(value(object));
    reader.take("down", this->down);
    reader.take("concurrent_loads", limit);
    reader.take("load_ms", this->options.load);
    this->options.concurrent_loads = static_cast<std::uint32_t>(std::max<std::int64_t>(limit, 0));
    return control_answer(reader.finish());
}

weights_server::weights_server(std::shared_ptr<state> initial) : served_standin(std::move(initial)) {}

result<std::unique_ptr<weights_server>> weights_server::create(boost::asio::io_context& context,
                                                               const endpoint& address,
                                                               const weights_options& options)
{
    auto initial_state = std::make_shared<state>(options);
    auto created = std::unique_ptr<weights_server>(new weights_server(std::move(initial_state)));
    if (const auto listening = created->listen(context, address); failed(listening)) {
        return error(listening);
    }
    return created;
}

std::string weights_server::fault_help()
{
    return R"(
Faults (POST /faults, a JSON object; keys that are left out stay as they are):
  down              bool    drop every connection
  concurrent_loads  number  loads that may run at once; further ones are answered 429
  load_ms           number  time of one load
GET /stats counts loads.
)";
}

} // namespace rml::standin
