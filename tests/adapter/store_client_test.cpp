#include "clients.hpp"
#include "gateway/store_position.hpp"
#include "standin/store_server.hpp"
#include "target/raw_server.hpp"

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
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

TEST_CASE("positions rise when the store returns from an older copy",
          "[adapter][store_client][store_position]")
{
    running_store store;
    std::vector<std::uint64_t> eras;
    store.client->on_era = [&](std::uint64_t start) { eras.push_back(start); };
    const auto write = [&](yield_context yield, const std::string& key, std::uint64_t expected = 0) {
        gateway::store_commit change;
        if (expected != 0) {
            change.expected.push_back({key, expected});
        }
        change.puts.push_back({key, "1", 0});
        return store.client->commit(change, store.deadline(), yield);
    };

    SECTION("a store without eras has plain revisions")
    {
        // Guards against epochs that change for deployments whose store does not announce eras.
        store.run([&](yield_context yield) {
            const auto at = store.server->put("a", "1");
            const auto read = store.client->read("", store.deadline(), yield);
            REQUIRE(succeeded(read));
            CHECK(value(read).revision == at);
            CHECK(eras == std::vector<std::uint64_t>{0});
        });
    }
    SECTION("later writes are gone, and all revisions of the new era are higher")
    {
        store.run([&](yield_context yield) {
            store.server->put("a", "1");
            store.server->save_copy();
            const auto before = write(yield, "own/b");
            REQUIRE(succeeded(before));
            REQUIRE(succeeded(write(yield, "own/c")));
            store.server->return_to_copy();
            const auto read = store.client->read("", store.deadline(), yield);
            REQUIRE(succeeded(read));
            CHECK(value(read).items.size() == 1);
            CHECK(value(read).items[0].revision > value(before));
            const auto after = write(yield, "own/d");
            REQUIRE(succeeded(after));
            CHECK(value(after) > value(read).revision);
            CHECK(eras.back() == gateway::era_start(value(after)));
        });
    }
    SECTION("a watch from the old era does not continue in the new one")
    {
        // Guards against changes that are missed because the store has given out the revision again.
        store.run([&](yield_context yield) {
            store.server->save_copy();
            const auto seen = write(yield, "own/a");
            REQUIRE(succeeded(seen));
            store.server->return_to_copy();
            const auto gone = store.client->watch("", value(seen), milliseconds(50), store.deadline(), yield);
            REQUIRE(failed(gone));
            CHECK(error(gone).kind == failure_kind::stale);
            CHECK(eras.back() != 0);
            store.server->put("x", "1");
            store.server->put("y", "1");
            const auto again =
                store.client->watch("", value(seen), milliseconds(50), store.deadline(), yield);
            REQUIRE(failed(again));
            CHECK(error(again).kind == failure_kind::stale);
        });
    }
    SECTION("a watch whose first answer is of the new era is stale")
    {
        store.run([&](yield_context yield) {
            store.server->save_copy();
            const auto seen = write(yield, "own/a");
            REQUIRE(succeeded(seen));
            store.server->return_to_copy();
            store.server->put("x", "1");
            store.server->put("y", "1");
            const auto gone = store.client->watch("", value(seen), milliseconds(50), store.deadline(), yield);
            REQUIRE(failed(gone));
            CHECK(error(gone).kind == failure_kind::stale);
        });
    }
    SECTION("a condition on a revision of the old era does not hold")
    {
        store.run([&](yield_context yield) {
            store.server->save_copy();
            const auto old = write(yield, "own/a");
            REQUIRE(succeeded(old));
            store.server->return_to_copy();
            const auto other = store.server->put("own/a", "of another writer"); // gets the same revision
            CHECK(gateway::unpack_position(value(old)).revision == other);

            SECTION("it is not sent once the era is known")
            {
                REQUIRE(succeeded(store.client->read("", store.deadline(), yield)));
                const auto calls = store.client->calls();
                const auto written = write(yield, "own/a", value(old));
                REQUIRE(failed(written));
                CHECK(error(written).kind == failure_kind::conflict);
                CHECK(store.client->calls() == calls);
                CHECK(store.server->find("own/a") == "of another writer");
            }
            SECTION("before, its outcome is unknown")
            {
                const auto written = write(yield, "own/a", value(old));
                REQUIRE(failed(written));
                CHECK(error(written).kind == failure_kind::outcome_unknown);
            }
        });
    }
    SECTION("a late answer of the old era says nothing")
    {
        // Guards against a manager that takes a lost write for its lease.
        store.run([&](yield_context yield) {
            store.server->save_copy();
            store.server->faults.late_replies = 1;
            store.server->faults.reply_delay = milliseconds(200);
            std::optional<result<std::uint64_t>> late;
            boost::asio::spawn(
                store.context, [&](yield_context other) { late = write(other, "own/a"); },
                boost::coroutines::attributes(256 * 1024));
            boost::asio::steady_timer timer(store.context, milliseconds(50));
            timer.async_wait(yield);
            store.server->return_to_copy();
            REQUIRE(succeeded(store.client->read("", store.deadline(), yield)));
            timer.expires_after(milliseconds(400));
            timer.async_wait(yield);
            REQUIRE(late.has_value());
            REQUIRE(failed(*late));
            CHECK(error(*late).kind == failure_kind::outcome_unknown);
        });
    }
    SECTION("refusals and lease calls announce the era as well")
    {
        store.run([&](yield_context yield) {
            store.server->save_copy();
            const auto lease = store.client->create_lease(milliseconds(1000), store.deadline(), yield);
            REQUIRE(succeeded(lease));
            store.server->return_to_copy();

            SECTION("a renewal of a lease that is gone")
            {
                const auto renewed = store.client->renew_lease(value(lease).id, store.deadline(), yield);
                REQUIRE(failed(renewed));
                CHECK(error(renewed).kind == failure_kind::lapsed);
            }
            SECTION("an answer of a store that is down")
            {
                store.server->faults.down = true;
                CHECK(failed(store.client->read("", store.deadline(), yield)));
            }
            CHECK(eras.back() != 0);
        });
    }
    SECTION("an era out of range is a failure and never a lower position")
    {
        store.run([&](yield_context yield) {
            const auto at = write(yield, "own/a");
            REQUIRE(succeeded(at));
            store.server->era = gateway::detail::max_position_era + 1;
            const auto read = store.client->read("", store.deadline(), yield);
            REQUIRE(failed(read));
            CHECK(error(read).kind == failure_kind::too_large);
            const auto written = write(yield, "own/a");
            REQUIRE(failed(written));
            CHECK(error(written).kind == failure_kind::outcome_unknown);
            CHECK(eras.back() == 0);
        });
    }
}

TEST_CASE("a revision out of range is a failure", "[adapter][store_client][store_position]")
{
    // Guards against a revision that overflows into the era and makes all later ones seem old.
    const std::uint64_t largest = gateway::detail::max_position_revision;
    CHECK(succeeded(gateway::pack_position({gateway::detail::max_position_era, largest})));
    const auto beyond = gateway::pack_position({0, largest + 1});
    REQUIRE(failed(beyond));
    CHECK(error(beyond).kind == failure_kind::too_large);
    CHECK(value(gateway::pack_position({1, 0})) > value(gateway::pack_position({0, largest})));
    const auto last = value(gateway::pack_position({gateway::detail::max_position_era, largest}));
    CHECK((last << 16U) >> 16U == last); // an epoch holds it
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
