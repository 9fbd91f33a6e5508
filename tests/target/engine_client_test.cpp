#include "base/limits.hpp"
#include "scripted_engine.hpp"
#include "target/engine_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <catch2/catch.hpp>
#include <functional>

using namespace rml;
using namespace rml::test;
using namespace rml::target;

namespace {

constexpr milliseconds long_timeout{20000};

class collecting_sink final : public token_sink
{
public:
    status on_token(const std::string& token) override
    {
        this->text += token;
        if (this->fail_tokens) {
            return failure{failure_kind::connection_broken, "caller"};
        }
        return success();
    }
    bool closed() const override { return this->is_closed; }

    std::string text;
    bool fail_tokens{false};
    bool is_closed{false};
};

/// Engine client with its io_context; runs one coroutine at a time and all background work that it starts.
class client_side
{
public:
    generate_report generate(const engine_target& target, collecting_sink& sink,
                             std::vector<std::string> resume = {}, milliseconds time = long_timeout)
    {
        generate_report report;
        this->run([&](yield_context yield) {
            const generate_request request{"attempt-" + std::to_string(++this->attempts), "prompt", 4, 0,
                                           std::move(resume)};
            report = this->engines.generate(target, request, sink, steady_clock::now() + time, yield);
        });
        return report;
    }

    void run(const std::function<void(yield_context)>& work)
    {
        boost::asio::spawn(this->context, [&](yield_context yield) { work(yield); });
        this->context.run();
        this->context.restart();
    }

    boost::asio::io_context context;
    connection_pool pool{context};
    engine_client engines{context, pool};

private:
    int attempts{0};
};

/// Answers with a correct head and the given chunks and keeps the connection open.
raw_server::script answer_with(const std::string& chunks)
{
    return [chunks](const http::request& message, raw_connection& connection) {
        connection.send(stream_head(request_id_of(message)) + chunks);
        return true;
    };
}

} // namespace

TEST_CASE("a correct answer is delivered to the sink and its connection reused", "[target]")
{
    std::string incarnation = "11";
    scripted_engine engine([&](const http::request& message, raw_connection& connection) {
        connection.send(stream_head(request_id_of(message), "g1@7", incarnation) +
                        correct_tokens(message, 4) + done_chunk());
        return true;
    });
    client_side client;
    collecting_sink sink;
    const auto report = client.generate(engine.target(), sink);
    CHECK(report.end == generate_end::completed);
    CHECK(report.outcome.current() == outcome::completed);
    CHECK(sink.text == "t0 t1 t2 t3 ");

    SECTION("a resumed generation starts after the tokens that were already delivered")
    {
        collecting_sink rest;
        CHECK(client.generate(engine.target(), rest, {"a", "b"}).end == generate_end::completed);
        CHECK(rest.text == "t2 t3 ");
        CHECK(engine.connections() == 1);
        CHECK(engine.status_reads == 1);
    }

    SECTION("a restarted engine is not reached over a connection of its earlier incarnation")
    {
        // Guards against a request that reaches an incarnation whose status was not checked.
        engine.incarnation = 12;
        incarnation = "12";
        collecting_sink other;
        CHECK(client.generate(engine.target(), other).end == generate_end::completed);
        CHECK(engine.status_reads == 2);
        CHECK(engine.connections() == 2);
        CHECK(client.pool.stats().discarded == 1);
    }

    SECTION("an engine that left the group gets no request")
    {
        // Guards against a generation for a group whose engine was reassigned.
        auto target = engine.target();
        target.epoch = 8;
        client.pool.clear();
        collecting_sink other;
        const auto refused = client.generate(target, other);
        CHECK(refused.end == generate_end::not_sent);
        CHECK(refused.reason.kind == failure_kind::stale);
        CHECK(refused.outcome.current() == outcome::not_run);
        CHECK(engine.generations == 1);
    }
}

