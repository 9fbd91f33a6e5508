#include "running_daemon.hpp"

using namespace rml;
using namespace rml::test;

namespace {

const std::string four_tokens = "t0 t1 t2 t3 ";

bool serve(const http::request& message, raw_connection& connection)
{
    connection.send(stream_head(request_id_of(message)) + correct_tokens(message, 4) + done_chunk());
    return true;
}

} // namespace

// Guards against an incomplete answer, and against missing headers that callers rely on.
TEST_CASE("a generation is relayed as a stream and as one response", "[caller]")
{
    scripted_engine engine(serve);
    running_daemon daemon;
    daemon.add_group(engine, "g1");

    SECTION("as a stream")
    {
        const auto answer = daemon.generate(true);
        CHECK(answer.status == 200);
        CHECK(http::find_header(answer.headers, "content-type") == "text/event-stream");
        CHECK(http::find_header(answer.headers, "x-request-id") == "call-1");
        CHECK(content_of(answer) == four_tokens);
        CHECK(is_done(answer));
    }
    SECTION("as one response")
    {
        const auto answer = daemon.generate(false);
        CHECK(answer.status == 200);
        CHECK(outcome_of(answer) == "completed");
        CHECK(content_of(answer) == four_tokens);

        SECTION("the next request reuses the connection without another status read")
        {
            CHECK(content_of(daemon.generate(false)) == four_tokens);
            CHECK(engine.connections() == 1);
            CHECK(engine.status_reads == 1);
        }
    }
    CHECK(daemon.state.open_permits == 0);
}

// Guards against missing or duplicated tokens when a group fails in the middle of an answer.
TEST_CASE("a generation whose group failed is resumed on another group", "[caller]")
{
    for (const bool stream : {true, false}) {
        for (std::size_t received = 0; received <= 4; ++received) {
            INFO("stream " << stream << " tokens before the loss " << received);
            scripted_engine failing([received](const http::request& message, raw_connection& connection) {
                connection.send(stream_head(request_id_of(message)) + correct_tokens(message, received));
                return false;
            });
            scripted_engine other(
                [](const http::request& message, raw_connection& connection) {
                    connection.send(stream_head(request_id_of(message), "g2@7") + correct_tokens(message, 4) +
                                    done_chunk());
                    return true;
                },
                "g2");
            running_daemon daemon;
            daemon.add_group(failing, "g1");
            daemon.add_group(other, "g2");
            const auto answer = daemon.generate(stream);
            CHECK(answer.status == 200);
            CHECK(content_of(answer) == four_tokens);
            CHECK(is_done(answer) == stream);
            // After the last token no second attempt is needed.
            CHECK(other.generations == (received < 4 ? 1 : 0));
            CHECK(daemon.state.open_permits == 0);
            CHECK(daemon.state.ends.front() == caller::permit_end::target_lost);
        }
    }
}

TEST_CASE("an incomplete generation ends with an error and the outcome unknown", "[caller]")
{
    scripted_engine failing([](const http::request& message, raw_connection& connection) {
        connection.send(stream_head(request_id_of(message)) + correct_tokens(message, 2));
        return false;
    });
    running_daemon daemon;
    daemon.add_group(failing, "g1");

    SECTION("no other group: a stream ends with an error event and without [DONE]")
    {
        const auto answer = daemon.generate(true);
        CHECK(content_of(answer) == "t0 t1 ");
        CHECK_FALSE(is_done(answer));
        CHECK(answer.body.find(R"("outcome":"unknown")") != std::string::npos);
    }
    SECTION("no other group: a non-streamed request is answered 502 and unknown")
    {
        const auto answer = daemon.generate(false);
        CHECK(answer.status == 502);
        CHECK(outcome_of(answer) == "unknown");
    }
    SECTION("retry budget exhausted: no request to a second group")
    {
        // Guards against retries that multiply the load when many groups fail at once.
        scripted_engine other(serve, "g2");
        daemon.add_group(other, "g2");
        daemon.state.retry_tokens = 0;
        CHECK(daemon.generate(false).status == 502);
        CHECK(other.generations == 0);
    }
    CHECK(daemon.wait_for_record().result == outcome::unknown);
}

