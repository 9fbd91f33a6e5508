#include "base/limits.hpp"
#include "running_daemon.hpp"

#include <future>

using namespace rml;
using namespace rml::test;

namespace {

/// A service that counts the calls it receives.
class scripted_service
{
public:
    explicit scripted_service(raw_server::script answer)
        : server(
              [this, answer = std::move(answer)](const http::request& message, raw_connection& connection) {
                  ++this->calls;
                  return answer(message, connection);
              })
    {
    }

    endpoint address() const { return this->server.address(); }

    std::atomic<int> calls{0};

private:
    raw_server server;
};

bool book(const http::request& message, raw_connection& connection)
{
    connection.send(whole_answer(
        "201 Created", "content-type: text/plain\r\nx-request-id: " + request_id_of(message) + "\r\n",
        "booked " + message.body));
    return true;
}

bool refuse(const http::request& message, raw_connection& connection)
{
    connection.send(not_run_answer(message));
    return true;
}

bool close_without_answer(const http::request&, raw_connection&)
{
    return false;
}

void set_service(running_daemon& daemon, const std::vector<endpoint>& addresses,
                 milliseconds timeout = milliseconds(10000))
{
    office_service_object service;
    service.name = service_id("office");
    service.addresses = addresses;
    service.once_only_paths = {"/orders"};
    service.timeout = timeout;
    daemon.state.service = std::make_shared<const office_service_object>(service);
}

http::request order(const std::string& key, const std::string& body = "oak")
{
    return {"POST",
            "/services/office/orders",
            {{"authorization", "Bearer secret"}, {"idempotency-key", key}},
            body};
}

/// State of the only claim after its settlement in the background.
std::string settled_state(const running_daemon& daemon)
{
    for (int i = 0; i < 10000 && daemon.state.stored.state() == "claimed"; ++i) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    return daemon.state.stored.state();
}

} // namespace

TEST_CASE("a once-only call runs once and its answer is stored", "[caller]")
{
    scripted_service service(book);
    running_daemon daemon;
    set_service(daemon, {service.address()});

    const auto first = daemon.call(order("k1"));
    CHECK(first.status == 201);
    CHECK(first.body == "booked oak");
    CHECK(outcome_of(first) == "completed");

    SECTION("a repeated call gets the stored answer")
    {
        const auto again = daemon.call(order("k1"));
        CHECK(again.status == 201);
        CHECK(again.body == "booked oak");
        CHECK(http::find_header(again.headers, "content-type") == "text/plain");
        CHECK(outcome_of(again) == "completed");
        CHECK(service.calls == 1);
    }
    SECTION("the key with another body is refused")
    {
        const auto other = daemon.call(order("k1", "pine"));
        CHECK(other.status == 422);
        CHECK(outcome_of(other) == "not-run");
        CHECK(service.calls == 1);
    }
    SECTION("a call with another key runs")
    {
        CHECK(daemon.call(order("k2")).status == 201);
        CHECK(service.calls == 2);
    }
    SECTION("a call without a key is refused")
    {
        auto message = order("");
        CHECK(daemon.call(message).status == 400);
        message.headers.pop_back();
        CHECK(daemon.call(message).status == 400);
        message.headers.push_back({"idempotency-key", std::string(300, 'k')});
        CHECK(daemon.call(message).status == 400);
        CHECK(service.calls == 1);
    }
}

