#include "standin/service.hpp"

#include "base/hash.hpp"
#include "standin/scenario.hpp"

using namespace rml;

TEST_CASE("the service counts every run of a key, also one whose reply was dropped", "[standin]")
{
    boost::asio::io_context context;
    auto created = standin::service_server::create(context, {"127.0.0.1", 0}, "orders");
    REQUIRE(succeeded(created));
    const auto server = value(std::move(created));
    const http::request order{"POST", "/timber", {{"Idempotency-Key", "k1"}}, "ten planks"};
    test::run_scenario(context, [&](http::yield_context yield) {
        const auto first = test::call(context, server->local(), order, yield);
        REQUIRE(succeeded(first));
        const auto answer = nlohmann::json::parse(value(first).body);
        CHECK(answer.at("run") == 1);
        CHECK(answer.at("body_hash") == std::to_string(hash64("ten planks")));

        test::update_faults(context, server->local(), {{"drop_replies", 1}}, yield);
        CHECK(failed(test::call(context, server->local(), order, yield)));
        CHECK(test::read_json(context, server->local(), "/stats", yield).at("runs_of_key").at("k1") == 2);

        test::update_faults(context, server->local(), {{"refuse", 1}}, yield);
        const auto refused = test::call(context, server->local(), order, yield);
        REQUIRE(succeeded(refused));
        CHECK(value(refused).status == 503);
        CHECK(http::find_header(value(refused).headers, "x-not-run") == "true");
        CHECK(test::read_json(context, server->local(), "/stats", yield).at("most_runs_of_a_key") == 2);
    });
}
