#include "gateway/forwarding_site.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace rml;
using namespace rml::test;

namespace {

const std::set<int> not_run_statuses{408, 421, 429, 503};

/// When the surplus answer is written, relative to the next request, B, on the same connection.
enum class surplus_time
{
    with_first_answer,
    on_idle_connection,
    after_head_of_next,
    after_next_request,
};

std::string to_string(surplus_time time)
{
    switch (time) {
    case surplus_time::with_first_answer:
        return "with the first answer";
    case surplus_time::on_idle_connection:
        return "on the idle connection";
    case surplus_time::after_head_of_next:
        return "after the head of the next request";
    case surplus_time::after_next_request:
        return "after the next request";
    }
    return "";
}

struct next_request_result
{
    http::response answer;
    int runs{0};
};

/// Sends the requests A and B to a target that answers A with `first` and later writes `surplus`. The target
/// runs B. With `other_target` there is a second target, which B may be sent to.
next_request_result send_after_surplus(const std::string& path, const std::string& first,
                                       const std::string& surplus, surplus_time time, bool other_target)
{
    run_record record;
    std::atomic<bool> written{false};
    std::atomic<int> first_connection{0};
    raw_server faulty([&](const http::request& message, raw_connection& connection) {
        const auto id = run_record::id_of(message);
        if (id == "A") {
            first_connection = connection.number;
            connection.send(first + (time == surplus_time::with_first_answer ? surplus : ""));
            if (time == surplus_time::on_idle_connection) {
                std::this_thread::sleep_for(milliseconds(5)); // later than the end of A
                connection.send(surplus);
                written = true;
            }
            if (time == surplus_time::after_head_of_next && connection.wait_bytes()) {
                connection.send(surplus);
            }
            return true;
        }
        record.add(message);
        if (time == surplus_time::after_next_request && connection.number == first_connection) {
            connection.send(surplus);
        }
        connection.send(real_answer(id));
        return true;
    });
    raw_server sound([&](const http::request& message, raw_connection& connection) {
        record.add(message);
        connection.send(real_answer(run_record::id_of(message)));
        return true;
    });
    forwarding_site site;
    site.add_target("faulty", faulty.address());
    site.send(path, "A");
    while (time == surplus_time::on_idle_connection && !written) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    site.fleet.find_target(instance_id("faulty"))->suspected_until = {}; // so that B goes there first
    if (other_target) {
        site.add_target("sound", sound.address());
        site.fleet.suspect(instance_id("sound"), steady_clock::now() + seconds(10));
    }
    const auto answer = site.send(path, "B", std::string(200 * 1024, 'b')).answer;
    return {answer, record.runs_of("B")};
}

/// Checks that the caller of B learns nothing wrong, and that B ran at most once if it may run only once.
void check_next_request(const std::string& first, const std::string& surplus, bool answered)
{
    for (const auto time : {surplus_time::with_first_answer, surplus_time::on_idle_connection,
                            surplus_time::after_head_of_next, surplus_time::after_next_request}) {
        for (const bool other_target : {false, true}) {
            INFO(to_string(time) << (other_target ? ", two targets" : ", one target"));
            const auto once = send_after_surplus("/orders/1", first, surplus, time, other_target);
            CHECK(once.runs <= 1);
            CHECK(not_run_statuses.count(once.answer.status) == 0);
            CHECK((once.answer.status == 502 || once.answer.body == "answer to B"));
            const auto repeatable = send_after_surplus("/stock/1", first, surplus, time, other_target);
            CHECK((repeatable.answer.status == 502 || repeatable.answer.body == "answer to B"));
            if (answered) {
                CHECK(once.answer.status == 200);
            }
            if (answered || other_target) {
                CHECK(repeatable.answer.status == 200);
            }
        }
    }
}

} // namespace

// Guards against "not run" for a request that runs, against its second run, and against a wrong answer.
TEST_CASE("a surplus answer without a request id is not taken for the next answer", "[gateway][forwarder]")
{
    const auto first = real_answer("A");

    SECTION("a refusal")
    {
        check_next_request(first, refusal(""), false);
    }
    SECTION("a refusal for another instance")
    {
        check_next_request(first, refusal("", "421 Misdirected Request"), false);
    }
    SECTION("a status 421 of a report, which has neither an id nor the header")
    {
        check_next_request(first, whole_answer("421 Misdirected Request", "", ""), false);
    }
    SECTION("the status 409 of an order")
    {
        check_next_request(first, whole_answer("409 Conflict", "", "not now"), false);
    }
    SECTION("a signed answer")
    {
        check_next_request(first, whole_answer("200 OK", "x-signature: s\r\n", "answer to A"), false);
    }
    SECTION("an answer without an id is valid on a new connection, where no other was due")
    {
        raw_server target([](const http::request&, raw_connection& connection) {
            connection.send(whole_answer("200 OK", "x-signature: s\r\n", "answer"));
            return true;
        });
        forwarding_site site;
        site.add_target("t", target.address());
        CHECK(site.send("/orders/1", "A").answer.body == "answer");
    }
}

TEST_CASE("a surplus answer with the id of an earlier request is not taken for the next answer",
          "[gateway][forwarder]")
{
    SECTION("a refusal after the answer")
    {
        check_next_request(real_answer("A"), refusal("A"), false);
    }
    SECTION("the same answer once more")
    {
        check_next_request(real_answer("A"), real_answer("A"), false);
    }
}