// Guards against a second run when several copies of a request arrive at the same time.
TEST_CASE("concurrent copies of a once-only call run once", "[caller]")
{
    std::promise<void> release;
    auto released = release.get_future().share();
    scripted_service service([&](const http::request& message, raw_connection& connection) {
        released.wait();
        return book(message, connection);
    });
    running_daemon daemon;
    set_service(daemon, {service.address()});
    std::vector<std::future<result<http::response>>> answers;
    for (int i = 0; i < 6; ++i) {
        answers.push_back(std::async(
            std::launch::async, [&] { return http::call(daemon.address(), order("k1"), call_timeout); }));
    }
    while (service.calls == 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    release.set_value();
    for (auto& each : answers) {
        const auto answer = each.get();
        REQUIRE(succeeded(answer));
        CHECK(value(answer).status == 201);
        CHECK(value(answer).body == "booked oak");
    }
    CHECK(service.calls == 1);
}

TEST_CASE("a once-only call whose claim is not confirmed is never sent", "[caller]")
{
    scripted_service service(book);
    running_daemon daemon;
    set_service(daemon, {service.address()});
    const auto fault = GENERATE(fake_claims::fault::down, fake_claims::fault::reply_lost);
    daemon.state.stored.fail_next(fault);
    const auto answer = daemon.call(order("k1"));
    CHECK(answer.status == 503);
    CHECK(outcome_of(answer) == "not-run");
    CHECK(service.calls == 0);

    SECTION("the claim is released, and the key can be used again")
    {
        CHECK(settled_state(daemon) != "claimed");
        // Guards against a daemon that shuts down while the release of a claim is in progress.
        for (int i = 0; i < 10000 && daemon.handler.open_settlements() != 0; ++i) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        CHECK(daemon.handler.open_settlements() == 0);
        CHECK(daemon.state.stored.state() == "released");
        CHECK(daemon.call(order("k1")).status == 201);
        CHECK(service.calls == 1);
    }
}

// Guards against a call that runs after its caller received an error or passed its own deadline.
TEST_CASE("a once-only call whose claim is confirmed after the deadline is not sent", "[caller]")
{
    scripted_service service(book);
    running_daemon daemon;
    set_service(daemon, {service.address()});
    daemon.state.stored.create_reply_delay = milliseconds(100);
    auto message = order("k1");
    message.headers.push_back({"x-rml-deadline-ms", "50"});
    const auto answer = daemon.call(message);
    CHECK(answer.status == 504);
    CHECK(outcome_of(answer) == "not-run");
    CHECK(settled_state(daemon) == "released");
    CHECK(service.calls == 0);
}

// Guards against a second run after a call with unknown outcome.
TEST_CASE("a once-only call that may have run has the outcome unknown, also when repeated", "[caller]")
{
    scripted_service service(GENERATE(
        raw_server::script(close_without_answer),
        raw_server::script([](const http::request&, raw_connection& connection) {
            connection.send(whole_answer("200 OK", "x-request-id: another\r\n", "booked for another"));
            return true;
        }),
        raw_server::script([](const http::request&, raw_connection& connection) {
            connection.send(
                whole_answer("503 Unavailable", "x-request-id: another\r\nx-not-run: true\r\n", ""));
            return true;
        }),
        raw_server::script([](const http::request& message, raw_connection& connection) {
            connection.send("HTTP/1.1 200 OK\r\ncontent-length: 50\r\nx-request-id: " +
                            request_id_of(message) + "\r\n\r\nboo");
            return false;
        })));
    scripted_service second(book);
    running_daemon daemon;
    // The second address must not receive the call.
    set_service(daemon, {service.address(), second.address()});
    const auto answer = daemon.call(order("k1"));
    CHECK(answer.status == 502);
    CHECK(outcome_of(answer) == "unknown");

    auto again = order("k1");
    again.headers.push_back({"x-rml-deadline-ms", "500"});
    const auto repeated = daemon.call(again);
    CHECK(repeated.status == 409);
    CHECK(outcome_of(repeated) == "unknown");
    CHECK(service.calls + second.calls == 1);
    CHECK(daemon.state.stored.state() == "claimed");
}

TEST_CASE("a once-only call that the service did not run is not-run and its key is released", "[caller]")
{
    running_daemon daemon;

    SECTION("refused by the service")
    {
        scripted_service refusing(refuse);
        set_service(daemon, {refusing.address()});
        const auto answer = daemon.call(order("k1"));
        CHECK(answer.status == 503);
        CHECK(outcome_of(answer) == "not-run");
        CHECK(refusing.calls == 1);
        CHECK(settled_state(daemon) == "released");
    }
    SECTION("no address reachable")
    {
        const closed_address first;
        const closed_address second;
        set_service(daemon, {first.address(), second.address()});
        const auto answer = daemon.call(order("k1"));
        CHECK(answer.status == 503);
        CHECK(outcome_of(answer) == "not-run");
        CHECK(settled_state(daemon) == "released");
    }
    scripted_service service(book);
    set_service(daemon, {service.address()});
    CHECK(daemon.call(order("k1")).status == 201);
    CHECK(service.calls == 1);
}

TEST_CASE("an unreachable address of a service is skipped", "[caller]")
{
    scripted_service service(book);
    running_daemon daemon;
    const closed_address closed;
    set_service(daemon, {closed.address(), service.address()});
    for (const char* key : {"k1", "k2", "k3", "k4"}) {
        CHECK(daemon.call(order(key)).status == 201);
    }
    CHECK(service.calls == 4);
}

TEST_CASE("a repeated call whose answer was too large to store is completed and does not run again",
          "[caller]")
{
    const std::string large(limits::claim_answer_bytes + 1, 'x');
    scripted_service service(book);
    running_daemon daemon;
    set_service(daemon, {service.address()});
    CHECK(daemon.call(order("k1", large)).body == "booked " + large);
    const auto again = daemon.call(order("k1", large));
    CHECK(again.status == 409);
    CHECK(outcome_of(again) == "completed");
    CHECK(service.calls == 1);
}

TEST_CASE("an answer is relayed and stored although the first store write fails", "[caller]")
{
    running_daemon daemon;
    const auto fault = GENERATE(fake_claims::fault::down, fake_claims::fault::reply_lost);
    // The claim is confirmed before the service runs, so the fault hits the write of the answer.
    scripted_service service([&](const http::request& message, raw_connection& connection) {
        daemon.state.stored.fail_next(fault);
        return book(message, connection);
    });
    set_service(daemon, {service.address()});
    CHECK(daemon.call(order("k1")).status == 201);
    CHECK(settled_state(daemon) == "done");
    CHECK(daemon.call(order("k1")).body == "booked oak");
    CHECK(service.calls == 1);
}

TEST_CASE("repeatable calls are retried at another address within the retry budget", "[caller]")
{
    scripted_service broken(close_without_answer);
    scripted_service service(book);
    running_daemon daemon;
    set_service(daemon, {broken.address(), service.address()});
    http::request message{"GET", "/services/office/list?x=1", {{"authorization", "Bearer secret"}}, ""};

    SECTION("with budget")
    {
        for (int i = 0; i < 4; ++i) {
            CHECK(daemon.call(message).status == 201);
        }
        CHECK(broken.calls == 2);
    }
    SECTION("without budget")
    {
        daemon.state.retry_tokens = 0;
        const auto answer = daemon.call(message);
        CHECK(answer.status == 502);
        CHECK(outcome_of(answer) == "unknown");
    }
    SECTION("a call of a stalled service ends at the timeout of the service")
    {
        scripted_service stalled([](const http::request&, raw_connection& connection) {
            connection.wait_closed();
            return false;
        });
        set_service(daemon, {stalled.address()}, milliseconds(200));
        const auto answer = daemon.call(message);
        CHECK(answer.status == 504);
        CHECK(outcome_of(answer) == "unknown");
    }
}
