#include "clients.hpp"
#include "standin/store_server.hpp"
#include "target/raw_server.hpp"

#include <boost/asio/spawn.hpp>
#include <boost/coroutine/attributes.hpp>
#include <catch2/catch.hpp>

using namespace rml;
using gateway::yield_context;

namespace {

constexpr milliseconds call_limit{5000};

class running_store
{
public:
    running_store()
        : server(create(this->context)), connections(this->context),
          client(site_wire::create_store_client(this->connections, this->server->local()))
    {
    }

    void run(const std::function<void(yield_context)>& steps)
    {
        boost::asio::spawn(
            this->context,
            [&](yield_context yield) {
                steps(yield);
                this->connections.clear();
                this->server->stop();
                this->context.stop();
            },
            boost::coroutines::attributes(256 * 1024));
        this->context.run();
    }
    static time_point deadline() { return steady_clock::now() + call_limit; }

    boost::asio::io_context context;
    std::unique_ptr<site_standin::store_server> server;
    target::connection_pool connections;
    std::unique_ptr<gateway::metadata_store> client;

private:
    static std::unique_ptr<site_standin::store_server> create(boost::asio::io_context& context)
    {
        auto created = site_standin::store_server::create(context, {"127.0.0.1", 0});
        REQUIRE(succeeded(created));
        return value(std::move(created));
    }
};

} // namespace

TEST_CASE("the store client follows the store's protocol", "[adapter][store_client]")
{
    running_store store;

    SECTION("binary values are read over several pages")
    {
        std::string bytes;
        for (int i = 0; i < 256; ++i) {
            bytes += static_cast<char>(i);
        }
        for (int i = 0; i < 45; ++i) {
            store.server->put("a/" + std::to_string(100 + i), bytes.substr(0, static_cast<std::size_t>(i)));
        }
        store.run([&](yield_context yield) {
            const auto read = store.client->read("a/", store.deadline(), yield);
            REQUIRE(succeeded(read));
            REQUIRE(value(read).items.size() == 45);
            for (int i = 0; i < 45; ++i) {
                CHECK(value(read).items[static_cast<std::size_t>(i)].value ==
                      bytes.substr(0, static_cast<std::size_t>(i)));
            }
        });
    }
    SECTION("a watch reports changes, removals and a discarded history")
    {
        store.run([&](yield_context yield) {
            const auto before = store.server->put("k", "1");
            store.server->put("k", "2");
            store.server->remove("k");
            const auto seen = store.client->watch("", before, milliseconds(100), store.deadline(), yield);
            REQUIRE(succeeded(seen));
            REQUIRE(value(seen).events.size() == 2);
            CHECK(value(seen).events[0].value == "2");
            CHECK_FALSE(value(seen).events[1].value);
            store.server->drop_history();
            const auto late = store.client->watch("", before, milliseconds(100), store.deadline(), yield);
            REQUIRE(failed(late));
            CHECK(error(late).kind == failure_kind::stale);
        });
    }
    SECTION("a condition that does not hold is a conflict")
    {
        store.run([&](yield_context yield) {
            gateway::store_commit change;
            change.expected.push_back({"own/x", 0});
            change.puts.push_back({"own/x", "1", 0});
            REQUIRE(succeeded(store.client->commit(change, store.deadline(), yield)));
            const auto again = store.client->commit(change, store.deadline(), yield);
            REQUIRE(failed(again));
            CHECK(error(again).kind == failure_kind::conflict);
        });
    }
    SECTION("a write whose answer is lost has an unknown outcome and is not refused")
    {
        // Guards against a manager that takes its commit for failed although it took effect.
        store.run([&](yield_context yield) {
            store.server->faults.lost_replies = 1;
            gateway::store_commit change;
            change.puts.push_back({"own/x", "1", 0});
            const auto lost = store.client->commit(change, store.deadline(), yield);
            REQUIRE(failed(lost));
            CHECK(error(lost).kind == failure_kind::outcome_unknown);
            CHECK(store.server->find("own/x") == "1");
        });
    }
    SECTION("keys are removed with their lease, and an ended lease cannot be renewed")
    {
        store.run([&](yield_context yield) {
            const auto lease = store.client->create_lease(milliseconds(1000), store.deadline(), yield);
            REQUIRE(succeeded(lease));
            gateway::store_commit change;
            change.puts.push_back({"own/x", "1", value(lease).id});
            REQUIRE(succeeded(store.client->commit(change, store.deadline(), yield)));
            REQUIRE(succeeded(store.client->renew_lease(value(lease).id, store.deadline(), yield)));
            REQUIRE(succeeded(store.client->end_lease(value(lease).id, store.deadline(), yield)));
            CHECK_FALSE(store.server->find("own/x"));
            const auto renewed = store.client->renew_lease(value(lease).id, store.deadline(), yield);
            REQUIRE(failed(renewed));
            CHECK(error(renewed).kind == failure_kind::lapsed);
        });
    }
    SECTION("an outage is reported as unavailable, not as a malformed answer")
    {
        store.run([&](yield_context yield) {
            store.server->faults.down = true;
            const auto read = store.client->read("", store.deadline(), yield);
            REQUIRE(failed(read));
            CHECK(error(read).kind == failure_kind::unavailable);
        });
    }
}

