#include "entryd/daemon.hpp"

#include "base/limits.hpp"
#include "base/log.hpp"
#include "base/metrics.hpp"
#include "caller/caller_handler.hpp"
#include "entryd/serving_unit.hpp"
#include "http/pause.hpp"
#include "http/server.hpp"
#include "target/connection_pool.hpp"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace rml::entryd {

namespace {

constexpr milliseconds leave_poll_interval{100};
// A request that is still being read is not counted as in flight, so several idle polls in a row are
// needed.
constexpr int idle_polls_before_stop = 10;

std::string text_of(const std::optional<endpoint>& address)
{
    return address ? to_string(*address) : std::string("-");
}

class daemon
{
public:
    explicit daemon(const settings& configured)
        : configured(configured), unit(create_serving_unit(this->context, configured, this->metrics)),
          connections(this->context),
          requests(this->context, this->unit->state(), this->connections, this->metrics),
          signals(this->control, SIGTERM, SIGINT)
    {
    }

    status run()
    {
        auto listening = http::server::create(this->context, this->configured.listen.caller, this->requests);
        if (failed(listening)) {
            return error(listening);
        }
        this->server = value(std::move(listening));
        if (auto started = this->unit->start(this->server->local()); failed(started)) {
            return started;
        }
        boost::asio::spawn(this->context,
                           [this](http::yield_context yield) { this->expire_connections(yield); });
        this->start_workers();
        // A single write, so that a process that reads the pipe never receives a partial line.
        std::cout << "listening caller=" + to_string(this->server->local()) +
                         " peer=" + text_of(this->unit->peer_address()) +
                         " operator=" + text_of(this->unit->operator_address()) + "\n"
                  << std::flush;
        boost::asio::spawn(this->control, [this](http::yield_context yield) { this->wait_and_leave(yield); });
        this->control.run();
        this->stop();
        return success();
    }

    /// True when requests were still in flight at the end.
    bool interrupted() const { return this->server && this->server->stats().in_flight != 0; }

private:
    void start_workers()
    {
        const auto cores = std::max(1U, std::thread::hardware_concurrency());
        const auto count = this->configured.workers == 0 ? cores : this->configured.workers;
        for (std::uint32_t i = 0; i < count; ++i) {
            this->workers.emplace_back([this] { this->context.run(); });
        }
    }

    /// Runs until the context is stopped.
    void expire_connections(http::yield_context yield)
    {
        while (true) {
            this->connections.expire(steady_clock::now());
            http::pause(limits::target_idle_check, yield);
        }
    }

    /// Waits for the first signal, then until the requests have ended or a second signal arrives.
    void wait_and_leave(http::yield_context yield)
    {
        boost::system::error_code code;
        this->signals.async_wait(yield[code]);
        log(log_level::info, "leaving", {{"daemon", this->configured.daemon.str()}});
        this->signals.async_wait([this](const boost::system::error_code& again, int) {
            this->stop_immediately = !again;
            this->timer.cancel();
        });
        this->unit->leave();
        const auto lifetime = this->unit->state().entries().lifetime;
        const auto listen_until = steady_clock::now() + lifetime + limits::drain_margin;
        this->wait_until(listen_until, yield);
        this->server->drain();
        const auto drain_deadline = steady_clock::now() + limits::max_request_time;
        for (int idle_polls = 0; idle_polls < idle_polls_before_stop &&
                                 steady_clock::now() < drain_deadline && !this->stop_immediately;) {
            this->wait_until(steady_clock::now() + leave_poll_interval, yield);
            const bool busy = this->server->stats().in_flight != 0 || this->requests.open_settlements() != 0;
            idle_polls = busy ? 0 : idle_polls + 1;
        }
        boost::system::error_code ignored;
        this->signals.cancel(ignored);
    }

    void wait_until(time_point end, http::yield_context yield)
    {
        if (!this->stop_immediately) {
            boost::system::error_code ignored;
            this->timer.expires_at(end);
            this->timer.async_wait(yield[ignored]);
        }
    }

    void stop()
    {
        this->server->stop();
        this->unit->stop();
        this->context.stop();
        for (auto& worker : this->workers) {
            worker.join();
        }
        this->connections.clear();
        log(log_level::info, "stopped", {{"daemon", this->configured.daemon.str()}});
    }

    const settings& configured;
    metric_registry metrics;
    boost::asio::io_context context;
    boost::asio::io_context control{1}; ///< signals and shutdown, on the main thread
    std::unique_ptr<serving_unit> unit;
    target::connection_pool connections;
    caller::caller_handler requests;
    std::unique_ptr<http::server> server;
    boost::asio::signal_set signals;
    boost::asio::steady_timer timer{this->control};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
        this->context.get_executor()};
    std::vector<std::thread> workers;
    bool stop_immediately{false};
};

} // namespace

status run_daemon(const settings& configured)
{
    std::signal(SIGPIPE, SIG_IGN); // a write to a disconnected caller must not end the process
    auto process = std::make_unique<daemon>(configured);
    auto ended = process->run();
    if (process->interrupted()) {
        // The coroutines of these requests refer to the handler and its state but would be destroyed after
        // them. The process exits now, so the daemon object is leaked on purpose.
        static_cast<void>(process.release());
    }
    return ended;
}

} // namespace rml::entryd
