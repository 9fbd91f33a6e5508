/// HTTP server with the caller_handler on loopback, on top of a fake_state.
#pragma once

#include "base/metrics.hpp"
#include "caller/caller_handler.hpp"
#include "fake_state.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "target/event_stream.hpp"
#include "target/scripted_engine.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace rml::test {

constexpr milliseconds call_timeout{20000};

class running_daemon
{
public:
    running_daemon() : pool(context), handler(context, state, pool, metrics), work(context.get_executor())
    {
        auto created = http::server::create(this->context, {"127.0.0.1", 0}, this->handler);
        REQUIRE(succeeded(created));
        this->server = value(std::move(created));
        for (int i = 0; i < 2; ++i) {
            this->workers.emplace_back([this] { this->context.run(); });
        }
    }
    ~running_daemon()
    {
        this->server->stop();
        this->context.stop();
        for (auto& worker : this->workers) {
            worker.join();
        }
        this->pool.clear();
    }
    running_daemon(const running_daemon&) = delete;
    running_daemon& operator=(const running_daemon&) = delete;

    void add_group(const scripted_engine& engine, const std::string& group)
    {
        this->state.permits.push_back(
            {this->state.permits.size() + 1, group_id(group), 7, engine.incarnation, engine.address()});
    }

    http::response call(const http::request& message) const
    {
        const auto answer = http::call(this->address(), message, call_timeout);
        REQUIRE(succeeded(answer));
        return value(answer);
    }

    /// Sends a request for four tokens.
    http::response generate(bool stream) const { return this->call(chat(stream)); }

    static http::request chat(bool stream)
    {
        return {"POST",
                "/v1/chat/completions",
                {{"authorization", "Bearer secret"}, {"x-request-id", "call-1"}},
                std::string(R"({"model":"assistant","messages":[{"role":"user","content":"a bench"}],)") +
                    R"("max_tokens":4,"stream":)" + (stream ? "true" : "false") + "}"};
    }

    /// Waits for the record of the only request; it is written after the answer.
    caller::request_record wait_for_record() const
    {
        for (int i = 0; i < 10000 && this->state.record_count() == 0; ++i) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        REQUIRE(this->state.record_count() == 1);
        return this->state.records.front();
    }

    endpoint address() const { return this->server->local(); }

    boost::asio::io_context context;
    fake_state state;
    metric_registry metrics;
    target::connection_pool pool;
    caller::caller_handler handler;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::unique_ptr<http::server> server;
    std::vector<std::thread> workers;
};

inline std::string outcome_of(const http::response& answer)
{
    return http::find_header(answer.headers, "x-rml-outcome").value_or("");
}

/// Generated text of a stream or of a non-streamed answer.
inline std::string content_of(const http::response& answer)
{
    if (answer.body.substr(0, 1) == "{") {
        return nlohmann::json::parse(answer.body)["choices"][0]["message"]["content"];
    }
    std::string out;
    target::event_reader reader;
    reader.append(answer.body);
    for (auto event = reader.next(); succeeded(event) && value(event); event = reader.next()) {
        const auto parsed = nlohmann::json::parse(*value(event), nullptr, false);
        if (parsed.is_object() && parsed.contains("choices")) {
            out += parsed["choices"][0]["delta"].value("content", "");
        }
    }
    return out;
}

inline bool is_done(const http::response& answer)
{
    return answer.body.find("data: [DONE]\n\n") != std::string::npos;
}

} // namespace rml::test
