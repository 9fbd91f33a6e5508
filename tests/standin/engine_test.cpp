#include "standin/engine.hpp"

#include "http/executor.hpp"
#include "model/engine_status.hpp"
#include "model/token_stream.hpp"
#include "standin/scenario.hpp"

#include <boost/asio/steady_timer.hpp>
#include <sstream>

using namespace rml;

namespace {

standin::engine_options fast_engine(const std::string& name)
{
    standin::engine_options options;
    options.instance = instance_id(name);
    options.step = milliseconds(2);
    options.prefill = milliseconds(0);
    options.load = milliseconds(5);
    options.restart = milliseconds(20);
    options.warm_step = milliseconds(0);
    options.cache_event_delay = milliseconds(0);
    options.status_lag = milliseconds(0);
    return options;
}

class engine_fixture
{
public:
    explicit engine_fixture(const std::vector<standin::engine_options>& engines)
    {
        auto created = standin::engine_host::create(this->context, {"127.0.0.1", 0}, engines);
        REQUIRE(succeeded(created));
        this->host = value(std::move(created));
        this->addresses = this->host->locals();
    }

    result<http::response> call(std::size_t engine, const http::request& message, http::yield_context yield)
    {
        return test::call(this->context, this->addresses[engine], message, yield);
    }

    int assign(std::size_t engine, const std::string& group, std::uint64_t epoch, std::uint64_t fencing,
               const nlohmann::json& members, http::yield_context yield, std::uint32_t rank = 0)
    {
        const nlohmann::json order{{"group", group},     {"group_epoch", epoch}, {"rank", rank},
                                   {"members", members}, {"model", "m"},         {"version", "1"},
                                   {"fencing", fencing}};
        const auto answer = this->call(engine, {"POST", "/assign", {}, order.dump()}, yield);
        REQUIRE(succeeded(answer));
        return value(answer).status;
    }

    engine_status status(std::size_t engine, http::yield_context yield)
    {
        const auto answer = this->call(engine, {"GET", "/status", {}, {}}, yield);
        REQUIRE(succeeded(answer));
        const auto report = decode_engine_status(value(answer).body);
        REQUIRE(succeeded(report));
        return value(report);
    }

    nlohmann::json stats(std::size_t engine, http::yield_context yield)
    {
        return test::read_json(this->context, this->addresses[engine], "/stats", yield);
    }

    void faults(std::size_t engine, const nlohmann::json& wanted, http::yield_context yield)
    {
        test::update_faults(this->context, this->addresses[engine], wanted, yield);
    }

    /// Polls a bounded number of times.
    void wait_until(const std::function<bool()>& condition, http::yield_context yield)
    {
        constexpr int polls = 2000;
        for (int poll = 0; poll < polls && !condition(); ++poll) {
            boost::asio::steady_timer timer(http::executor_of(yield), milliseconds(5));
            timer.async_wait(yield);
        }
        REQUIRE(condition());
    }

    void load(std::size_t engine, http::yield_context yield)
    {
        REQUIRE(this->assign(engine, "g", 1, 1, nlohmann::json::array(), yield) == 200);
        this->wait_until([&] { return this->status(engine, yield).loaded; }, yield);
    }

    result<http::response> generate(std::size_t engine, const std::string& prompt, std::size_t tokens,
                                    http::yield_context yield, const std::string& id = "r1",
                                    const std::vector<std::string>& resume = {})
    {
        const nlohmann::json body{{"prompt", prompt}, {"max_tokens", tokens}, {"resume_tokens", resume}};
        return this->call(engine, {"POST", "/v1/generate", {{"x-request-id", id}}, body.dump()}, yield);
    }

    boost::asio::io_context context;
    std::unique_ptr<standin::engine_host> host;
    std::vector<endpoint> addresses;
};

/// The whole answer to a prompt, as an engine without faults sends it.
std::string whole_answer(const std::string& prompt, std::size_t first, std::size_t tokens)
{
    std::string text;
    for (auto index = first; index < tokens; ++index) {
        text +=
            "data: " + nlohmann::json{{"index", index}, {"token", token_at(prompt, index)}}.dump() + "\n\n";
    }
    return text + "data: [DONE]\n\n";
}

bool refused_before_run(const result<http::response>& answer, int status)
{
    return succeeded(answer) && value(answer).status == status &&
           http::find_header(value(answer).headers, "x-not-run") == "true";
}

} // namespace

