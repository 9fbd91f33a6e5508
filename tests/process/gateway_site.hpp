/// A small site of the platform on loopback: its stand-in in this process and gateway daemons.
#pragma once

#include "http/client.hpp"
#include "process/child_process.hpp"
#include "standin/site.hpp"
#include "wire_names.hpp"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>
#include <unistd.h>

namespace rml::test {

using nlohmann::json;

constexpr milliseconds gateway_call_limit{10000};
constexpr milliseconds gateway_wait_limit{20000};

/// Runs a context on a thread that ends with the object, also when a test fails while it sets up its site.
class context_thread
{
public:
    explicit context_thread(boost::asio::io_context& owner)
        : context(owner), thread([&owner] { owner.run(); })
    {
    }
    ~context_thread()
    {
        this->context.stop();
        this->thread.join();
    }
    context_thread(const context_thread&) = delete;
    context_thread& operator=(const context_thread&) = delete;

private:
    boost::asio::io_context& context;
    std::thread thread;
};

/// The platform's stand-in on a thread of its own, and gateway daemons as processes.
class gateway_site
{
public:
    /// `own_settings` is merged into the settings of each daemon.
    explicit gateway_site(std::uint32_t daemon_count = 2, const json& own_settings = json::object())
        : work(this->context.get_executor()),
          directory(std::filesystem::temp_directory_path() / ("rml-gateway-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(this->directory);
        auto created = site_standin::platform_site::create(this->context, {});
        REQUIRE(succeeded(created));
        this->site = value(std::move(created));
        for (std::uint32_t i = 0; i < daemon_count; ++i) {
            this->settings.push_back(json::parse(this->site->daemon_settings(i)));
            this->settings.back()["bounds"]["stop_grace_s"] = 5.5; // ends a planned stop soon
            this->settings.back()["log"] = {{"file", this->file("daemon-" + std::to_string(i) + ".log")}};
            this->settings.back().merge_patch(own_settings);
            std::ofstream(this->file("daemon-" + std::to_string(i) + ".json"))
                << this->settings.back().dump();
        }
        this->site_thread = std::make_unique<context_thread>(this->context);
        for (std::uint32_t i = 0; i < daemon_count; ++i) {
            this->start(i);
        }
        for (std::uint32_t i = 0; i < daemon_count; ++i) {
            const bool is_ready = this->eventually([&] { return this->ready(i); });
            CAPTURE(i, is_ready ? "" : this->content("stderr.log"),
                    is_ready ? "" : this->content("daemon-" + std::to_string(i) + ".log"));
            REQUIRE(is_ready);
        }
        REQUIRE(this->eventually([&] { return this->get(0, "/stock/1").status == 200; }));
        for (std::uint32_t i = 0; i < daemon_count; ++i) {
            REQUIRE(this->eventually([&] { return this->stream(i, 3).status == 200; }));
        }
    }
    ~gateway_site()
    {
        this->daemons.clear();
        this->site_thread.reset();
        if (std::getenv("RML_KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(this->directory);
        }
    }
    gateway_site(const gateway_site&) = delete;
    gateway_site& operator=(const gateway_site&) = delete;

    void start(std::uint32_t number)
    {
        this->daemons.resize(this->settings.size());
        this->daemons[number] = std::make_unique<child_process>(
            "rml-gatewayd",
            std::vector<std::string>{"--settings", this->file("daemon-" + std::to_string(number) + ".json")},
            this->file("stderr.log"), 0);
    }

    /// Runs the action on the stand-in's thread.
    template <class Action>
    auto on_site(Action action)
    {
        std::packaged_task<decltype(action())()> task(action);
        auto outcome = task.get_future();
        boost::asio::post(this->context, [&task] { task(); });
        return outcome.get();
    }

    template <class Condition>
    bool eventually(Condition condition)
    {
        const auto end = steady_clock::now() + gateway_wait_limit;
        while (!condition()) {
            if (steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        return true;
    }

    endpoint address(std::uint32_t daemon, const char* name) const
    {
        return value(parse_endpoint(this->settings[daemon]["listen"][name].get<std::string>()));
    }
    bool ready(std::uint32_t daemon) const
    {
        const auto answer =
            http::call(this->address(daemon, "readiness"), {"GET", "/ready", {}, {}}, gateway_call_limit);
        return succeeded(answer) && value(answer).status == 200;
    }

    http::request request(const char* method, const std::string& target, std::string body = {})
    {
        const auto id = "req-" + std::to_string(++this->requests);
        return {method,
                target,
                {{"Host", "site.example"},
                 {site_wire::header_request_id, id},
                 {site_wire::header_deadline, "4000"},
                 {"Authorization", "Bearer key-1"}},
                std::move(body)};
    }
    http::response send(std::uint32_t daemon, const http::request& message) const
    {
        const auto answer = http::call(this->address(daemon, "caller"), message, gateway_call_limit);
        return succeeded(answer) ? value(answer) : http::response{0, {}, error(answer).context};
    }
    http::response get(std::uint32_t daemon, const std::string& target)
    {
        return this->send(daemon, this->request("GET", target));
    }
    /// Asks for a stream of that many events.
    http::request stream_request(int events)
    {
        auto message = this->request("POST", "/plans/x", "a bird house");
        message.headers.push_back({site_wire::header_model, "planner"});
        message.headers.push_back({site_wire::header_token_counts, "100," + std::to_string(events * 5)});
        return message;
    }
    /// A stream of that many events.
    http::response stream(std::uint32_t daemon, int events)
    {
        return this->send(daemon, this->stream_request(events));
    }
    static std::string events(int count)
    {
        std::string out;
        for (int i = 1; i <= count; ++i) {
            out += "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
        }
        return out;
    }
    /// Executions by plain instances and engines.
    std::uint32_t runs(const http::request& message)
    {
        const auto id = http::find_header(message.headers, site_wire::header_request_id).value_or("");
        return this->on_site([&] {
            const auto in = [&](const std::map<std::string, std::uint32_t>& runs) {
                const auto found = runs.find(id);
                return found == runs.end() ? 0U : found->second;
            };
            return in(this->site->record.runs) + in(this->site->fleet.runs);
        });
    }
    std::string file(const std::string& name) const { return (this->directory / name).string(); }
    std::string content(const std::string& name) const
    {
        std::ifstream in(this->file(name));
        return {std::istreambuf_iterator<char>(in), {}};
    }

    boost::asio::io_context context;
    std::unique_ptr<site_standin::platform_site> site;
    std::vector<json> settings;
    std::vector<std::unique_ptr<child_process>> daemons;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::filesystem::path directory;
    std::unique_ptr<context_thread> site_thread;
    std::atomic<int> requests{0};
};

} // namespace rml::test
