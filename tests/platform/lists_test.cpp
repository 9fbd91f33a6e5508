#include "http/executor.hpp"
#include "platform/platform.hpp"
#include "standin/instances.hpp"
#include "standin/scenario.hpp"
#include "standin/weights.hpp"

#include <boost/asio/steady_timer.hpp>

using namespace rml;
using test::soon;

TEST_CASE("the instance list is parsed and reports changes after the configured lag", "[platform]")
{
    boost::asio::io_context context;
    const std::string initial = R"({"instances":[
        {"instance":"e1","kind":"entry","state":"live","incarnation":3,"peer_address":"127.0.0.1:8081"},
        {"instance":"i1","kind":"engine","state":"leaving","incarnation":4}]})";
    auto created =
        standin::instances_server::create(context, {"127.0.0.1", 0}, milliseconds(3600000), initial);
    REQUIRE(succeeded(created));
    const auto server = value(std::move(created));
    const auto list = platform::create_http_instance_list(context, server->local());
    test::run_scenario(context, [&](http::yield_context yield) {
        const auto first = list->read(soon(), yield);
        REQUIRE(succeeded(first));
        REQUIRE(value(first).size() == 2);
        CHECK(value(first)[0].kind == platform::instance_kind::entry);
        CHECK(value(first)[0].peer_address == endpoint{"127.0.0.1", 8081});
        CHECK(value(first)[1].state == platform::instance_state::leaving);
        CHECK(value(first)[1].incarnation == 4);
        CHECK_FALSE(value(first)[1].peer_address.has_value());

        const http::request replacement{"PUT", "/v1/instances", {}, R"({"instances":[]})"};
        REQUIRE(value(test::call(context, server->local(), replacement, yield)).status == 200);
        CHECK(value(list->read(soon(), yield)).size() == 2);
        test::update_faults(context, server->local(), {{"lag_ms", 0}}, yield);
        CHECK(value(list->read(soon(), yield)).empty());

        SECTION("invalid documents are malformed, never an empty list")
        {
            test::update_faults(context, server->local(), {{"garbled", true}}, yield);
            CHECK(error(list->read(soon(), yield)).kind == failure_kind::malformed);
            test::update_faults(context, server->local(), {{"garbled", false}}, yield);
            for (const char* bad :
                 {R"({"instances":[{"instance":"x"}]})", R"({"instances":[7]})",
                  R"({"instances":[{"instance":"x","kind":"toaster","state":"live","incarnation":1}]})",
                  R"({"instances":[{"instance":"x","kind":"entry","state":"live","incarnation":1,)"
                  R"("peer_address":"localhost:1"}]})"}) {
                INFO(bad);
                REQUIRE(succeeded(
                    test::call(context, server->local(), {"PUT", "/v1/instances", {}, bad}, yield)));
                CHECK(error(list->read(soon(), yield)).kind == failure_kind::malformed);
            }
        }
        SECTION("an unreachable list is reported as a broken connection")
        {
            test::update_faults(context, server->local(), {{"down", true}}, yield);
            CHECK(error(list->read(soon(), yield)).kind == failure_kind::connection_broken);
        }
    });
}

TEST_CASE("the weight store rejects loads above its limit", "[platform]")
{
    boost::asio::io_context context;
    auto created = standin::weights_server::create(context, {"127.0.0.1", 0},
                                                   {1, milliseconds(3600000), milliseconds(7)});
    REQUIRE(succeeded(created));
    const auto server = value(std::move(created));
    const auto limit = platform::create_http_weight_limit(context, server->local());
    test::run_scenario(context, [&](http::yield_context yield) {
        REQUIRE(succeeded(limit->concurrent_loads(soon(), yield)));
        CHECK(value(limit->concurrent_loads(soon(), yield)) == 1);

        boost::asio::spawn(context, [&](http::yield_context inner) {
            test::call(context, server->local(), {"GET", "/v1/weights/m/1", {}, {}}, inner);
        });
        constexpr int polls = 2000;
        for (int poll = 0;
             poll < polls && test::read_json(context, server->local(), "/stats", yield).at("loading") == 0;
             ++poll) {
            boost::asio::steady_timer timer(http::executor_of(yield), milliseconds(5));
            timer.async_wait(yield);
        }
        const auto refused = test::call(context, server->local(), {"GET", "/v1/weights/m/2", {}, {}}, yield);
        REQUIRE(succeeded(refused));
        CHECK(value(refused).status == 429);
        CHECK(http::find_header(value(refused).headers, "retry-after-ms") == "7");

        test::update_faults(context, server->local(), {{"down", true}}, yield);
        CHECK(error(limit->concurrent_loads(soon(), yield)).kind == failure_kind::connection_broken);
    });
}
