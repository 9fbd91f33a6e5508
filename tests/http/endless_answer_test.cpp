#include "base/limits.hpp"
#include "http/client.hpp"
#include "target/raw_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace rml;
using namespace rml::test;

namespace {

constexpr milliseconds long_limit{60000};
constexpr milliseconds short_limit{200};
constexpr milliseconds drip_interval{10};
/// Far above all size limits. A client that reads all of it sees a closed connection as the failure.
constexpr std::uint64_t flood_bytes = 64 * 1024 * 1024;
constexpr std::size_t flood_part_bytes = 64 * 1024;
/// More than any client can read within `short_limit`.
constexpr std::uint64_t unreadable_bytes = std::uint64_t(8) * 1024 * 1024 * 1024;
constexpr std::uint64_t drip_bytes = 2000; // at least 20 s at one byte per interval

const std::string chunked_head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";

struct endless_answer
{
    std::string name;
    std::string start;
    std::string repeated;
};

const std::vector<endless_answer> endless_heads{
    {"a status line", "HTTP/1.1 200 ", "x"},
    {"a header line", "HTTP/1.1 200 OK\r\nx-long: ", "x"},
    {"header lines", "HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"},
    {"interim answers", "", interim},
};
const std::vector<endless_answer> endless_bodies{
    {"a body with a length", "HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n", "x"},
    {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
    {"chunks", chunked_head, chunk(std::string(1024, 'x'))},
    {"a chunk", chunked_head + "fffffffffff\r\n", "x"},
};
const std::vector<endless_answer> endless_framing{
    {"a chunk size", chunked_head, "0"},
    {"a chunk extension", chunked_head + "1;", "x"},
    {"a trailer line", chunked_head + "0\r\nx-long: ", "x"},
    {"trailer lines", chunked_head + "0\r\n", "x-more: 1\r\n"},
};

struct outcome_seen
{
    result<http::response> answer{failure{failure_kind::unavailable, "exchange not started"}};
    bool reusable{true};
};

outcome_seen exchange_with(const raw_server& server, milliseconds limit)
{
    outcome_seen seen;
    boost::asio::io_context context;
    boost::asio::spawn(context, [&](http::yield_context yield) {
        const auto deadline = steady_clock::now() + limit;
        auto opened = http::client_connection::create(context, server.address(), deadline, yield);
        if (failed(opened)) {
            seen.answer = error(opened);
            return;
        }
        seen.answer = value(opened)->exchange({"GET", "/", {}, ""}, deadline, yield);
        seen.reusable = value(opened)->reusable();
    });
    context.run();
    return seen;
}

std::string kind_of(const result<http::response>& answer)
{
    return failed(answer) ? std::string(to_string(error(answer).kind)) : "success";
}

void check_flood(const std::vector<endless_answer>& answers)
{
    for (const auto& each : answers) {
        INFO(each.name);
        const raw_server server([&](const http::request&, raw_connection& connection) {
            connection.send(each.start);
            connection.send_repeatedly(times(flood_part_bytes / each.repeated.size(), each.repeated),
                                       flood_bytes);
            return false;
        });
        const auto seen = exchange_with(server, long_limit);
        CHECK(kind_of(seen.answer) == to_string(failure_kind::too_large));
        CHECK_FALSE(seen.reusable);
    }
}

void check_drip(const std::vector<endless_answer>& answers)
{
    for (const auto& each : answers) {
        INFO(each.name);
        const raw_server server([&](const http::request&, raw_connection& connection) {
            connection.send(each.start);
            connection.send_repeatedly(each.repeated, drip_bytes * each.repeated.size(), drip_interval);
            return false;
        });
        const auto seen = exchange_with(server, short_limit);
        CHECK(kind_of(seen.answer) == to_string(failure_kind::timeout));
        CHECK_FALSE(seen.reusable);
    }
}

} // namespace

TEST_CASE("an answer without end fails at a limit of size or time", "[http][endless]")
{
    SECTION("a head that arrives fast fails at the size limit")
    {
        check_flood(endless_heads);
    }
    SECTION("bytes that are no HTTP fail at once")
    {
        const raw_server server([](const http::request&, raw_connection& connection) {
            connection.send_repeatedly(std::string(flood_part_bytes, 'x'), flood_bytes);
            return false;
        });
        const auto seen = exchange_with(server, long_limit);
        CHECK(kind_of(seen.answer) == to_string(failure_kind::malformed));
        CHECK_FALSE(seen.reusable);
    }
    SECTION("a body that arrives fast fails at the size limit")
    {
        check_flood(endless_bodies);
    }
    SECTION("lines between chunks and trailers do not fill the memory")
    {
        check_flood(endless_framing);
    }
    SECTION("bytes that arrive slowly do not extend the deadline of a head")
    {
        check_drip(endless_heads);
    }
    SECTION("bytes that arrive slowly do not extend the deadline of a body")
    {
        // The length exceeds the body limit, so this answer fails before its deadline.
        check_drip({endless_bodies.begin() + 1, endless_bodies.end() - 1});
        check_drip(endless_framing);
    }
    SECTION("bytes that arrive faster than they are read do not hide the deadline")
    {
        const raw_server server([](const http::request&, raw_connection& connection) {
            connection.send(chunked_head);
            connection.send_repeatedly(times(16, "1;" + std::string(8 * 1024, 'x') + "\r\nx\r\n"),
                                       unreadable_bytes);
            return false;
        });
        const auto seen = exchange_with(server, short_limit);
        CHECK(kind_of(seen.answer) == to_string(failure_kind::timeout));
        CHECK_FALSE(seen.reusable);
    }
}

// Guards against a read that succeeds after its deadline because its bytes are already there.
TEST_CASE("a part of a body is not read after the deadline", "[http][endless]")
{
    const raw_server server([](const http::request&, raw_connection& connection) {
        connection.send(chunked_head + chunk("a") + chunk("b") + last_chunk);
        return true;
    });
    boost::asio::io_context context;
    boost::asio::spawn(context, [&](http::yield_context yield) {
        const auto start = steady_clock::now();
        auto opened = http::client_connection::create(context, server.address(), start + long_limit, yield);
        REQUIRE(succeeded(opened));
        auto& connection = *value(opened);
        REQUIRE(succeeded(connection.write_request({"GET", "/", {}, ""}, start + long_limit, yield)));
        REQUIRE(succeeded(connection.read_head(start + long_limit, yield)));
        const auto part = connection.read_body_part(start, yield);
        REQUIRE(failed(part));
        CHECK(error(part).kind == failure_kind::timeout);
        CHECK_FALSE(connection.reusable());
    });
    context.run();
}

// Guards against an interim answer that is taken for the answer to the request.
TEST_CASE("interim answers are skipped", "[http][endless]")
{
    std::string before_answer;
    const raw_server server([&](const http::request&, raw_connection& connection) {
        connection.send(before_answer + whole_answer("200 OK", "", "here"));
        return true;
    });

    SECTION("a few interim answers come before the answer")
    {
        before_answer = "HTTP/1.1 100 Continue\r\n\r\n" + times(3, interim);
        const auto seen = exchange_with(server, long_limit);
        REQUIRE(succeeded(seen.answer));
        CHECK(value(seen.answer).status == 200);
        CHECK(value(seen.answer).body == "here");
        CHECK(seen.reusable);
    }
    SECTION("a change of protocol that was not asked for is no answer")
    {
        before_answer = "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";
        const auto seen = exchange_with(server, long_limit);
        CHECK(kind_of(seen.answer) == to_string(failure_kind::malformed));
        CHECK_FALSE(seen.reusable);
    }
}

TEST_CASE("a connection that receives bytes after a complete answer is not reused", "[http][endless]")
{
    const auto interval = GENERATE(milliseconds(0), drip_interval);
    const raw_server server([&](const http::request&, raw_connection& connection) {
        connection.send(whole_answer("200 OK", "", "here") + "x");
        connection.send_repeatedly("x", interval.count() > 0 ? drip_bytes : flood_bytes, interval);
        return false;
    });
    const auto seen = exchange_with(server, long_limit);
    REQUIRE(succeeded(seen.answer));
    CHECK(value(seen.answer).body == "here");
    CHECK_FALSE(seen.reusable);
}
