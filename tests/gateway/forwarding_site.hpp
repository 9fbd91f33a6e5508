/// A forwarder between a caller, whose answer is recorded, and targets with answers from the test.
#pragma once

#include "gateway/forwarder.hpp"
#include "gateway/recorded_answer.hpp"
#include "http/pause.hpp"
#include "target/raw_server.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/coroutine/attributes.hpp>
#include <map>

namespace rml::test {

constexpr std::size_t stack_bytes = 256 * 1024;
constexpr milliseconds caller_timeout{4000};

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

/// A target that gives the same answer to every request, with the id of the request, and counts them.
class answering_target
{
public:
    answering_target(std::string status_line, std::string headers, std::string body = "body")
        : server([this, status_line = std::move(status_line), headers = std::move(headers),
                  body = std::move(body)](const http::request& message, raw_connection& connection) {
              ++this->received;
              connection.send(whole_answer(status_line, id_line(run_record::id_of(message)) + headers, body));
              return true;
          })
    {
    }

    int requests() const { return this->received; }
    endpoint address() const { return this->server.address(); }

private:
    std::atomic<int> received{0};
    raw_server server;
};

inline answering_target sound_target(const std::string& headers = "")
{
    return {"200 OK", "x-signature: s\r\n" + headers};
}

/// The entry of a target of the plain service in forwarding_site.
inline gateway::target_entry entry_of(const std::string& name, const endpoint& address,
                                      std::int64_t started_ms)
{
    gateway::target_entry out;
    out.instance = instance_id(name);
    out.service = service_id("shop");
    out.address = address;
    out.slots = 4;
    out.started_ms = started_ms;
    return out;
}

constexpr milliseconds tick_interval{20};

/// A forwarder with the plain service "shop", the engine service "pool" and a route for each kind of request.
class forwarding_site
{
public:
    forwarding_site()
    {
        this->ports.headers = {"x-id",       "x-deadline", "x-account", "x-expect",    "x-urgency",
                               "last-event", "x-model",    "x-counts",  "x-signature", "x-not-executed",
                               "x-parts",    "x-leaving",  "x-limit"};
        this->settings.daemon = daemon_id("d0");
        this->settings.bounds.retry_slack = 100;
        std::vector<gateway::route> routes;
        const auto add = [&](const std::string& prefix, gateway::route_kind kind, bool resumable,
                             const std::string& service = "shop", std::uint32_t max_attempts = 3) {
            gateway::route out;
            out.name = prefix;
            out.host = "site.example";
            out.prefix = prefix;
            out.kind = kind;
            out.resumable = resumable;
            out.timeout = caller_timeout;
            out.objective = seconds(1);
            out.max_attempts = max_attempts;
            out.services.push_back({service_id(service), 1});
            routes.push_back(out);
        };
        add("/orders/", gateway::route_kind::once, false);
        add("/stock/", gateway::route_kind::repeatable, false);
        add("/streams/", gateway::route_kind::stream, false);
        add("/resumable/", gateway::route_kind::stream, true);
        add("/plans/", gateway::route_kind::stream, true, "pool");
        add("/plans-at-one-target/", gateway::route_kind::stream, true, "pool", 1);
        add("/timed/", gateway::route_kind::stream, true, "timed");
        add("/reading/", gateway::route_kind::stream, true, "reading");
        gateway::service shop;
        shop.name = service_id("shop");
        gateway::service pool;
        pool.name = service_id("pool");
        pool.engines.emplace();
        pool.engines->batch_slots = 4;
        pool.engines->models.push_back({model_id("planner"), 1, 1, 1, seconds(16), seconds(1)});
        auto timed = pool; // its steps have a duration, so that sizes of requests imply run times
        timed.name = service_id("timed");
        timed.engines->step = milliseconds(1);
        auto reading = timed;
        reading.name = service_id("reading");
        reading.engines->prompt_tokens_per_s = 10000;
        this->fleet.update_config(std::make_shared<const gateway::site_config>(
            1, routes, std::vector<gateway::service>{shop, pool, timed, reading}, gateway::caller_limits{},
            std::nullopt));
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
        auto& writer = this->begin(path, id, std::move(body));
        if (this->while_connecting) {
            // The request suspends for the first time when it opens a connection.
            boost::asio::post(this->context, this->while_connecting);
        }
        this->run_requests();
        return writer;
    }
    /// Sends that many requests at the same time and runs the forwarder until all are done.
    void send_together(const std::string& path, int count)
    {
        for (int i = 0; i < count; ++i) {
            this->begin(path, "together" + std::to_string(i), "two planks");
        }
        this->run_requests();
    }
    /// Number of requests so far that were refused.
    std::size_t refused() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->answers.begin(), this->answers.end(),
                          [](const auto& answer) { return answer->answer.status == 503; }));
    }
    void add_target(const std::string& name, const endpoint& address)
    {
        this->fleet.update_target(entry_of(name, address, 1), steady_clock::now());
    }
    /// Adds an engine that is a group by itself.
    void add_engine(const std::string& name, const endpoint& address, const std::string& service = "pool")
    {
        gateway::target_entry entry;
        entry.instance = instance_id(name);
        entry.service = service_id(service);
        entry.address = address;
        entry.model = model_id("planner");
        entry.started_ms = 1;
        entry.membership = gateway::group_membership{group_id("g-" + name), 1, 0, gateway::group_phase::open};
        this->fleet.update_target(entry, steady_clock::now());
    }
    /// The caller of the last request leaves.
    void leave() { this->answers.back()->disconnect(); }
    /// Requests go to the target only when all others were tried.
    void make_last_choice(const std::string& name)
    {
        this->fleet.suspect(instance_id(name), steady_clock::now() + seconds(10));
    }

    std::string method{"POST"}; ///< of the requests sent
    std::string parts;          ///< of their prompts; empty: none
    std::string counts;         ///< their sizes; empty: not stated
    std::string key;            ///< API key of the caller; empty: none
    /// Called while the next request opens its first connection, if it does not wait before.
    std::function<void()> while_connecting;
    boost::asio::io_context context;
    gateway::platform_ports ports;
    gateway::fleet_state fleet{daemon_id("d0"), failure_domain_id("a")};
    gateway::gateway_settings settings;
    target::connection_pool connections{context};
    metric_registry metrics;
    gateway::forwarder requests{context, ports, fleet, connections, settings, metrics};
    bool ticks{false};          ///< whether the forwarder looks for stalled targets
    milliseconds write_time{0}; ///< time that the caller takes to receive a part of a stream

