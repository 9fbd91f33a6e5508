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

// Guards against long streams that a stopping daemon takes and cuts because recent ones were short.
TEST_CASE("a stopping daemon judges a stream by its stated size", "[gateway][forwarder]")
{
    run_record record;
    raw_server target([&](const http::request& message, raw_connection& connection) {
        record.add(message);
        connection.send("HTTP/1.1 200 OK\r\nx-id: " + run_record::id_of(message) +
                        "\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n" +
                        chunk("id: 1\ndata: a\n\n") + last_chunk);
        return true;
    });
    forwarding_site site;
    site.add_engine("t", target.address(), "timed");
    site.counts = "10,20";
    CHECK(site.send("/timed/1", "A").answer.status == 200);
    site.requests.begin_stop(steady_clock::now() + milliseconds(2500)); // the deadline is 3 s

    SECTION("a short one is taken")
    {
        CHECK(site.send("/timed/1", "B").answer.status == 200);
    }
    SECTION("a long one is refused at once, and its caller may go to another daemon at once")
    {
        site.counts = "10,2000";
        const auto& got = site.send("/timed/1", "B");
        CHECK(got.answer.status == 503);
        CHECK(http::find_header(got.answer.headers, "retry-after") == "0.00");
        CHECK(record.runs_of("B") == 0);
    }
    SECTION("one whose size is not stated may last until its deadline")
    {
        site.counts.clear();
        CHECK(site.send("/timed/1", "B").answer.status == 503);
        CHECK(record.runs_of("B") == 0);
    }
    SECTION("a size beyond all limits is a long one")
    {
        site.counts = "10,18446744073709551615";
        CHECK(site.send("/timed/1", "B").answer.status == 503);
    }
}

// Guards against requests that were accepted before a planned stop, and are sent when it is too late.
TEST_CASE("a request that has not been sent when a daemon stops is not sent too late", "[gateway][forwarder]")
{
    run_record record;
    raw_server target([&](const http::request& message, raw_connection& connection) {
        record.add(message);
        connection.send(real_answer(run_record::id_of(message)));
        return true;
    });
    forwarding_site site;
    site.add_target("unreachable", closed_address().address());
    site.add_target("t", target.address());
    site.make_last_choice("t");
    bool stops = false;
    SECTION("the daemon stops soon")
    {
        stops = true;
    }
    SECTION("the daemon goes on") {}
    site.while_connecting = [&] {
        if (stops) {
            site.requests.begin_stop(steady_clock::now() + milliseconds(300));
        }
    };
    CHECK(site.send("/stock/1", "A").answer.status == (stops ? 503 : 200));
    CHECK(record.runs_of("A") == (stops ? 0 : 1));
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

namespace {

/// Longer than the stall limit of a target that has begun to answer, 300 ms.
constexpr milliseconds stream_silence{700};

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nx-id: A\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n";

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: step " + std::to_string(id) + "\n\n";
}

const std::string whole_stream = event(1) + event(2) + event(3);

/// Sends the first event and half of the second one, is silent, and sends the rest.
bool send_with_silence(const http::request&, raw_connection& connection)
{
    const auto second = event(2);
    connection.send(stream_head + chunk(event(1) + second.substr(0, 8)));
    std::this_thread::sleep_for(stream_silence);
    connection.send(chunk(second.substr(8)) + chunk(event(3)) + last_chunk);
    return true;
}

} // namespace

