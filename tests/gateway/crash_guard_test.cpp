#include "gateway/crash_guard.hpp"

#include "base/bounded_cbor.hpp"
#include "gateway/forwarder.hpp"
#include "recorded_answer.hpp"
#include "target/raw_server.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/coroutine/attributes.hpp>
#include <catch2/catch.hpp>
#include <set>

using namespace rml;
using namespace rml::test;

namespace {

constexpr std::size_t stack_bytes = 256 * 1024;
constexpr milliseconds tick_interval{50};
constexpr milliseconds restart_time{300};

/// What the targets see of the requests that end them.
class deadly_requests
{
public:
    /// Names a part, or a whole body, that ends each target that begins an answer to it.
    void add(const std::string& name)
    {
        const std::scoped_lock lock(this->mutex);
        this->names.insert(name);
    }
    bool ends_target(const http::request& message)
    {
        const auto parts = http::find_header(message.headers, "x-parts").value_or("");
        const std::scoped_lock lock(this->mutex);
        const bool found = std::any_of(this->names.begin(), this->names.end(), [&](const std::string& name) {
            return message.body == name || parts.find(name + ":") != std::string::npos;
        });
        this->sent += found ? 1 : 0;
        return found;
    }
    /// The targets begin answers without length before they end, and close the connections in order.
    std::atomic<bool> begin_answers{false};
    std::atomic<bool> end_after_first_event{false}; ///< instead of after the head
    int sends()
    {
        const std::scoped_lock lock(this->mutex);
        return this->sent;
    }

private:
    std::mutex mutex;
    std::set<std::string> names;
    int sent{0};
};

/// A target that starts anew at another address some time after its end.
class restarting_target
{
public:
    explicit restarting_target(deadly_requests& deadly_names) : deadly(deadly_names) { this->start(); }

    /// Returns true when the target has started anew.
    bool restart_if_due(time_point now)
    {
        if (!this->ended) {
            return false;
        }
        if (this->restart_at == time_point{}) {
            this->restart_at = now + restart_time;
        }
        if (now < this->restart_at) {
            return false;
        }
        this->start();
        return true;
    }
    endpoint address() const { return this->server->address(); }
    int runs{0};
    std::atomic<int> ends{0};

private:
    static std::string unframed(std::string head)
    {
        const std::string framing = "transfer-encoding: chunked\r\n";
        return head.erase(head.find(framing), framing.size());
    }
    void start()
    {
        this->server.reset();
        this->ended = false;
        this->restart_at = {};
        ++this->runs;
        this->server =
            std::make_unique<raw_server>([this](const http::request& message, raw_connection& connection) {
                const auto head =
                    "HTTP/1.1 200 OK\r\nx-id: " + http::find_header(message.headers, "x-id").value_or("") +
                    "\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n";
                if (this->deadly.ends_target(message)) {
                    const std::string event = http::find_header(message.headers, "last-event")
                                                  ? "id: 2\ndata: b\n\n"
                                                  : "id: 1\ndata: a\n\n";
                    connection.send(this->deadly.begin_answers           ? unframed(head) + event
                                    : this->deadly.end_after_first_event ? head + chunk(event)
                                                                         : head);
                    ++this->ends;
                    this->ended = true;
                    this->server->end_process();
                    return false;
                }
                std::this_thread::sleep_for(milliseconds(40));
                connection.send(head);
                if (!http::find_header(message.headers, "last-event")) {
                    connection.send(chunk("id: 1\ndata: a\n\n"));
                    std::this_thread::sleep_for(milliseconds(20));
                }
                connection.send(chunk("id: 2\ndata: b\n\n") + last_chunk);
                return true;
            });
    }

    deadly_requests& deadly;
    std::atomic<bool> ended{false};
    time_point restart_at{};
    std::unique_ptr<raw_server> server;
};

/// Some daemons that exchange reports, with targets that requests can end.
class crash_fleet
{
public:
    crash_fleet(std::size_t daemon_count, std::size_t target_count)
    {
        this->ports.headers = {"x-id",       "x-deadline", "x-account", "x-expect",    "x-urgency",
                               "last-event", "x-model",    "x-counts",  "x-signature", "x-not-executed",
                               "x-parts",    "x-leaving",  "x-limit"};
        this->settings.bounds.retry_slack = 1000;
        for (std::size_t i = 0; i < target_count; ++i) {
            this->targets.push_back(std::make_unique<restarting_target>(this->deadly));
        }
        for (std::size_t i = 0; i < daemon_count; ++i) {
            this->add_daemon(daemon_id("d" + std::to_string(i)), daemon_count);
        }
    }
    ~crash_fleet()
    {
        for (const auto& one : this->daemons) {
            one->connections.clear();
        }
    }
    crash_fleet(const crash_fleet&) = delete;
    crash_fleet& operator=(const crash_fleet&) = delete;