TEST_CASE("an invalid answer is a typed failure and its tokens are not delivered", "[target]")
{
    struct wrong_answer
    {
        std::string name;
        raw_server::script script;
        failure_kind kind;
        std::string passed_on; ///< tokens that may be delivered to the sink
    };
    const std::vector<wrong_answer> cases{
        {"answer to another request",
         [](const http::request&, raw_connection& connection) {
             connection.send(stream_head("attempt-99") + token_chunk(0, "x") + done_chunk());
             return true;
         },
         failure_kind::malformed, ""},
        {"answer without a request id",
         [](const http::request&, raw_connection& connection) {
             connection.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-group: g1@7\r\n\r\n" +
                             token_chunk(0, "x") + done_chunk());
             return true;
         },
         failure_kind::malformed, ""},
        {"another epoch of the group",
         [](const http::request& message, raw_connection& connection) {
             connection.send(stream_head(request_id_of(message), "g1@8") + token_chunk(0, "x") +
                             done_chunk());
             return true;
         },
         failure_kind::stale, ""},
        {"another incarnation",
         [](const http::request& message, raw_connection& connection) {
             connection.send(stream_head(request_id_of(message), "g1@7", "12") + token_chunk(0, "x") +
                             done_chunk());
             return true;
         },
         failure_kind::stale, ""},
        {"doubled token", answer_with(token_chunk(0, "a") + token_chunk(0, "a") + done_chunk()),
         failure_kind::malformed, "a"},
        {"missing token", answer_with(token_chunk(0, "a") + token_chunk(2, "c") + done_chunk()),
         failure_kind::malformed, "a"},
        {"tokens before the resumed position", answer_with(token_chunk(1, "b") + done_chunk()),
         failure_kind::malformed, ""},
        {"more tokens than asked for",
         answer_with(token_chunk(0, "a") + token_chunk(1, "b") + token_chunk(2, "c") + token_chunk(3, "d") +
                     token_chunk(4, "e") + done_chunk()),
         failure_kind::malformed, "abcd"},
        {"event that is no token", answer_with(token_chunk(0, "a") + chunk("data: {\"index\":\"x\"}\n\n")),
         failure_kind::malformed, "a"},
        {"endless event", answer_with(chunk("data: " + std::string(limits::event_bytes + 10, 'x'))),
         failure_kind::too_large, ""},
        {"end without [DONE]", answer_with(token_chunk(0, "a") + last_chunk), failure_kind::connection_broken,
         "a"},
        {"cut within a chunk",
         [](const http::request& message, raw_connection& connection) {
             connection.send(stream_head(request_id_of(message)) + token_chunk(0, "a") + "20\r\ndata: ");
             return false;
         },
         failure_kind::connection_broken, "a"},
        {"closed without an answer", [](const http::request&, raw_connection&) { return false; },
         failure_kind::connection_broken, ""},
        {"garbage",
         [](const http::request&, raw_connection& connection) {
             connection.send("\x16\x03\x01 no HTTP at all\r\n\r\n");
             return true;
         },
         failure_kind::malformed, ""},
        {"server error",
         [](const http::request& message, raw_connection& connection) {
             connection.send(
                 whole_answer("500 Error", "x-request-id: " + request_id_of(message) + "\r\n", ""));
             return true;
         },
         failure_kind::unavailable, ""},
        {"unavailable, but not said to be not run",
         [](const http::request& message, raw_connection& connection) {
             connection.send(
                 whole_answer("503 Unavailable", "x-request-id: " + request_id_of(message) + "\r\n", ""));
             return true;
         },
         failure_kind::unavailable, ""},
        {"refusal of another request",
         [](const http::request&, raw_connection& connection) {
             connection.send(whole_answer("503 Unavailable", "x-request-id: z\r\nx-not-run: true\r\n", ""));
             return true;
         },
         failure_kind::malformed, ""},
    };
    for (const auto& each : cases) {
        INFO(each.name);
        scripted_engine engine(each.script);
        client_side client;
        collecting_sink sink;
        const auto report = client.generate(engine.target(), sink);
        CHECK(report.end == generate_end::failed);
        CHECK(report.reason.kind == each.kind);
        CHECK(sink.text == each.passed_on);
        // The engine may have run the request.
        CHECK(report.outcome.current() == outcome::unknown);
        // Guards against the rest of an invalid answer being taken for the next answer.
        client.generate(engine.target(), sink);
        CHECK(client.pool.stats().reused == 0);
    }
}