// Guards against streams that end because a target was silent for a while, although it went on.
TEST_CASE("a stream whose target is silent for a while is complete without another target",
          "[gateway][forwarder]")
{
    std::atomic<int> runs{0};
    raw_server silent([&](const http::request& message, raw_connection& connection) {
        ++runs;
        return send_with_silence(message, connection);
    });
    forwarding_site site;
    site.ticks = true;
    site.add_engine("silent", silent.address());
    std::string path = "/plans/1";
    std::unique_ptr<raw_server> other;
    const auto add_other = [&](raw_server::script answer) {
        other = std::make_unique<raw_server>(std::move(answer));
        site.add_engine("other", other->address());
        site.make_last_choice("other");
    };
    const auto answer_rest = [](const http::request&, raw_connection& connection) {
        connection.send(stream_head + chunk(event(2) + event(3)) + last_chunk);
        return true;
    };
    const closed_address nobody;

    SECTION("there is no other target") {}
    SECTION("the retry budget is spent")
    {
        site.settings.bounds.retry_share = 0;
        site.settings.bounds.retry_slack = 0;
        add_other(answer_rest);
    }
    SECTION("the route allows no further attempt")
    {
        path = "/plans-at-one-target/1";
        add_other(answer_rest);
    }
    SECTION("the other target refuses")
    {
        add_other([](const http::request&, raw_connection& connection) {
            connection.send(refusal("A"));
            return true;
        });
    }
    SECTION("the other target accepts no connection")
    {
        site.add_engine("other", nobody.address());
        site.make_last_choice("other");
    }
    SECTION("the other target closes the connection")
    {
        add_other([](const http::request&, raw_connection&) { return false; });
    }
    SECTION("the other target fails")
    {
        add_other([](const http::request&, raw_connection& connection) {
            connection.send(whole_answer("500 Error", "x-id: A\r\n", "out of memory"));
            return true;
        });
    }
    SECTION("the other target breaks off before its first event")
    {
        add_other([](const http::request&, raw_connection& connection) {
            connection.send(stream_head + chunk("id: 2\nda"));
            return false;
        });
    }
    SECTION("the other target is silent too")
    {
        add_other([](const http::request&, raw_connection& connection) {
            connection.wait_closed();
            return false;
        });
    }
    const auto& got = site.send(path, "A");
    CHECK_FALSE(got.aborted);
    CHECK(got.answer.status == 200);
    CHECK(got.answer.body == whole_stream);
    CHECK(runs == 1);
    CHECK(site.fleet.in_flight.busy().empty());
    CHECK(site.requests.open_requests() == 0);
}

// Guards against streams that end because their caller reads slowly.
TEST_CASE("a target is not silent while the caller receives a part of its answer", "[gateway][forwarder]")
{
    raw_server target([](const http::request&, raw_connection& connection) {
        connection.send(stream_head + chunk(event(1)));
        std::this_thread::sleep_for(milliseconds(50)); // so that the rest is read later
        connection.send(chunk(event(2)) + chunk(event(3)) + last_chunk);
        return true;
    });
    raw_server other([](const http::request&, raw_connection& connection) {
        connection.wait_closed();
        return false;
    });
    forwarding_site site;
    site.ticks = true;
    site.write_time = stream_silence;
    site.add_engine("target", target.address());

    SECTION("there is no other target") {}
    SECTION("there is another target")
    {
        site.add_engine("other", other.address());
        site.make_last_choice("other");
    }
    const auto& got = site.send("/plans/1", "A");
    CHECK_FALSE(got.aborted);
    CHECK(got.answer.body == whole_stream);
    CHECK(other.accepted() == 0);
}

// Guards against a stream that waits for a target which never answers, and against repeated or lost events.
TEST_CASE("a stream whose target stays silent continues at another target", "[gateway][forwarder]")
{
    std::atomic<bool> closed{false};
    raw_server silent([&](const http::request&, raw_connection& connection) {
        connection.send(stream_head + chunk(event(1) + event(2).substr(0, 8)));
        connection.wait_closed();
        closed = true;
        return false;
    });
    std::atomic<int> runs{0};
    std::string last_event;
    const auto answer_rest = [&](const http::request& message, raw_connection& connection) {
        ++runs;
        last_event = http::find_header(message.headers, "last-event").value_or("");
        connection.send(stream_head + chunk(event(2) + event(3)) + last_chunk);
        return true;
    };
    forwarding_site site;
    site.ticks = true;
    site.add_engine("silent", silent.address());
    raw_server other(answer_rest);
    site.add_engine("other", other.address());
    site.make_last_choice("other");
    raw_server refusing([](const http::request&, raw_connection& connection) {
        connection.send(refusal("A"));
        return true;
    });

    SECTION("at once") {}
    SECTION("after a third one has refused")
    {
        site.add_engine("refusing", refusing.address());
        site.fleet.suspect(instance_id("refusing"), steady_clock::now() + milliseconds(200));
    }
    const auto& got = site.send("/plans/1", "A");
    CHECK_FALSE(got.aborted);
    CHECK(got.answer.body == whole_stream);
    CHECK(refusing.accepted() == (site.fleet.find_target(instance_id("refusing")) != nullptr ? 1 : 0));
    CHECK(runs == 1);
    CHECK(last_event == "1");
    while (!closed) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(site.fleet.in_flight.busy().empty());
}

