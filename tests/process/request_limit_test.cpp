#include "process/gateway_site.hpp"

#include <cstdint>
#include <mutex>
#include <random>

using namespace rml;
using rml::test::gateway_site;

namespace {

constexpr std::uint32_t daemons = 3;
constexpr std::uint32_t restarted = 1;
constexpr int events_of_stream = 3;

struct caller_counts
{
    std::uint64_t answered{0};
    std::uint64_t refused{0}; ///< with 503, a time to come back, and without execution
    std::uint64_t cut{0};     ///< calls to a daemon that was killed meanwhile
    std::vector<std::string> wrong;
};

/// Callers that send streams and lookups without pause to the daemons that the site names to them.
class pressing_callers
{
public:
    pressing_callers(gateway_site& target, std::uint32_t threads) : site(target)
    {
        for (std::uint32_t i = 0; i < threads; ++i) {
            this->workers.emplace_back([this, i] { this->run(i); });
        }
    }
    ~pressing_callers() { this->stop(); }
    pressing_callers(const pressing_callers&) = delete;
    pressing_callers& operator=(const pressing_callers&) = delete;

    /// Kills the daemon and starts it again; its callers need no answers meanwhile.
    void restart_daemon()
    {
        ++this->restart_steps;
        this->site.daemons[restarted]->kill_now();
        this->site.start(restarted);
        REQUIRE(this->site.eventually([&] { return this->site.ready(restarted); }));
        ++this->restart_steps;
    }

    caller_counts current()
    {
        const std::lock_guard guard(this->mutex);
        return this->counts;
    }

    caller_counts stop()
    {
        this->stopping = true;
        for (auto& worker : this->workers) {
            worker.join();
        }
        this->workers.clear();
        return this->current();
    }

private:
    static constexpr std::uint32_t requests_per_resolution = 10;
    static constexpr std::size_t kept_examples = 5;
    static constexpr milliseconds pause_after_refusal{50};

    /// Numbers of the daemons that callers are told to connect to.
    std::vector<std::uint32_t> entries(std::uint32_t asked) const
    {
        const auto answer = http::call(this->site.address(asked, "entries"),
                                       {"GET", "/resolve?name=x", {}, {}}, test::gateway_call_limit);
        std::vector<std::uint32_t> out;
        if (failed(answer) || value(answer).status != 200) {
            return out;
        }
        const auto document = test::json::parse(value(answer).body);
        for (const auto& address : document.at("addresses")) {
            for (std::uint32_t i = 0; i < this->site.settings.size(); ++i) {
                if (this->site.settings[i]["listen"]["caller"] == address) {
                    out.push_back(i);
                }
            }
        }
        return out;
    }

    void run(std::uint32_t number)
    {
        std::mt19937 random(number);
        std::vector<std::uint32_t> known;
        for (std::uint32_t n = 0; !this->stopping; ++n) {
            const auto size = static_cast<std::uint32_t>(this->site.settings.size());
            if (n % requests_per_resolution == 0 || known.empty()) {
                known = this->entries(static_cast<std::uint32_t>(random()) % size);
            }
            if (known.empty()) {
                std::this_thread::sleep_for(pause_after_refusal);
                continue;
            }
            const auto daemon = known[random() % known.size()];
            const bool is_stream = random() % 4 != 0;
            const auto message = is_stream ? this->site.stream_request(events_of_stream)
                                           : this->site.request("GET", "/stock/" + std::to_string(number));
            const auto expected = is_stream ? gateway_site::events(events_of_stream)
                                            : "GET /stock/" + std::to_string(number) + " ";
            const auto step = this->restart_steps.load();
            const auto answer = this->site.send(daemon, message);
            const bool may_be_cut = daemon == restarted && (is_odd(step) || this->restart_steps != step);
            if (this->count(message, answer, expected, may_be_cut)) {
                continue;
            }
            known.clear();
            std::this_thread::sleep_for(pause_after_refusal);
        }
    }

    static bool is_odd(std::uint32_t number) { return number % 2 != 0; }

