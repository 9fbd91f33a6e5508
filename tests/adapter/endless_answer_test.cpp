#include "clients.hpp"
#include "target/raw_server.hpp"

#include <boost/asio/spawn.hpp>
#include <boost/coroutine/attributes.hpp>
#include <catch2/catch.hpp>

using namespace rml;
using gateway::yield_context;

namespace {

constexpr milliseconds call_time{300};
constexpr milliseconds drip_interval{10};
constexpr std::uint64_t flood_bytes = 64 * 1024 * 1024;
constexpr std::uint64_t drip_bytes = 2000; // at least 20 s at one byte per interval

struct endless_answer
{
    std::string start;
    std::string repeated;
};

const std::string chunked_head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const std::vector<endless_answer> answers{
    {"HTTP/1.1 200 ", "x"},
    {"HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"},
    {"", "HTTP/1.1 102 Wait\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\n\r\n", "x"},
    {chunked_head, "0"},
    {chunked_head + "1;", "x"},
    {chunked_head + "0\r\n", "x-more: 1\r\n"},
};

template <class T>
std::string kind_of(const result<T>& answer)
{
    return failed(answer) ? std::string(to_string(error(answer).kind)) : "success";
}

/// Calls a store and an engine that send each of the answers, and checks how the calls fail.
void check_calls(const std::vector<endless_answer>& sent, bool fast)
{
    const std::string read_failure(to_string(fast ? failure_kind::too_large : failure_kind::timeout));
    const std::string write_failure(to_string(failure_kind::outcome_unknown));
    for (const auto& each : sent) {
        INFO(each.start << each.repeated);
        test::raw_server server([&](const http::request&, test::raw_connection& connection) {
            connection.send(each.start);
            if (fast) {
                connection.send_repeatedly(test::times(4096, each.repeated), flood_bytes);
            } else {
                connection.send_repeatedly(each.repeated, drip_bytes * each.repeated.size(), drip_interval);
            }
            return false;
        });
        boost::asio::io_context context;
        target::connection_pool connections(context);
        const auto store = site_wire::create_store_client(connections, server.address());
        const auto engines = site_wire::create_engine_client(connections);
        gateway::target_entry engine;
        engine.instance = instance_id("e1");
        engine.address = server.address();
        boost::asio::spawn(
            context,
            [&](yield_context yield) {
                const auto deadline = [&] {
                    return steady_clock::now() + (fast ? milliseconds(60000) : call_time);
                };
                CHECK(kind_of(store->read("", deadline(), yield)) == read_failure);
                CHECK(kind_of(store->commit({}, deadline(), yield)) == write_failure);
                CHECK(kind_of(engines->report(engine, deadline(), yield)) == read_failure);
                CHECK(kind_of(engines->order(engine, gateway::group_order::open({}), deadline(), yield)) ==
                      write_failure);
            },
            boost::coroutines::attributes(256 * 1024));
        context.run();
        CHECK(server.accepted() == 4); // no connection was used again
        CHECK(connections.stats().reused == 0);
    }
}

} // namespace

TEST_CASE("calls to a store or an engine whose answer has no end", "[adapter][endless]")
{
    SECTION("an answer that arrives fast fails at a size limit, and a write is not reported as not done")
    {
        check_calls(answers, true);
    }
    SECTION("an answer that arrives slowly fails at the deadline, and a write is not reported as not done")
    {
        check_calls({answers.begin() + 2, answers.begin() + 5}, false);
    }
}
