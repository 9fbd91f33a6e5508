#include "clients.hpp"
#include "target/raw_server.hpp"
#include "wire_names.hpp"

#include <boost/asio/spawn.hpp>
#include <boost/coroutine/attributes.hpp>
#include <catch2/catch.hpp>

using namespace rml;
using namespace rml::test;
using gateway::yield_context;

namespace {

constexpr milliseconds call_limit{2000};
constexpr std::size_t stack_bytes = 256 * 1024;

std::string report_with_running(int running)
{
    return whole_answer("200 OK", "",
                        R"({"stage":"both","models":[],"busy":false,"queued":0,"active":)" +
                            std::to_string(running) + "}");
}

/// Reads two reports from an engine that answers the second one with `surplus` first, if it arrives on the
/// connection of the first one. Returns the second.
result<gateway::engine_report> second_report(const std::string& surplus)
{
    std::atomic<int> reports{0};
    raw_server server([&](const http::request&, raw_connection& connection) {
        if (++reports > 1 && connection.number == 1) {
            connection.send(surplus);
        }
        connection.send(report_with_running(reports));
        return true;
    });
    gateway::target_entry engine;
    engine.instance = instance_id("e0");
    engine.address = server.address();
    boost::asio::io_context context;
    target::connection_pool connections(context);
    const auto client = site_wire::create_engine_client(connections);
    result<gateway::engine_report> out = failure{failure_kind::unavailable, "not read"};
    boost::asio::spawn(
        context,
        [&](yield_context yield) {
            REQUIRE(succeeded(client->report(engine, steady_clock::now() + call_limit, yield)));
            out = client->report(engine, steady_clock::now() + call_limit, yield);
        },
        boost::coroutines::attributes(stack_bytes));
    context.run();
    connections.clear();
    return out;
}

} // namespace

// Guards against an engine that is taken for lost, or for one outside a group, because of the answer to an
// earlier request or order.
TEST_CASE("a surplus answer on a kept connection is not taken for a report", "[adapter][engine_control]")
{
    const auto check_second_report = [](const std::string& surplus) {
        const auto report = second_report(surplus);
        REQUIRE(succeeded(report));
        CHECK(value(report).running >= 2);
    };

    SECTION("a refusal of a request")
    {
        check_second_report(
            whole_answer("503 Unavailable", std::string(site_wire::header_not_executed) + ": 1\r\n", ""));
    }
    SECTION("the status 421 of an earlier report")
    {
        check_second_report(whole_answer("421 Misdirected Request", "", ""));
    }
    SECTION("a rejected order")
    {
        check_second_report(whole_answer("409 Conflict", "", "{}"));
    }
    SECTION("an order that was already carried out")
    {
        check_second_report(whole_answer("200 OK", "", R"({"sequence":4})"));
    }
    SECTION("the JSON answer to a request")
    {
        check_second_report(whole_answer("200 OK", "", R"({"stock":7})"));
    }
}