    /// Whether the request was answered.
    bool count(const http::request& message, const http::response& answer, const std::string& expected,
               bool may_be_cut)
    {
        const auto runs = this->site.runs(message);
        const std::lock_guard guard(this->mutex);
        if (answer.status == 200 && answer.body == expected && runs > 0) {
            ++this->counts.answered;
            return true;
        }
        if (answer.status == 503 && runs == 0 && http::find_header(answer.headers, "retry-after")) {
            ++this->counts.refused;
        } else if (answer.status == 0 && may_be_cut) {
            ++this->counts.cut;
        } else if (this->counts.wrong.size() < kept_examples) {
            this->counts.wrong.push_back(message.target + ": " + std::to_string(answer.status) + " " +
                                         answer.body + ", runs " + std::to_string(runs));
        }
        return false;
    }

    gateway_site& site;
    std::vector<std::thread> workers;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint32_t> restart_steps{0}; ///< odd while the daemon restarts
    std::mutex mutex;
    caller_counts counts;
};

/// Sets the limit of all engines and of the first plain instance.
void set_limit(gateway_site& site, const std::string& engine_limit, const std::string& service_limit)
{
    site.on_site([&] {
        for (auto& engine : site.site->engines) {
            engine->faults.request_limit = engine_limit;
        }
        site.site->services.front()->faults.request_limit = service_limit;
    });
}

std::vector<std::string> limit_violations(gateway_site& site)
{
    return site.on_site([&] {
        std::vector<std::string> out;
        for (const auto* list : {&site.site->fleet.violations, &site.site->record.violations}) {
            for (const auto& violation : *list) {
                out.push_back(violation.rule + ": " + violation.what);
            }
        }
        return out;
    });
}

/// Most requests in 4 s at each target that got any under its limit.
std::string most_requests(gateway_site& site)
{
    return site.on_site([&] {
        std::string out;
        for (const auto& engine : site.site->engines) {
            if (engine->most_limited_requests() > 0) {
                out +=
                    " " + engine->identity().instance + "=" + std::to_string(engine->most_limited_requests());
            }
        }
        return out + " p0=" + std::to_string(site.site->services.front()->most_limited_requests());
    });
}

/// Number of these streams, sent at once to the daemons in turn, that are answered.
std::size_t answered_at_once(gateway_site& site, std::size_t streams)
{
    std::vector<std::future<http::response>> sent;
    for (std::size_t i = 0; i < streams; ++i) {
        sent.push_back(
            std::async(std::launch::async, [&site, daemon = static_cast<std::uint32_t>(i % daemons)] {
                return site.stream(daemon, events_of_stream);
            }));
    }
    std::size_t out = 0;
    for (auto& each : sent) {
        out += each.get().body == gateway_site::events(events_of_stream) ? 1 : 0;
    }
    return out;
}

} // namespace

// Guards against daemons that together send a target more requests than it has said that it takes (issue 36,
// rule LIMIT), against callers that lose answers by it, and against a limit that never ends.
TEST_CASE("daemons keep the limits that targets state, and use the targets fully afterwards",
          "[process][gateway][request_limit]")
{
    constexpr std::uint32_t callers = 40;
    // The rule allows 20.6 requests in 4 s at an engine; each daemon with a limit of its own would send 30.
    constexpr const char* engine_limit = "2.6";
    constexpr const char* service_limit = "3.1";
    // In the 4 s that a caller waits, the rule allows at most 4 x 20.6 at the four heads.
    constexpr std::size_t most_under_limits = 82;
    constexpr std::size_t streams_at_once = 100;

    gateway_site site(daemons);
    set_limit(site, engine_limit, service_limit);
    caller_counts counts;
    {
        pressing_callers pressing(site, callers);
        std::this_thread::sleep_for(seconds(6));
        pressing.restart_daemon();
        std::this_thread::sleep_for(seconds(6));
        counts = pressing.stop();
    }
    CAPTURE(counts.answered, counts.refused, counts.cut, most_requests(site));
    for (const auto& violation : limit_violations(site)) {
        FAIL_CHECK(violation);
    }
    for (const auto& example : counts.wrong) {
        FAIL_CHECK(example);
    }
    CHECK(counts.answered > 0);
    CHECK(counts.refused > 0);

    set_limit(site, "", "");
    std::vector<std::size_t> answered; // of each attempt
    const bool used_fully = site.eventually([&] {
        answered.push_back(answered_at_once(site, streams_at_once));
        return answered.back() > most_under_limits;
    });
    CAPTURE(answered);
    CHECK(used_fully);
    CHECK(limit_violations(site).empty());
}
