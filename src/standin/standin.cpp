#include "standin/standin.hpp"

#include "http/executor.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>

namespace rml::standin {

endpoint served_standin::local() const
{
    return this->server->local();
}

void served_standin::stop()
{
    this->server->stop();
}

status served_standin::listen(boost::asio::io_context& context, const endpoint& address)
{
    auto created = http::server::create(context, address, *this->handler);
    if (failed(created)) {
        return error(created);
    }
    this->server = value(std::move(created));
    return success();
}

void sleep_for(milliseconds time, yield_context yield)
{
    if (time <= milliseconds::zero()) {
        return;
    }
    boost::asio::steady_timer timer(http::executor_of(yield), time);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

bool fault_count::strike()
{
    if (this->left == 0) {
        return false;
    }
    this->left -= this->left > 0 ? 1 : 0;
    return true;
}

result<nlohmann::json> read_object(const std::string& body)
{
    auto document = nlohmann::json::parse(body, nullptr, false);
    if (document.is_discarded() || !document.is_object()) {
        return failure{failure_kind::malformed, "body is not a JSON object"};
    }
    return document;
}

fault_reader::fault_reader(const nlohmann::json& faults) : object(faults) {}

const nlohmann::json* fault_reader::find(const char* key)
{
    const auto found = this->object.find(key);
    if (found == this->object.end()) {
        return nullptr;
    }
    ++this->taken;
    return &*found;
}

void fault_reader::take(const char* key, bool& out)
{
    if (const auto* entry = this->find(key)) {
        if (entry->is_boolean()) {
            out = entry->get<bool>();
        } else {
            this->wrong = key;
        }
    }
}

void fault_reader::take(const char* key, std::int64_t& out)
{
    if (const auto* entry = this->find(key)) {
        if (entry->is_number_integer()) {
            out = entry->get<std::int64_t>();
        } else {
            this->wrong = key;
        }
    }
}

void fault_reader::take(const char* key, milliseconds& out)
{
    std::int64_t count = out.count();
    this->take(key, count);
    out = milliseconds(count);
}

void fault_reader::take(const char* key, std::string& out)
{
    if (const auto* entry = this->find(key)) {
        if (entry->is_string()) {
            out = entry->get<std::string>();
        } else {
            this->wrong = key;
        }
    }
}

void fault_reader::take(const char* key, fault_count& out)
{
    if (const auto* entry = this->find(key)) {
        if (entry->is_boolean()) {
            out.update(entry->get<bool>() ? -1 : 0);
        } else if (entry->is_number_integer()) {
            out.update(entry->get<std::int64_t>());
        } else {
            this->wrong = key;
        }
    }
}

status fault_reader::finish() const
{
    if (!this->wrong.empty()) {
        return failure{failure_kind::malformed, "wrong type of fault " + this->wrong};
    }
    if (this->taken != this->object.size()) {
        return failure{failure_kind::malformed, "unknown fault in " + this->object.dump()};
    }
    return success();
}

http::response control_answer(const status& outcome)
{
    if (failed(outcome)) {
        return http::json_response(400, nlohmann::json{{"error", error(outcome).context}}.dump());
    }
    return http::json_response(200, "{}");
}

std::int64_t number_or(std::optional<std::string> text, std::int64_t fallback)
{
    std::int64_t number = 0;
    if (!text || text->empty()) {
        return fallback;
    }
    const auto* const last = text->data() + text->size();
    const auto [end, code] = std::from_chars(text->data(), last, number);
    return code == std::errc() && end == last ? number : fallback;
}

int run_program(boost::asio::io_context& context, command_line& line, int argc, const char** argv,
                const program_start& start)
{
    std::string listen = "127.0.0.1:0";
    line.add("listen", listen, "Address to listen on; port 0 picks a free one");
    const auto parsed = line.parse(argc, argv);
    if (failed(parsed)) {
        std::cerr << error(parsed).context << "\n";
        return static_cast<int>(exit_code::usage_error);
    }
    if (!value(parsed)) {
        return static_cast<int>(exit_code::success);
    }
    const auto address = parse_endpoint(listen);
    if (failed(address)) {
        std::cerr << error(address).context << "\n";
        return static_cast<int>(exit_code::usage_error);
    }
    const auto started = start(value(address));
    if (failed(started)) {
        std::cerr << error(started).context << "\n";
        const bool usage = error(started).kind == failure_kind::malformed;
        return static_cast<int>(usage ? exit_code::usage_error : exit_code::unavailable);
    }
    for (const auto& bound : value(started)) {
        std::cout << "listening " << to_string(bound) << "\n";
    }
    std::cout << std::flush;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return static_cast<int>(exit_code::success);
}

} // namespace rml::standin