TEST_CASE("a refusal marked as not run has the outcome not-run", "[target]")
{
    for (const char* status : {"503 Unavailable", "429 Too Many Requests"}) {
        scripted_engine engine([status](const http::request& message, raw_connection& connection) {
            connection.send(not_run_answer(message, status));
            return true;
        });
        client_side client;
        collecting_sink sink;
        const auto report = client.generate(engine.target(), sink);
        CHECK(report.end == generate_end::refused);
        CHECK(report.outcome.current() == outcome::not_run);
        CHECK(client.generate(engine.target(), sink).end == generate_end::refused);
        CHECK(engine.connections() == 2); // the connection of a refusal is not reused
    }
    SECTION("an attempt without a connection is not-run")
    {
        client_side client;
        collecting_sink sink;
        const closed_address closed;
        const auto report = client.generate({closed.address(), group_id("g1"), 7, 11}, sink);
        CHECK(report.end == generate_end::not_sent);
        CHECK(report.reason.kind == failure_kind::connection_refused);
        CHECK(report.outcome.current() == outcome::not_run);
    }
}

// Guards against a late answer that is taken for the answer to the next request on the connection.
TEST_CASE("a request that ends early is cancelled and its connection closed", "[target]")
{
    std::atomic<int> closed{0};
    scripted_engine engine([&](const http::request& message, raw_connection& connection) {
        connection.send(stream_head(request_id_of(message)) + token_chunk(0, "a"));
        connection.wait_closed();
        ++closed;
        return false;
    });
    client_side client;
    collecting_sink sink;

    SECTION("at the deadline")
    {
        const auto report = client.generate(engine.target(), sink, {}, milliseconds(100));
        CHECK(report.end == generate_end::timed_out);
        CHECK(report.reason.kind == failure_kind::timeout);
    }
    SECTION("when the sink fails")
    {
        sink.fail_tokens = true;
        CHECK(client.generate(engine.target(), sink).end == generate_end::sink_closed);
    }
    SECTION("when the sink is closed while no token arrives")
    {
        sink.is_closed = true;
        CHECK(client.generate(engine.target(), sink).end == generate_end::sink_closed);
    }
    CHECK(sink.text == "a");
    CHECK(engine.cancels == 1);
    CHECK(client.pool.take_idle(engine.address(), std::nullopt).connection == nullptr);
}

TEST_CASE("bytes that arrive without a request are never taken for an answer", "[target]")
{
    // The extra answer carries the id of the next request, as an engine that confuses connections might send.
    scripted_engine engine([](const http::request& message, raw_connection& connection) {
        const auto tokens = correct_tokens(message, 4);
        std::string bytes = stream_head(request_id_of(message)) + tokens + done_chunk();
        if (connection.number == 1) {
            bytes += stream_head("attempt-2") + token_chunk(0, "wrong") + done_chunk();
        }
        connection.send(bytes);
        return true;
    });
    client_side client;
    collecting_sink first;
    CHECK(client.generate(engine.target(), first).end == generate_end::completed);
    collecting_sink second;
    CHECK(client.generate(engine.target(), second).end == generate_end::completed);
    CHECK(second.text == "t0 t1 t2 t3 ");
    CHECK(engine.connections() == 2);
}

// Guards against misread events that arrive in several reads.
TEST_CASE("an answer that arrives byte by byte is read completely", "[target]")
{
    scripted_engine engine([](const http::request& message, raw_connection& connection) {
        const auto bytes = stream_head(request_id_of(message)) + correct_tokens(message, 4) + done_chunk();
        for (const char byte : bytes) {
            connection.send(std::string(1, byte));
        }
        return true;
    });
    client_side client;
    for (int i = 0; i < 2; ++i) {
        collecting_sink sink;
        CHECK(client.generate(engine.target(), sink).end == generate_end::completed);
        CHECK(sink.text == "t0 t1 t2 t3 ");
    }
    CHECK(engine.connections() == 1);
}

