#include "load/load_run.hpp"

#include "base/hash.hpp"
#include "http/server.hpp"
#include "model/token_stream.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <set>
#include <sstream>

using namespace rml;
using load::verdict;

namespace {

load::schedule_options small_schedule(std::uint64_t seed)
{
    load::schedule_options options;
    options.seed = seed;
    options.length = seconds(1);
    options.generations_per_second = 30;
    options.calls_per_second = 10;
    options.accounts = {{"a", 1}, {"b", 3}};
    options.pools = {"assistant"};
    options.mean_tokens = 4;
    options.twice_share = 1;
    return options;
}

/// An entry that answers every request in one chosen way.
class entry_handler final : public http::handler
{
public:
    void handle(const http::request& message, http::response_writer& writer, http::yield_context) override
    {
        if (message.target == "/v1/entries") {
            ++this->address_reads;
            writer.send(http::json_response(
                200, nlohmann::json{{"entries", {to_string(this->address)}}, {"lifetime_ms", 30000}}.dump()));
            return;
        }
        const auto key = http::find_header(message.headers, "idempotency-key");
        if (this->mode == "refused") {
            auto answer = http::json_response(503, R"({"error":{"kind":"unavailable"}})");
            answer.headers.push_back({"x-rml-outcome", "not-run"});
            writer.send(answer);
        } else if (this->mode == "dropped") {
            writer.abort();
        } else if (key) {
            const std::string& body = this->mode == "foreign" ? *key : message.body;
            const nlohmann::json answer{{"key", *key}, {"body_hash", std::to_string(hash64(body))}};
            writer.send(http::json_response(200, answer.dump()));
        } else {
            this->generate(nlohmann::json::parse(message.body), writer);
        }
    }

    std::string mode;
    endpoint address;
    int address_reads{0};

private:
    void generate(const nlohmann::json& body, http::response_writer& writer) const
    {
        const auto content = body.at("messages").at(0).at("content").get<std::string>();
        const auto prompt = render_prompt({{"user", this->mode == "foreign" ? content + "!" : content}});
        auto tokens = body.at("max_tokens").get<std::size_t>();
        tokens -= this->mode == "incomplete" ? 1 : 0;
        if (!body.at("stream").get<bool>()) {
            const nlohmann::json answer{
                {"choices",
                 {{{"message", {{"role", "assistant"}, {"content", token_text(prompt, tokens)}}}}}}};
            writer.send(http::json_response(200, answer.dump()));
            return;
        }
        writer.start({200, {{"content-type", "text/event-stream"}}, {}});
        for (std::size_t index = 0; index < tokens; ++index) {
            const nlohmann::json event{{"choices", {{{"delta", {{"content", token_at(prompt, index)}}}}}}};
            writer.write("data: " + event.dump() + "\n\n");
        }
        writer.write("data: [DONE]\n\n");
        writer.finish();
    }
};

struct load_outcome
{
    std::string table;
    std::uint64_t of_mode{0};
    std::uint64_t sends{0};
    bool violated{false};
    int address_reads{0};
};

load_outcome run_against(const std::string& mode, verdict expected)
{
    boost::asio::io_context context;
    entry_handler entry;
    entry.mode = mode;
    auto created = http::server::create(context, {"127.0.0.1", 0}, entry);
    REQUIRE(succeeded(created));
    const auto server = value(std::move(created));
    entry.address = server->local();
    load::recorder results;
    load::run_options options;
    options.schedule = small_schedule(7);
    options.entries = {entry.address};
    options.call_path = "workshop/bookings";
    options.key_prefix = "test";
    REQUIRE(succeeded(load::load_run(context, options, results).run()));
    std::ostringstream table;
    results.write(table, load::report_format::table);
    std::uint64_t sends = 0;
    for (std::size_t index = 0; index < load::verdicts; ++index) {
        sends += results.count(static_cast<verdict>(index));
    }
    return {table.str(), results.count(expected), sends, results.violated(), entry.address_reads};
}

} // namespace

TEST_CASE("the arrivals of a schedule depend on the seed alone", "[load]")
{
    rc::check("ordered, inside the run, distinct contents", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto options = small_schedule(seed);
        const auto arrivals = load::create_schedule(options);
        const auto again = load::create_schedule(options);
        RC_ASSERT(arrivals.size() == again.size());
        std::set<std::string> contents;
        microseconds before{0};
        for (std::size_t index = 0; index < arrivals.size(); ++index) {
            const auto& next = arrivals[index];
            RC_ASSERT(next.at == again[index].at);
            RC_ASSERT(next.content == again[index].content);
            RC_ASSERT(next.at >= before);
            RC_ASSERT(next.at < options.length);
            RC_ASSERT(next.tokens >= 1U);
            RC_ASSERT(next.tokens < 2 * options.mean_tokens);
            RC_ASSERT(next.account < options.accounts.size());
            if (next.kind == load::arrival_kind::generation) {
                // Two equal prompts would hide a crossed answer.
                RC_ASSERT(contents.insert(next.content).second);
            }
            before = next.at;
        }
    });
}

TEST_CASE("a wrong answer is never counted as answered", "[load]")
{
    SECTION("whole answers")
    {
        const auto ended = run_against("", verdict::answered);
        CHECK(ended.sends > 0);
        CHECK(ended.of_mode == ended.sends);
        CHECK_FALSE(ended.violated);
        // The addresses are kept for their lifetime.
        CHECK(ended.address_reads == 1);
    }
    SECTION("answers of another request")
    {
        const auto ended = run_against("foreign", verdict::foreign);
        CHECK(ended.of_mode == ended.sends);
        CHECK(ended.violated);
    }
    SECTION("answers that claim to be whole and lack a token")
    {
        const auto ended = run_against("incomplete", verdict::incomplete);
        CHECK(ended.of_mode > 0);
        CHECK(ended.violated);
    }
    SECTION("refusals are counted by status and kind")
    {
        const auto ended = run_against("refused", verdict::refused);
        CHECK(ended.of_mode == ended.sends);
        CHECK_FALSE(ended.violated);
        CHECK(ended.table.find("error answer 503 unavailable: " + std::to_string(ended.sends)) !=
              std::string::npos);
    }
    SECTION("a call without an answer is unknown, not refused")
    {
        const auto ended = run_against("dropped", verdict::unknown);
        CHECK(ended.of_mode > 0);
        CHECK_FALSE(ended.violated);
    }
}

TEST_CASE("runs of once-only keys are compared with the answers", "[load]")
{
    const std::map<std::string, load::key_history> histories{{"fine", {2, 1, 1}},
                                                             {"twice", {2, 2, 0}},
                                                             {"lie", {2, 0, 2}},
                                                             {"phantom", {1, 1, 0}},
                                                             {"unknown", {1, 0, 0}}};
    const auto check = load::check_keys(histories, {{"fine", 1}, {"twice", 2}, {"lie", 1}, {"unknown", 1}});
    CHECK(check.keys == 5);
    CHECK(check.run_twice == 1);
    CHECK(check.refused_but_run == 1);
    CHECK(check.answered_not_run == 1);
}