// Guards against "not run" for a request that runs: a repeated refusal may carry the id of that request.
TEST_CASE("a connection on which a target refused carries no further request", "[gateway][forwarder]")
{
    SECTION("the refusal is repeated as it was")
    {
        check_next_request(refusal("A"), refusal("A"), true);
    }
    SECTION("the refusal is repeated without an id")
    {
        check_next_request(refusal("A"), refusal(""), true);
    }
    SECTION("the refusal is repeated with the id of the next request")
    {
        for (const std::string status :
             {"503 Unavailable", "429 Too Many Requests", "421 Misdirected Request"}) {
            INFO(status);
            check_next_request(refusal("A", status), refusal("B", status), true);
        }
    }
    SECTION("the answer to the refused request follows")
    {
        check_next_request(refusal("A"), real_answer("A"), true);
    }
}

// Guards against bytes of another answer in a stream, and against a stream that looks complete without its
// rest.
TEST_CASE("a refusal written within a streamed answer reaches no caller", "[gateway][forwarder]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nx-id: A\r\nx-signature: s\r\n";
    const std::string first = "id: 1\ndata: a\n\n";
    const std::string second = "id: 2\ndata: b\n\n";
    const auto send_stream = [](const std::string& answer) {
        std::atomic<int> requests{0};
        raw_server target([&](const http::request&, raw_connection& connection) {
            ++requests;
            connection.send(answer);
            return false;
        });
        forwarding_site site;
        site.add_target("t", target.address());
        auto& got = site.send("/streams/1", "A");
        CHECK(requests == 1);
        CHECK(got.answer.body.find("HTTP/") == std::string::npos);
        CHECK((got.answer.status == 200 || got.answer.status == 502));
        return got.aborted || got.answer.status == 502;
    };

    for (const std::string id : {"A", "", "other"}) {
        SECTION("between chunks, with the id '" + id + "'")
        {
            CHECK(send_stream(head + "transfer-encoding: chunked\r\n\r\n" + chunk(first) + refusal(id) +
                              chunk(second) + last_chunk));
        }
        SECTION("between events of an answer that ends with its connection, with the id '" + id + "'")
        {
            CHECK(send_stream(head + "\r\n" + first + refusal(id) + second));
        }
        SECTION("after the last event of such an answer, with the id '" + id + "'")
        {
            CHECK(send_stream(head + "\r\n" + first + second + refusal(id)));
        }
        SECTION("after the last chunk, where it belongs to no answer, with the id '" + id + "'")
        {
            CHECK_FALSE(send_stream(head + "transfer-encoding: chunked\r\n\r\n" + chunk(first + second) +
                                    last_chunk + refusal(id)));
        }
    }
}

TEST_CASE("a stopping daemon refuses at once what it cannot finish", "[gateway][forwarder]")
{
    run_record record;
    raw_server target([&](const http::request& message, raw_connection& connection) {
        record.add(message);
        std::this_thread::sleep_for(milliseconds(200));
        connection.send(real_answer(run_record::id_of(message)));
        return true;
    });
    forwarding_site site;
    site.add_target("t", target.address());
    CHECK(site.send("/stock/1", "A").answer.status == 200);

    SECTION("a repeatable request in the last moment is not sent")
    {
        site.requests.begin_stop(steady_clock::now() + milliseconds(300));
        CHECK(site.send("/stock/1", "B").answer.status == 503);
        CHECK(record.runs_of("B") == 0);
    }
    SECTION("a repeatable request that can end is taken")
    {
        site.requests.begin_stop(steady_clock::now() + seconds(60));
        CHECK(site.send("/stock/1", "B").answer.status == 200);
    }
    SECTION("a request that must not run twice is not sent when it may outlast the daemon")
    {
        site.requests.begin_stop(steady_clock::now() + seconds(2)); // its deadline is 3 s
        CHECK(site.send("/orders/1", "B").answer.status == 503);
        CHECK(record.runs_of("B") == 0);
    }
}

// Guards against requests that a stopping daemon cuts without an answer.
TEST_CASE("every request that is open when a daemon stops and has no answer yet gets one",
          "[gateway][forwarder]")
{
    SECTION("a request at a target that has not answered fails, and is not called \"not run\"")
    {
        raw_server silent([](const http::request&, raw_connection& connection) {
            connection.wait_closed();
            return false;
        });
        forwarding_site site;
        site.add_target("t", silent.address());
        for (const std::string path : {"/orders/1", "/stock/1", "/streams/1"}) {
            INFO(path);
            const auto& got = site.send(path, "A", "two planks", [&] { site.requests.end_requests(); });
            CHECK(got.answer.status == 502);
            CHECK_FALSE(got.aborted);
        }
    }
    SECTION("a request that waits for a target is refused as not run")
    {
        forwarding_site site;
        site.add_target("t", closed_address().address());
        site.fleet.find_target(instance_id("t"))->entry.slots = 0;
        const auto& got = site.send("/orders/1", "A", "two planks", [&] { site.requests.end_requests(); });
        CHECK(got.answer.status == 503);
    }
    SECTION("a stream that has begun is cut and does not look complete")
    {
        raw_server target([](const http::request&, raw_connection& connection) {
            connection.send("HTTP/1.1 200 OK\r\nx-id: A\r\nx-signature: s\r\n"
                            "transfer-encoding: chunked\r\n\r\n" +
                            chunk("id: 1\ndata: a\n\n"));
            connection.wait_closed();
            return false;
        });
        forwarding_site site;
        site.add_target("t", target.address());
        const auto& got = site.send("/streams/1", "A", "two planks", [&] { site.requests.end_requests(); });
        CHECK(got.answer.status == 200);
        CHECK(got.aborted);
    }
}
