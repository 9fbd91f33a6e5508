#include "process/site.hpp"
#include "process/traffic.hpp"

#include <catch2/catch.hpp>
#include <future>

using namespace rml;
using namespace rml::test;

namespace {

std::uint64_t most_runs(site& place)
{
    return site::stats(place.service().address()).at("most_runs_of_a_key").get<std::uint64_t>();
}

std::string outcome_of(const result<http::response>& answer)
{
    return succeeded(answer) ? http::find_header(value(answer).headers, "x-rml-outcome").value_or("")
                             : "no answer";
}

} // namespace

TEST_CASE("a once-only request runs at most once", "[process][once-only]")
{
    // Guards invariants 6 and 7.
    site place(site_options{});
    REQUIRE(place.publish() == 0);
    REQUIRE(site::wait_until([&] {
        return place.status(0).value("ready", false) && place.status(1).value("ready", false) &&
               place.status(2).value("ready", false);
    }));

    SECTION("the same key goes through two entries at once")
    {
        site::set_faults(place.service().address(), {{"slow_ms", 300}});
        for (int i = 0; i < 5; ++i) {
            const auto key = "parallel-" + std::to_string(i);
            auto first = std::async(std::launch::async, [&] { return place.book(0, key, "planer"); });
            auto second = std::async(std::launch::async, [&] { return place.book(1, key, "planer"); });
            const auto a = first.get();
            const auto b = second.get();
            CHECK(outcome_of(a) == "completed");
            CHECK(outcome_of(b) == "completed");
        }
        CHECK(most_runs(place) == 1);

        SECTION("and once more with another body")
        {
            const auto answer = place.book(2, "parallel-0", "lathe");
            REQUIRE(succeeded(answer));
            CHECK(value(answer).status == 422);
            CHECK(most_runs(place) == 1);
        }
    }
    SECTION("the store loses the replies of writes to claims")
    {
        site::set_faults(place.store().address(), {{"lose_replies", true}, {"prefix", "claim/"}});
        const auto first = place.book(0, "lost", "planer");
        site::set_faults(place.store().address(), {{"lose_replies", false}});
        const auto second = place.book(1, "lost", "planer");
        CHECK(most_runs(place) <= 1);
        CHECK((outcome_of(first) != "not-run" || most_runs(place) == 0 || outcome_of(second) == "completed"));
    }
    SECTION("the store is down")
    {
        site::set_faults(place.store().address(), {{"down", true}});
        const auto refused = place.book(0, "down", "planer", "3000");
        CHECK(outcome_of(refused) == "not-run");
        CHECK(most_runs(place) == 0);
        site::set_faults(place.store().address(), {{"down", false}});
        REQUIRE(site::wait_until([&] { return outcome_of(place.book(1, "down", "planer")) == "completed"; }));
        CHECK(most_runs(place) == 1);
    }
    SECTION("the entry is killed while the service runs the call")
    {
        site::set_faults(place.service().address(), {{"slow_answer_ms", 1500}});
        auto first = std::async(std::launch::async, [&] { return place.book(0, "killed", "planer"); });
        REQUIRE(site::wait_until([&] { return most_runs(place) == 1; }));
        place.daemon(0).kill_now();
        CHECK(outcome_of(first.get()) == "no answer");
        CHECK(outcome_of(place.book(1, "killed", "planer", "3000")) == "unknown");
        CHECK(most_runs(place) == 1);
    }
    SECTION("the entry is frozen past the deadline of the request")
    {
        site::set_faults(place.store().address(), {{"slow_ms", 300}});
        auto first =
            std::async(std::launch::async, [&] { return place.book(0, "frozen", "planer", "1500"); });
        std::this_thread::sleep_for(milliseconds(350));
        place.daemon(0).freeze();
        std::this_thread::sleep_for(milliseconds(2000));
        place.daemon(0).resume();
        const auto late = first.get();
        site::set_faults(place.store().address(), {{"slow_ms", 0}});
        const bool said_not_run = outcome_of(late) == "not-run";
        const auto runs = most_runs(place);
        CHECK((!said_not_run || runs == 0));
        place.book(1, "frozen", "planer", "3000");
        CHECK(most_runs(place) <= 1);
    }
    SECTION("the service drops the reply after it ran the call")
    {
        site::set_faults(place.service().address(), {{"drop_replies", 1}});
        CHECK(outcome_of(place.book(0, "dropped", "planer", "4000")) == "unknown");
        CHECK(outcome_of(place.book(1, "dropped", "planer", "4000")) == "unknown");
        CHECK(most_runs(place) == 1);
    }
}

TEST_CASE("every caller receives the whole of its own answer", "[process][answers]")
{
    // Guards invariant 5 against engines that answer late, for another request, cut short, doubled or with
    // garbage.
    site place(site_options{});
    REQUIRE(place.publish() == 0);
    REQUIRE(place.wait_servable(0, 4));
    for (const char* fault :
         {"late", "crossed", "truncated", "ended_early", "doubled", "skipped", "garbage"}) {
        DYNAMIC_SECTION("faulty answers: " << fault)
        {
            traffic load(place, {0, 1, 2}, 6, 10);
            REQUIRE(site::wait_until([&] { return load.current().whole > 20; }));
            for (std::size_t i = 0; i < 4; ++i) {
                site::set_faults(place.engine_address(0, i),
                                 {{"answer", fault}, {"answers", 5}, {"answer_delay_ms", 200}});
            }
            const auto before = load.current().whole;
            REQUIRE(site::wait_until([&] { return load.current().whole > before + 60; }));
            const auto counts = load.stop();
            INFO(describe(counts));
            CHECK(counts.wrong == 0);
        }
    }
}

TEST_CASE("entry daemons are replaced one by one without cutting off a request", "[process][shutdown]")
{
    // Guards invariant 9. Callers keep a daemon's address for the address lifetime.
    site place(site_options{});
    REQUIRE(place.publish() == 0);
    REQUIRE(place.wait_servable(0, 4));
    REQUIRE(place.wait_servable(1, 4));
    REQUIRE(place.wait_servable(2, 4));
    {
        traffic load(place, {0, 1, 2}, 6, 20);
        REQUIRE(site::wait_until([&] { return load.current().whole > 30; }));
        place.daemon(1).terminate();
        const auto before = load.current().whole;
        REQUIRE(site::wait_until([&] { return load.current().whole > before + 60; }));
        const auto counts = load.stop();
        INFO(describe(counts));
        CHECK(counts.wrong == 0);
        CHECK(counts.other == 0);
    }
    auto long_answer =
        std::async(std::launch::async, [&] { return place.generate(1, "long answer", 600, "30000"); });
    CHECK(place.daemon(1).wait_exit(milliseconds(40000)) == 0);
    const auto answer = long_answer.get();
    REQUIRE(succeeded(answer));
    CHECK(site::whole_answer(value(answer), "long answer", 600));
}