TEST_CASE("an engine serves only after its order and load, and answers whole and with its group", "[standin]")
{
    engine_fixture fixture({fast_engine("i1")});
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        CHECK(refused_before_run(fixture.generate(0, "p", 3, yield), 503));
        fixture.load(0, yield);

        const auto answer = fixture.generate(0, "hello", 5, yield);
        REQUIRE(succeeded(answer));
        CHECK(value(answer).status == 200);
        CHECK(value(answer).body == whole_answer("hello", 0, 5));
        CHECK(http::find_header(value(answer).headers, "x-group") == "g@1");
        CHECK(http::find_header(value(answer).headers, "x-request-id") == "r1");

        SECTION("a resumed stream continues behind the given tokens")
        {
            const auto resumed =
                fixture.generate(0, "hello", 5, yield, "r2", {token_at("hello", 0), token_at("hello", 1)});
            REQUIRE(succeeded(resumed));
            CHECK(value(resumed).body == whole_answer("hello", 2, 5));
            CHECK(fixture.stats(0, yield).at("wrong_resume_tokens") == 0);
        }
        SECTION("a cached prefix can be exported and imported, and shows up in the cache events")
        {
            const auto prefix = std::to_string(prefix_hash("hello"));
            const auto exported = fixture.call(0, {"GET", "/kv/" + prefix, {}, {}}, yield);
            REQUIRE(succeeded(exported));
            REQUIRE(value(exported).status == 200);
            CHECK(value(fixture.call(0, {"PUT", "/kv/" + prefix, {}, value(exported).body}, yield)).status ==
                  200);
            CHECK(value(fixture.call(0, {"PUT", "/kv/" + prefix, {}, "other"}, yield)).status == 400);
            const auto events =
                test::read_json(fixture.context, fixture.addresses[0], "/cache-events?since=0", yield);
            REQUIRE(events.at("events").size() == 1);
            CHECK(events.at("events")[0].at("prefix") == prefix);
            CHECK(events.at("next") == 2);
        }
        SECTION("a cancelled request ends without [DONE]")
        {
            std::optional<http::response> ended;
            boost::asio::spawn(fixture.context, [&](http::yield_context inner) {
                const auto cut = fixture.generate(0, "long", 50000, inner, "r9");
                REQUIRE(succeeded(cut));
                ended = value(cut);
            });
            fixture.wait_until([&] { return fixture.stats(0, yield).at("running") == 1; }, yield);
            CHECK(value(fixture.call(0, {"DELETE", "/v1/requests/r9", {}, {}}, yield)).status == 200);
            fixture.wait_until([&] { return ended.has_value(); }, yield);
            CHECK(ended->body.find("[DONE]") == std::string::npos);
            CHECK(fixture.stats(0, yield).at("running") == 0);
        }
    });
}

TEST_CASE("orders with an old fencing number are refused with fencing and obeyed without", "[standin]")
{
    auto fenced = fast_engine("fenced");
    fenced.fenced = true;
    engine_fixture fixture({fenced, fast_engine("unfenced")});
    const auto alone = nlohmann::json::array();
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        CHECK(fixture.assign(0, "new", 2, 9, alone, yield) == 200);
        CHECK(fixture.assign(0, "old", 1, 8, alone, yield) == 409);
        CHECK(fixture.status(0, yield).group == group_id("new"));
        CHECK(fixture.status(0, yield).fencing == 9);

        // The late order takes effect; only the status tells.
        CHECK(fixture.assign(1, "new", 2, 9, alone, yield) == 200);
        CHECK(fixture.assign(1, "old", 1, 8, alone, yield) == 200);
        CHECK(fixture.status(1, yield).group == group_id("old"));

        // A restarted engine knows no number.
        const auto before = fixture.status(0, yield).incarnation;
        fixture.faults(0, {{"restart", true}}, yield);
        fixture.wait_until(
            [&] {
                return succeeded(fixture.call(0, {"GET", "/status", {}, {}}, yield));
            },
            yield);
        CHECK(fixture.status(0, yield).incarnation == before + 1);
        CHECK(fixture.status(0, yield).group.empty());
        CHECK(fixture.assign(0, "old", 1, 8, alone, yield) == 200);
    });
}