    /// Sends a request to the daemons in turn at `at`, counted from the start of `run`.
    recorded_answer& send_at(milliseconds at, const std::string& parts, const std::string& body)
    {
        this->answers.push_back(std::make_unique<recorded_answer>());
        auto& writer = *this->answers.back();
        auto& receiver = *this->daemons[this->answers.size() % this->daemons.size()];
        const http::request message{"POST",
                                    "/streams/1",
                                    {{"host", "site.example"},
                                     {"x-id", "r" + std::to_string(this->answers.size())},
                                     {"x-parts", parts}},
                                    body};
        boost::asio::spawn(
            this->context,
            [this, at, message, &writer, &receiver](gateway::yield_context yield) {
                ++this->open;
                boost::asio::steady_timer timer(this->context, at);
                timer.async_wait(yield);
                receiver.requests.handle(message, writer, yield);
                --this->open;
            },
            boost::coroutines::attributes(stack_bytes));
        return writer;
    }
    /// Runs until all requests have ended.
    void run()
    {
        this->schedule_tick();
        this->context.run();
        this->context.restart();
    }
    int losses() const
    {
        int sum = 0;
        for (const auto& target : this->targets) {
            sum += target->ends;
        }
        return sum;
    }

    deadly_requests deadly;

private:
    struct one_daemon
    {
        one_daemon(boost::asio::io_context& context, const gateway::platform_ports& ports,
                   const gateway::gateway_settings& common, const daemon_id& name)
            : settings(common), fleet(name), connections(context),
              requests(context, ports, this->fleet, this->connections, this->settings, this->metrics)
        {
            this->settings.daemon = name;
        }
        gateway::gateway_settings settings;
        gateway::fleet_state fleet;
        target::connection_pool connections;
        metric_registry metrics;
        gateway::forwarder requests;
        std::uint64_t sequence{0};
    };

    void add_daemon(const daemon_id& name, std::size_t daemon_count)
    {
        this->daemons.push_back(
            std::make_unique<one_daemon>(this->context, this->ports, this->settings, name));
        auto& added = *this->daemons.back();
        gateway::route streams;
        streams.name = "streams";
        streams.host = "site.example";
        streams.prefix = "/streams/";
        streams.kind = gateway::route_kind::stream;
        streams.resumable = true;
        streams.timeout = seconds(5);
        streams.objective = seconds(2);
        streams.max_attempts = 3;
        streams.services.push_back({service_id("shop"), 1});
        gateway::service shop;
        shop.name = service_id("shop");
        added.fleet.update_config(std::make_shared<const gateway::site_config>(
            1, std::vector<gateway::route>{streams}, std::vector<gateway::service>{shop},
            gateway::caller_limits{}, std::nullopt));
        for (std::size_t i = 0; i < daemon_count; ++i) {
            added.fleet.update_peer(daemon_id("d" + std::to_string(i)), {});
        }
        for (std::size_t i = 0; i < this->targets.size(); ++i) {
            this->register_target(added, i);
        }
        added.requests.crashes().on_change = [this, &added] {
            boost::asio::post(this->context, [this, &added] { this->report(added); });
        };
    }
    void register_target(one_daemon& daemon, std::size_t index)
    {
        gateway::target_entry entry;
        entry.instance = instance_id("t" + std::to_string(index));
        entry.service = service_id("shop");
        entry.address = this->targets[index]->address();
        entry.slots = 64;
        entry.started_ms = this->targets[index]->runs;
        entry.failure_domain = failure_domain_id("z" + std::to_string(index));
        daemon.fleet.update_target(entry, steady_clock::now());
    }
    void report(one_daemon& sender)
    {
        gateway::peer_report sent;
        sent.daemon = sender.settings.daemon;
        sent.started_ms = 1;
        sent.sequence = ++sender.sequence;
        sender.requests.crashes().add_trials(sent);
        sender.requests.crashes().add_evidence(sent, steady_clock::now());
        const auto received = gateway::decode_report(decode_bounded_cbor(encode_report(sent)));
        REQUIRE(succeeded(received));
        for (const auto& other : this->daemons) {
            if (other.get() != &sender && other->fleet.accept_report(value(received), steady_clock::now())) {
                other->requests.crashes().accept(value(received), steady_clock::now());
            }
        }
    }
    void schedule_tick()
    {
        this->timer.expires_after(tick_interval);
        this->timer.async_wait([this](const boost::system::error_code&) {
            for (std::size_t i = 0; i < this->targets.size(); ++i) {
                if (this->targets[i]->restart_if_due(steady_clock::now())) {
                    for (const auto& daemon : this->daemons) {
                        this->register_target(*daemon, i);
                    }
                }
            }
            for (const auto& daemon : this->daemons) {
                daemon->requests.tick();
                this->report(*daemon);
            }
            if (this->open > 0) {
                this->schedule_tick();
            }
        });
    }