// Guards against a truncated answer that is reported as completed, for every length of the rest.
TEST_CASE("an answer truncated at any byte is not complete", "[target]")
{
    std::size_t length = 0;
    std::size_t cut = 0;
    scripted_engine engine([&](const http::request& message, raw_connection& connection) {
        const auto whole = stream_head(request_id_of(message)) + correct_tokens(message, 4) + done_chunk();
        length = whole.size();
        connection.send(whole.substr(0, cut));
        return false;
    });
    client_side client;
    const std::string all = "t0 t1 t2 t3 ";
    do {
        collecting_sink sink;
        const auto report = client.generate(engine.target(), sink);
        INFO(cut);
        REQUIRE(all.substr(0, sink.text.size()) == sink.text);
        if (report.end == generate_end::completed) {
            // Only the end of the chunked body may be missing; [DONE] was read.
            REQUIRE(sink.text == all);
            REQUIRE(cut + std::string("\r\n0\r\n\r\n").size() >= length);
        } else {
            REQUIRE(report.end == generate_end::failed);
            REQUIRE(report.outcome.current() == outcome::unknown);
        }
    } while (++cut <= length);
}

TEST_CASE("status reads, orders and cancels", "[target]")
{
    std::string body;
    std::string status = "200 OK";
    raw_server server([&](const http::request& message, raw_connection& connection) {
        body = message.body;
        engine_status report;
        report.incarnation = 4;
        connection.send(whole_answer(status, "", encode_engine_status(report)));
        return true;
    });
    client_side client;
    client.run([&](yield_context yield) {
        const auto deadline = steady_clock::now() + long_timeout;
        SECTION("repeated status reads use one connection")
        {
            for (int i = 0; i < 3; ++i) {
                const auto report = client.engines.read_status(server.address(), deadline, yield);
                CHECK(succeeded(report));
            }
            CHECK(server.accepted() == 1);
        }
        SECTION("an order carries its fencing token, and the refusal of an old token is reported as stale")
        {
            assign_order order;
            order.group = group_id("g1");
            order.members = {instance_id("a"), instance_id("b")};
            order.fencing = 17;
            CHECK(succeeded(client.engines.assign(
                server.address(), order, [] { return success(); }, deadline, yield)));
            CHECK(nlohmann::json::parse(body)["fencing"] == 17);
            CHECK(nlohmann::json::parse(body)["members"].size() == 2);
            status = "409 Conflict";
            const auto stale = client.engines.assign(
                server.address(), order, [] { return success(); }, deadline, yield);
            REQUIRE(failed(stale));
            CHECK(error(stale).kind == failure_kind::stale);
            // Guards against an order that is reported as refused although it may have taken effect.
            status = "500 Error";
            const auto broken = client.engines.assign(
                server.address(), order, [] { return success(); }, deadline, yield);
            REQUIRE(failed(broken));
            CHECK(error(broken).kind == failure_kind::outcome_unknown);
        }
        SECTION("the cancel of an unknown request fails with not_found")
        {
            CHECK(succeeded(client.engines.cancel(server.address(), "r", deadline, yield)));
            status = "404 Not Found";
            const auto unknown = client.engines.cancel(server.address(), "r", deadline, yield);
            REQUIRE(failed(unknown));
            CHECK(error(unknown).kind == failure_kind::not_found);
        }
    });
}

// Guards against "not run" for a generation that runs, because of a refusal of an earlier one.
TEST_CASE("a repeated refusal on a kept connection is not taken for that of the next generation", "[target]")
{
    std::string repeated_id;
    scripted_engine engine([&](const http::request& message, raw_connection& connection) {
        if (request_id_of(message) == "attempt-1") {
            connection.send(not_run_answer(message));
            return true;
        }
        if (connection.number == 1) {
            const auto id_line = repeated_id.empty() ? "" : "x-request-id: " + repeated_id + "\r\n";
            connection.send(whole_answer("503 Unavailable", id_line + "x-not-run: true\r\n", "busy"));
        }
        connection.send(stream_head(request_id_of(message)) + correct_tokens(message, 4) + done_chunk());
        return true;
    });
    client_side client;
    collecting_sink sink;
    const auto check_next = [&] {
        CHECK(client.generate(engine.target(), sink).end == generate_end::refused);
        const auto report = client.generate(engine.target(), sink);
        CHECK(report.outcome.current() != outcome::not_run);
        CHECK((report.end == generate_end::completed || report.end == generate_end::failed));
    };

    SECTION("as it was")
    {
        repeated_id = "attempt-1";
        check_next();
    }
    SECTION("without an id")
    {
        check_next();
    }
    SECTION("with the id of the next generation")
    {
        repeated_id = "attempt-2";
        check_next();
    }
}