TEST_CASE("a cold engine restarts when more runs than it bears", "[standin]")
{
    auto cold = fast_engine("i1");
    cold.cold_slots = 2;
    cold.warm_step = milliseconds(3600000);
    engine_fixture fixture({cold});
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        fixture.load(0, yield);
        const auto before = fixture.status(0, yield).incarnation;
        int broken = 0;
        const auto send = [&](const std::string& id) {
            boost::asio::spawn(fixture.context, [&fixture, &broken, id](http::yield_context inner) {
                broken += failed(fixture.generate(0, id, 50000, inner, id)) ? 1 : 0;
            });
        };
        send("a");
        send("b");
        fixture.wait_until([&] { return fixture.stats(0, yield).at("running") == 2; }, yield);
        CHECK(fixture.status(0, yield).incarnation == before);

        send("c");
        fixture.wait_until([&] { return broken == 3; }, yield);
        const auto stats = fixture.stats(0, yield);
        CHECK(stats.at("overloads_while_cold") == 1);
        CHECK(stats.at("restarts") == 1);
    });
}

TEST_CASE("a crashing request restarts the engine that runs it", "[standin]")
{
    engine_fixture fixture({fast_engine("i1")});
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        fixture.load(0, yield);
        CHECK(failed(fixture.generate(0, "please crash-the-engine now", 3, yield)));
        CHECK(fixture.stats(0, yield).at("crashes") == 1);
        fixture.wait_until(
            [&] {
                return succeeded(fixture.call(0, {"GET", "/status", {}, {}}, yield));
            },
            yield);
        CHECK_FALSE(fixture.status(0, yield).loaded);
    });
}

TEST_CASE("rank 0 needs all members of its group", "[standin]")
{
    engine_fixture fixture({fast_engine("i1"), fast_engine("i2")});
    const nlohmann::json members{"i1", "i2"};
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        REQUIRE(fixture.assign(0, "g", 1, 1, members, yield) == 200);
        fixture.wait_until([&] { return fixture.status(0, yield).loaded; }, yield);
        CHECK(refused_before_run(fixture.generate(0, "p", 3, yield), 503));

        REQUIRE(fixture.assign(1, "g", 1, 1, members, yield, 1) == 200);
        fixture.wait_until([&] { return fixture.status(1, yield).loaded; }, yield);
        CHECK(value(fixture.generate(0, "p", 3, yield)).status == 200);
        CHECK(refused_before_run(fixture.generate(1, "p", 3, yield), 503));

        SECTION("a lost member breaks the requests in flight")
        {
            bool broken = false;
            boost::asio::spawn(fixture.context, [&](http::yield_context inner) {
                broken = failed(fixture.generate(0, "long", 50000, inner));
            });
            fixture.wait_until([&] { return fixture.stats(0, yield).at("running") == 1; }, yield);
            fixture.faults(1, {{"down", true}}, yield);
            fixture.wait_until([&] { return broken; }, yield);
            CHECK(refused_before_run(fixture.generate(0, "p", 3, yield), 503));
            CHECK(fixture.stats(0, yield).at("started_with_missing_member") == 0);
        }
        SECTION("the fault alone makes rank 0 refuse")
        {
            fixture.faults(0, {{"member_missing", true}}, yield);
            CHECK(refused_before_run(fixture.generate(0, "p", 3, yield), 503));
        }
    });
}

TEST_CASE("faulty answers differ from the whole answer in the way their name says", "[standin]")
{
    engine_fixture fixture({fast_engine("i1")});
    const auto whole = whole_answer("own", 0, 6);
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        fixture.load(0, yield);
        REQUIRE(succeeded(fixture.generate(0, "first", 6, yield, "r0")));
        const auto strike = [&](const char* kind) {
            fixture.faults(0, {{"answer", kind}, {"answers", 1}, {"answer_delay_ms", 5}}, yield);
            return fixture.generate(0, "own", 6, yield, "r1");
        };

        CHECK(failed(strike("truncated")));
        CHECK(value(strike("late")).body == whole);

        const auto crossed = strike("crossed");
        CHECK(http::find_header(value(crossed).headers, "x-request-id") != "r1");
        CHECK(value(crossed).body != whole);

        const auto early = value(strike("ended_early")).body;
        CHECK(early == whole.substr(0, early.size()));
        CHECK(early.find("[DONE]") == std::string::npos);

        for (const char* kind : {"doubled", "skipped", "garbage"}) {
            INFO(kind);
            const auto answer = strike(kind);
            REQUIRE(succeeded(answer));
            CHECK(value(answer).body != whole);
            CHECK(value(answer).body.find("[DONE]") != std::string::npos);
        }
        // The count is spent.
        CHECK(value(fixture.generate(0, "own", 6, yield)).body == whole);
        CHECK(value(fixture.call(0, {"POST", "/faults", {}, R"({"no_such_fault":1})"}, yield)).status == 400);
    });
}