private:
    /// Begins a request, which runs within `run_requests`.
    recorded_answer& begin(const std::string& path, const std::string& id, std::string body)
    {
        this->answers.push_back(std::make_unique<recorded_answer>());
        auto& writer = *this->answers.back();
        http::request message{
            this->method,
            path,
            {{"host", "site.example"}, {"x-id", id}, {"x-deadline", "3000"}, {"x-model", "planner"}},
            std::move(body)};
        if (!this->parts.empty()) {
            message.headers.push_back({"x-parts", this->parts});
        }
        if (!this->key.empty()) {
            message.headers.push_back({"Authorization", "Bearer " + this->key});
        }
        if (!this->counts.empty()) {
            message.headers.push_back({"x-counts", this->counts});
        }
        ++this->running;
        boost::asio::spawn(
            this->context,
            [this, &writer, message = std::move(message)](gateway::yield_context yield) {
                if (this->write_time.count() > 0) {
                    writer.on_write = [&] { http::pause(this->write_time, yield); };
                }
                this->requests.handle(message, writer, yield);
                --this->running;
            },
            boost::coroutines::attributes(stack_bytes));
        return writer;
    }
    void run_requests()
    {
        boost::asio::steady_timer interval(this->context);
        std::function<void()> tick = [&] {
            interval.expires_after(tick_interval);
            interval.async_wait([&](const boost::system::error_code&) {
                this->requests.tick();
                if (this->running > 0) {
                    tick();
                }
            });
        };
        if (this->ticks) {
            tick();
        }
        this->context.run();
        this->context.restart();
    }

    std::vector<std::unique_ptr<recorded_answer>> answers;
    int running{0}; ///< requests that have begun and not ended
};

} // namespace rml::test