TEST_CASE("one timeout discards all idle connections to the store", "[adapter][store_client]")
{
    // Guards against a daemon that learns too late that targets are draining: all open connections to the
    // store had become unresponsive, and the read after a watch that timed out used another one of them.
    constexpr int unresponsive_connections = 3;
    std::atomic<int> answered{0};
    test::raw_server store([&](const http::request&, test::raw_connection& connection) {
        if (answered >= unresponsive_connections && connection.number <= unresponsive_connections) {
            connection.wait_closed();
            return false;
        }
        ++answered;
        while (answered < unresponsive_connections) {
            std::this_thread::sleep_for(milliseconds(1)); // so that each read uses its own connection
        }
        connection.send(
            test::whole_answer("200 OK", "", R"({"items":[],"truncated":false,"storeRevision":7})"));
        return true;
    });
    boost::asio::io_context context;
    target::connection_pool connections(context);
    const auto client = site_wire::create_store_client(connections, store.address());
    const auto read = [&](milliseconds limit, bool& good) {
        boost::asio::spawn(
            context,
            [&, limit](yield_context yield) {
                good = succeeded(client->read("", steady_clock::now() + limit, yield));
            },
            boost::coroutines::attributes(256 * 1024));
    };
    bool good[unresponsive_connections] = {};
    for (auto& each : good) {
        read(call_limit, each);
    }
    context.run();
    CHECK((good[0] && good[1] && good[2]));
    bool first = true;
    read(milliseconds(100), first);
    context.restart();
    context.run();
    CHECK_FALSE(first);
    bool second = false;
    read(milliseconds(2000), second);
    context.restart();
    context.run();
    CHECK(second);
    connections.clear();
}

TEST_CASE("a write that was sent over a broken idle connection is not reported as not sent",
          "[adapter][store_client]")
{
    test::raw_server* running = nullptr;
    test::raw_server store([&](const http::request& message, test::raw_connection& connection) {
        if (message.method == "POST") {
            running->refuse_connections();
            return false;
        }
        connection.send(
            test::whole_answer("200 OK", "", R"({"items":[],"truncated":false,"storeRevision":7})"));
        return true;
    });
    running = &store;
    boost::asio::io_context context;
    target::connection_pool connections(context);
    const auto client = site_wire::create_store_client(connections, store.address());
    result<std::uint64_t> written = failure{failure_kind::unavailable, "not started"};
    boost::asio::spawn(
        context,
        [&](yield_context yield) {
            REQUIRE(succeeded(client->read("", steady_clock::now() + call_limit, yield)));
            written = client->commit({}, steady_clock::now() + call_limit, yield);
        },
        boost::coroutines::attributes(256 * 1024));
    context.run();
    CHECK(store.accepted() == 1);
    REQUIRE(failed(written));
    CHECK(error(written).kind == failure_kind::outcome_unknown);
    connections.clear();
}

TEST_CASE("a write whose answer is malformed is not reported as without effect", "[adapter][store_client]")
{
    std::string answer;
    test::raw_server store([&](const http::request&, test::raw_connection& connection) {
        connection.send(answer);
        return true;
    });
    boost::asio::io_context context;
    target::connection_pool connections(context);
    const auto client = site_wire::create_store_client(connections, store.address());
    const auto check = [&] {
        boost::asio::spawn(
            context,
            [&](yield_context yield) {
                const auto deadline = steady_clock::now() + call_limit;
                const auto written = client->commit({}, deadline, yield);
                REQUIRE(failed(written));
                CHECK(error(written).kind == failure_kind::outcome_unknown);
                const auto created = client->create_lease(call_limit, deadline, yield);
                REQUIRE(failed(created));
                CHECK(error(created).kind == failure_kind::outcome_unknown);
                const auto read = client->read("", deadline, yield);
                REQUIRE(failed(read));
                CHECK(error(read).kind == failure_kind::malformed);
            },
            boost::coroutines::attributes(256 * 1024));
        context.run();
        connections.clear();
    };

    SECTION("its body is no document")
    {
        answer = test::whole_answer("200 OK", "", "x");
        check();
    }
    SECTION("its document is another one")
    {
        answer = test::whole_answer("200 OK", "", "[]");
        check();
    }
    SECTION("its status is none of the store's")
    {
        answer = test::whole_answer("500 Internal Server Error", "", "");
        check();
    }
}