TEST_CASE("a plain answer whose target is silent for a while arrives although the other target refuses",
          "[gateway][forwarder]")
{
    raw_server silent([](const http::request& message, raw_connection& connection) {
        std::this_thread::sleep_for(milliseconds(2300)); // the stall limit of plain services is 2 s
        connection.send(real_answer(run_record::id_of(message)));
        return true;
    });
    raw_server refusing([](const http::request& message, raw_connection& connection) {
        connection.send(refusal(run_record::id_of(message)));
        return true;
    });
    forwarding_site site;
    site.ticks = true;
    site.add_target("silent", silent.address());
    site.add_target("refusing", refusing.address());
    site.make_last_choice("refusing");
    const auto& got = site.send("/stock/1", "A");
    CHECK(got.answer.status == 200);
    CHECK(got.answer.body == "answer to A");
    CHECK(refusing.accepted() == 1);
}

TEST_CASE("a request with two attempts open closes both when it ends early", "[gateway][forwarder]")
{
    std::atomic<int> closed{0};
    std::atomic<int> requests{0};
    const auto never = [&](const http::request&, raw_connection& connection) {
        ++requests;
        connection.send(requests == 1 ? stream_head + chunk(event(1)) : "");
        connection.wait_closed();
        ++closed;
        return false;
    };
    raw_server first(never);
    raw_server second(never);
    forwarding_site site;
    site.ticks = true;
    site.add_engine("first", first.address());
    site.add_engine("second", second.address());
    site.make_last_choice("second");
    boost::asio::steady_timer end(site.context, stream_silence);

    SECTION("the caller leaves")
    {
        end.async_wait([&](const boost::system::error_code&) { site.leave(); });
    }
    SECTION("the process stops")
    {
        end.async_wait([&](const boost::system::error_code&) { site.requests.end_requests(); });
    }
    const auto& got = site.send("/plans/1", "A");
    CHECK(got.aborted);
    CHECK(got.answer.body == event(1));
    while (closed < 2) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(requests == 2);
    CHECK(site.fleet.in_flight.busy().empty());
}

TEST_CASE("a request for which no descriptor is left is refused at once", "[gateway][forwarder]")
{
    // Guards against requests that wait until their deadline, and against targets that are avoided, because
    // this daemon can open no more connections.
    answering_target first = sound_target();
    answering_target second = sound_target();
    forwarding_site site;
    site.add_target("a", first.address());
    site.add_target("b", second.address());
    site.connections.update_limits({0, 0});
    const auto& answer = site.send("/orders/1", "r1");
    CHECK(answer.answer.status == 503);
    CHECK(http::find_header(answer.answer.headers, "retry-after"));
    CHECK(site.connections.stats().refused == 1);
    CHECK(first.requests() + second.requests() == 0);
    for (const auto* name : {"a", "b"}) {
        CHECK_FALSE(site.fleet.suspected(instance_id(name), steady_clock::now()));
        CHECK(site.fleet.find_target(instance_id(name))->failure_share == 0);
    }

    SECTION("and the next one is served when descriptors are free again")
    {
        site.connections.update_limits({});
        CHECK(site.send("/orders/1", "r2").answer.status == 200);
    }
}