    boost::asio::io_context context;
    gateway::platform_ports ports;
    gateway::gateway_settings settings;
    std::vector<std::unique_ptr<restarting_target>> targets;
    std::vector<std::unique_ptr<one_daemon>> daemons;
    std::vector<std::unique_ptr<recorded_answer>> answers;
    boost::asio::steady_timer timer{context};
    int open{0};
};

constexpr int max_losses = 5;
constexpr int max_sends_afterwards = 3;

/// Sends sound requests for 3 s and, from 0.5 s on, each 100 ms one of the deadly ones, which its client
/// repeats. Checks that few of them reach targets and that the sound ones are served.
void check_days_of(crash_fleet& fleet, const std::vector<std::string>& deadly_parts)
{
    std::vector<recorded_answer*> sound;
    std::vector<recorded_answer*> refused;
    for (int i = 0; i < 150; ++i) {
        const auto own = std::to_string(i);
        sound.push_back(&fleet.send_at(milliseconds(20 * i), "chat:900,talk:50,own" + own + ":9", own));
    }
    for (int i = 0; i < 25; ++i) {
        const auto own = std::to_string(i);
        for (const int repeat : {0, 400}) {
            const auto at = milliseconds(500 + 100 * i + repeat);
            const auto& part = deadly_parts[static_cast<std::size_t>(i) % deadly_parts.size()];
            refused.push_back(&fleet.send_at(at, part + ",own" + own + "x:9", own + "x"));
        }
    }
    fleet.run();
    const auto kinds = static_cast<int>(deadly_parts.size());
    CHECK(fleet.losses() <= kinds * max_losses);
    CHECK(fleet.deadly.sends() <= kinds * (max_losses + max_sends_afterwards));
    const auto served = std::count_if(sound.begin(), sound.end(), [](const auto* answer) {
        return answer->answer.status == 200 && !answer->aborted;
    });
    CHECK(served == static_cast<std::ptrdiff_t>(sound.size()));
    for (const auto* answer : refused) {
        const auto status = answer->answer.status;
        const bool looks_complete = fleet.deadly.begin_answers && status == 200;
        CHECK((status == 503 || status == 502 || answer->aborted || looks_complete));
        if (status == 503) {
            CHECK(http::find_header(answer->answer.headers, "retry-after"));
        }
    }
}

} // namespace

// Guards against requests that share a deadly part of the prompt and end one target after the other.
TEST_CASE("a prompt part that crashes targets reaches only a few, and sound requests are served beside it",
          "[gateway][crash_guard]")
{
    crash_fleet fleet(4, 6);
    fleet.deadly.add("deadly");

    SECTION("after a first part that sound requests share")
    {
        check_days_of(fleet, {"chat:900,deadly:9"});
    }
    SECTION("as the first part")
    {
        check_days_of(fleet, {"deadly:9"});
    }
    SECTION("with the other parts of sound requests around it")
    {
        check_days_of(fleet, {"chat:900,deadly:9,talk:50"});
    }
    SECTION("with answers that break off after their first event")
    {
        fleet.deadly.end_after_first_event = true;
        check_days_of(fleet, {"chat:900,deadly:9"});
    }
    SECTION("with answers that have begun and look complete")
    {
        fleet.deadly.begin_answers = true;
        check_days_of(fleet, {"chat:900,deadly:9"});
    }
    SECTION("two such parts")
    {
        fleet.deadly.add("fatal");
        check_days_of(fleet, {"chat:900,deadly:9", "chat:900,fatal:9"});
    }
}

