#include "clients.hpp"
#include "decode.hpp"
#include "gateway/managed_site.hpp"
#include "standin/site.hpp"

#include <boost/asio/spawn.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rml;

TEST_CASE("an order that breaks an idle connection is not repeated without the caller's knowledge",
          "[adapter][engine_client]")
{
    // The engine may carry out the first copy later, so the caller has to know that it got no answer.
    boost::asio::io_context context;
    auto created = site_standin::platform_site::create(context, {});
    REQUIRE(succeeded(created));
    const auto site = value(std::move(created));
    target::connection_pool connections(context);
    const auto client = site_wire::create_engine_client(connections);
    auto& engine = *site->engines.front();
    gateway::target_entry entry;
    entry.instance = instance_id(engine.identity().instance);
    entry.address = engine.local();
    engine.faults.late_orders = 1;
    engine.faults.order_delay = milliseconds(20);

    std::optional<result<gateway::order_verdict>> answer;
    boost::asio::spawn(context, [&](boost::asio::yield_context yield) {
        const auto deadline = steady_clock::now() + seconds(5);
        REQUIRE(succeeded(client->report(entry, deadline, yield))); // leaves an idle connection
        const auto join = test::join_order(entry, {group_id("g1"), 1}, {entry.instance});
        answer = client->order(entry, join, deadline, yield);
    });
    const auto limit = steady_clock::now() + seconds(5);
    while ((!answer || engine.operations.empty()) && steady_clock::now() < limit) {
        context.run_for(milliseconds(5));
    }
    REQUIRE(answer);
    REQUIRE(failed(*answer));
    CHECK(error(*answer).kind == failure_kind::outcome_unknown);
    CHECK(engine.operations == std::vector<std::string>{"join"});
}