// Guards against not-run for a request that may have run, and against unknown for one that did not run.
TEST_CASE("a generation that no engine ran is not-run", "[caller]")
{
    const auto refuse = [](const http::request& message, raw_connection& connection) {
        connection.send(not_run_answer(message));
        return true;
    };
    running_daemon daemon;

    SECTION("all groups refuse")
    {
        scripted_engine first(refuse);
        scripted_engine second(refuse, "g2");
        daemon.add_group(first, "g1");
        daemon.add_group(second, "g2");
        for (const bool stream : {true, false}) {
            const auto answer = daemon.generate(stream);
            CHECK(answer.status == 503);
            CHECK(outcome_of(answer) == "not-run");
        }
        CHECK(second.generations == 2);
    }
    SECTION("one group may have run the request before another refuses it")
    {
        scripted_engine first([](const http::request&, raw_connection&) { return false; });
        scripted_engine second(refuse, "g2");
        daemon.add_group(first, "g1");
        daemon.add_group(second, "g2");
        CHECK(outcome_of(daemon.generate(false)) == "unknown");
    }
    SECTION("unreachable engines consume no retry token")
    {
        const closed_address closed;
        daemon.state.permits.push_back({1, group_id("g1"), 7, 11, closed.address()});
        daemon.state.permits.push_back({2, group_id("g2"), 7, 11, closed.address()});
        daemon.state.retry_tokens = 0;
        const auto answer = daemon.generate(true);
        CHECK(answer.status == 503);
        CHECK(outcome_of(answer) == "not-run");
        CHECK(daemon.state.ends.size() == 2);
        CHECK_FALSE(daemon.state.dispatches.back().is_retry);
    }
    SECTION("no group at all")
    {
        // Guards against a drained failure domain that is reported as missing rights.
        const std::vector<std::pair<failure_kind, int>> cases{
            {failure_kind::unavailable, 503}, {failure_kind::refused, 503}, {failure_kind::stale, 503},
            {failure_kind::lapsed, 503},      {failure_kind::timeout, 504}, {failure_kind::not_found, 404}};
        for (const auto& [kind, status] : cases) {
            daemon.state.no_group_failure = kind;
            const auto answer = daemon.generate(false);
            CHECK(answer.status == status);
            CHECK(outcome_of(answer) == "not-run");
        }
    }
    SECTION("not admitted")
    {
        daemon.state.refuse_admission = true;
        const auto answer = daemon.generate(false);
        CHECK(answer.status == 429);
        CHECK(outcome_of(answer) == "not-run");
        CHECK(http::find_header(answer.headers, "retry-after") == "2");
        CHECK(answer.body.find(R"("retry_after_ms":1500)") != std::string::npos);
        CHECK(daemon.state.dispatches.empty());
    }
}

TEST_CASE("deadlines are forwarded to the engine and enforced", "[caller]")
{
    std::atomic<int> received_deadline_ms{-1};
    scripted_engine stalled([&](const http::request& message, raw_connection& connection) {
        received_deadline_ms =
            std::stoi(http::find_header(message.headers, "x-rml-deadline-ms").value_or("-1"));
        connection.wait_closed();
        return false;
    });
    running_daemon daemon;
    daemon.add_group(stalled, "g1");
    auto message = running_daemon::chat(false);

    SECTION("a stalled engine")
    {
        message.headers.push_back({"x-rml-deadline-ms", "300"});
        const auto answer = daemon.call(message);
        CHECK(answer.status == 504);
        CHECK(outcome_of(answer) == "unknown");
        CHECK(received_deadline_ms > 0);
        CHECK(received_deadline_ms <= 300);
        CHECK(daemon.state.ends == std::vector<caller::permit_end>{caller::permit_end::timeout});
    }
    SECTION("a request whose deadline has passed on arrival is not sent")
    {
        message.headers.push_back({"x-rml-deadline-ms", "0"});
        const auto answer = daemon.call(message);
        CHECK(answer.status == 504);
        CHECK(outcome_of(answer) == "not-run");
        CHECK(stalled.generations == 0);
    }
}

// Guards against engines that go on with the requests of disconnected callers.
TEST_CASE("the disconnect of a caller cancels its request at the engine", "[caller]")
{
    std::atomic<bool> request_received{false};
    scripted_engine slow([&](const http::request& message, raw_connection& connection) {
        connection.send(stream_head(request_id_of(message)) + token_chunk(0, "a"));
        request_received = true;
        connection.wait_closed();
        return false;
    });
    running_daemon daemon;
    daemon.add_group(slow, "g1");
    const bool stream = GENERATE(true, false);

    boost::asio::io_context context;
    boost::asio::spawn(context, [&](http::yield_context yield) {
        const auto deadline = steady_clock::now() + call_timeout;
        auto connection = http::client_connection::create(context, daemon.address(), deadline, yield);
        REQUIRE(succeeded(connection));
        value(connection)->write_request(running_daemon::chat(stream), deadline, yield);
        while (!request_received) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        value(connection)->close();
    });
    context.run();
    CHECK(daemon.wait_for_record().caller_disconnected);
    for (int i = 0; i < 10000 && slow.cancels == 0; ++i) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(slow.cancels == 1);
    CHECK(daemon.state.ends == std::vector<caller::permit_end>{caller::permit_end::caller_disconnected});
}

TEST_CASE("callers that send the same request id get their own answers", "[caller]")
{
    // Guards against request ids of callers being used to match answers or to cancel requests.
    std::mutex mutex;
    std::vector<std::string> ids;
    scripted_engine engine([&](const http::request& message, raw_connection& connection) {
        {
            const std::scoped_lock lock(mutex);
            ids.push_back(request_id_of(message));
        }
        return serve(message, connection);
    });
    running_daemon daemon;
    daemon.add_group(engine, "g1");
    CHECK(content_of(daemon.generate(false)) == four_tokens);
    CHECK(content_of(daemon.generate(false)) == four_tokens);
    REQUIRE(ids.size() == 2);
    CHECK(ids[0] != ids[1]);
}