// Guards against a request that is repeated by its client and ends a target each time.
TEST_CASE("a whole request that crashes targets reaches only a few", "[gateway][crash_guard]")
{
    crash_fleet fleet(3, 6);
    fleet.deadly.add("deadly body");
    for (int i = 0; i < 20; ++i) {
        fleet.send_at(milliseconds(150 * i), "", "deadly body");
    }
    const auto& sound = fleet.send_at(seconds(3), "", "sound body");
    fleet.run();
    CHECK(fleet.deadly.sends() <= max_losses + max_sends_afterwards);
    CHECK(sound.answer.status == 200);
}

// Guards against sound requests that are refused because they were beside a deadly one.
TEST_CASE("requests in flight on a crashed target get through elsewhere", "[gateway][crash_guard]")
{
    crash_fleet fleet(2, 8);
    fleet.deadly.add("deadly");
    std::vector<recorded_answer*> innocent;
    for (int i = 0; i < 8; ++i) {
        const auto own = std::to_string(i);
        innocent.push_back(&fleet.send_at(milliseconds(0), "first" + own + ":9,own" + own + ":9", own));
    }
    fleet.send_at(milliseconds(20), "deadly:9,own:9", "x");
    fleet.run();
    CHECK(fleet.losses() >= 1);
    for (const auto* answer : innocent) {
        CHECK(answer->answer.status == 200);
        CHECK_FALSE(answer->aborted);
    }
}

// Guards against refusals of requests whose connections broke for other reasons.
TEST_CASE("a broken connection to a live target condemns nothing", "[gateway][crash_guard]")
{
    boost::asio::io_context context;
    gateway::fleet_state fleet{daemon_id("d0")};
    target::connection_pool connections{context};
    metric_registry metrics;
    gateway::crash_guard guard(fleet, connections, metrics);
    const crash_features request{{1}, gateway::shared_prompt_parts("chat:9,own:9")};
    gateway::target_entry target;
    target.instance = instance_id("t");
    const auto break_connection = [&](const endpoint& address) {
        target.address = address;
        ++target.started_ms;
        boost::asio::spawn(context, [&](gateway::yield_context yield) {
            const auto ticket = guard.begin(1, request, target);
            guard.end_broken(ticket, target, steady_clock::now() + seconds(5), yield);
        });
        context.run();
        context.restart();
    };
    raw_server live([](const http::request&, raw_connection&) { return false; });
    for (int i = 0; i < 4; ++i) {
        break_connection(live.address());
    }
    const auto later = steady_clock::now() + limits::classification_delay;
    guard.tick(later);
    CHECK(guard.check(request, later) == gateway::send_permission::allowed);

    SECTION("the end of two targets does")
    {
        const closed_address ended;
        break_connection(ended.address());
        break_connection(ended.address());
        CHECK(guard.check(request, steady_clock::now() + limits::classification_delay) ==
              gateway::send_permission::refused);
    }
}

// Guards against a part that stays untested, and so refused, because the daemon that tried it has gone.
TEST_CASE("the trial of a daemon that is gone ends", "[gateway][crash_guard]")
{
    boost::asio::io_context context;
    gateway::fleet_state fleet{daemon_id("d0")};
    target::connection_pool connections{context};
    metric_registry metrics;
    gateway::crash_guard guard(fleet, connections, metrics);
    fleet.update_peer(daemon_id("d1"), {});
    const auto now = steady_clock::now();
    const crash_features request{{1}, gateway::shared_prompt_parts("chat:9,own:9")};
    crash_notice loss;
    loss.fingerprint = request.parts.front();
    loss.part = true;
    loss.losses = {{7, false, seconds(1)}};
    loss.ttl = seconds(60);
    gateway::peer_report report;
    report.daemon = daemon_id("d1");
    report.sequence = 1;
    report.crashes = {loss};
    report.crash_trials = {loss.fingerprint.value};
    REQUIRE(fleet.accept_report(report, now));
    guard.accept(report, now);
    CHECK(guard.check(request, now) == gateway::send_permission::later);
    CHECK(guard.check(request, now + seconds(3)) == gateway::send_permission::trial);

    SECTION("the next report without it ends it too")
    {
        ++report.sequence;
        report.crash_trials.clear();
        REQUIRE(fleet.accept_report(report, now));
        CHECK(guard.request_send(1, request, now) == gateway::send_permission::trial);
        CHECK(guard.request_send(2, request, now) == gateway::send_permission::later);
        guard.end_trial(1);
        CHECK(guard.request_send(2, request, now) == gateway::send_permission::trial);
    }
}
