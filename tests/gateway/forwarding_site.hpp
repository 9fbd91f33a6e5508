/// A forwarder between a caller, whose answer is recorded, and targets with answers from the test.
#pragma once

#include "gateway/forwarder.hpp"
#include "target/raw_server.hpp"

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/coroutine/attributes.hpp>
#include <map>

namespace rml::test {

constexpr std::size_t stack_bytes = 256 * 1024;
constexpr milliseconds caller_timeout{4000};

/// Records the answer that the caller would get.
class recorded_answer final : public http::response_writer
{
public:
    status send(const http::response& whole) override
    {
        this->answer = whole;
        this->finished = true;
        return success();
    }
    status start(const http::response& head) override
    {
        this->answer = head;
        return success();
    }
    status write(std::string_view chunk) override
    {
        this->answer.body += chunk;
        return success();
    }
    status finish() override
    {
        this->finished = true;
        return success();
    }
    void abort() override { this->aborted = true; }
    bool started() const override { return this->answer.status != 0; }

    http::response answer{0, {}, {}};
    bool finished{false}; ///< the answer looks complete
    bool aborted{false};
};

/// Counts the runs of each request over all targets.
class run_record
{
public:
    void add(const http::request& message)
    {
        const std::scoped_lock lock(this->mutex);
        ++this->runs[id_of(message)];
    }
    int runs_of(const std::string& id)
    {
        const std::scoped_lock lock(this->mutex);
        return this->runs[id];
    }
    static std::string id_of(const http::request& message)
    {
        return http::find_header(message.headers, "x-id").value_or("");
    }

private:
    std::mutex mutex;
    std::map<std::string, int> runs;
};

inline std::string id_line(const std::string& id)
{
    return id.empty() ? "" : "x-id: " + id + "\r\n";
}

inline std::string refusal(const std::string& id, const std::string& status_line = "503 Unavailable")
{
    return whole_answer(status_line, id_line(id) + "x-not-executed: 1\r\n", "busy");
}

inline std::string real_answer(const std::string& id)
{
    return whole_answer("200 OK", id_line(id) + "x-signature: s\r\n", "answer to " + id);
}

/// A forwarder with the service "shop" and a route to it for each kind of request.
class forwarding_site
{
public:
    forwarding_site()
    {
        this->ports.headers = {"x-id",       "x-deadline", "x-account", "x-expect",    "x-urgency",
                               "last-event", "x-model",    "x-counts",  "x-signature", "x-not-executed"};
        this->settings.daemon = daemon_id("d0");
        this->settings.bounds.retry_slack = 100;
        std::vector<gateway::route> routes;
        const auto add = [&](const std::string& prefix, gateway::route_kind kind, bool resumable) {
            gateway::route out;
            out.name = prefix;
            out.host = "site.example";
            out.prefix = prefix;
            out.kind = kind;
            out.resumable = resumable;
            out.timeout = caller_timeout;
            out.objective = seconds(1);
            out.max_attempts = 3;
            out.services.push_back({service_id("shop"), 1});
            routes.push_back(out);
        };
        add("/orders/", gateway::route_kind::once, false);
        add("/stock/", gateway::route_kind::repeatable, false);
        add("/streams/", gateway::route_kind::stream, false);
        add("/resumable/", gateway::route_kind::stream, true);
        gateway::service shop;
        shop.name = service_id("shop");
        this->fleet.update_config(std::make_shared<const gateway::site_config>(
            1, routes, std::vector<gateway::service>{shop}, gateway::caller_limits{},
            std::unordered_map<std::string, gateway::client_account>{}));
    }
    ~forwarding_site() { this->connections.clear(); }
    forwarding_site(const forwarding_site&) = delete;
    forwarding_site& operator=(const forwarding_site&) = delete;

    /// Sends a request and runs the forwarder until all is done. Meanwhile, `later` is called once.
    recorded_answer& send(const std::string& path, const std::string& id, std::string body = "two planks",
                          const std::function<void()>& later = {})
    {
        boost::asio::steady_timer timer(this->context);
        if (later) {
            timer.expires_after(milliseconds(50));
            timer.async_wait([&](const boost::system::error_code&) { later(); });
        }
        this->answers.push_back(std::make_unique<recorded_answer>());
        auto& writer = *this->answers.back();
        const http::request message{this->method,
                                    path,
                                    {{"host", "site.example"}, {"x-id", id}, {"x-deadline", "3000"}},
                                    std::move(body)};
        boost::asio::spawn(
            this->context,
            [&](gateway::yield_context yield) { this->requests.handle(message, writer, yield); },
            boost::coroutines::attributes(stack_bytes));
        this->context.run();
        this->context.restart();
        return writer;
    }
    void add_target(const std::string& name, const endpoint& address)
    {
        gateway::target_entry entry;
        entry.instance = instance_id(name);
        entry.service = service_id("shop");
        entry.address = address;
        entry.slots = 4;
        entry.started_ms = 1;
        this->fleet.update_target(entry, steady_clock::now());
    }

    std::string method{"POST"}; ///< of the requests sent
    boost::asio::io_context context;
    gateway::platform_ports ports;
    gateway::fleet_state fleet{daemon_id("d0")};
    gateway::gateway_settings settings;
    target::connection_pool connections{context};
    metric_registry metrics;
    gateway::forwarder requests{context, ports, fleet, connections, settings, metrics};

private:
    std::vector<std::unique_ptr<recorded_answer>> answers;
};

} // namespace rml::test
