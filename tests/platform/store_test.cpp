#include "http/executor.hpp"
#include "platform/platform.hpp"
#include "standin/kv.hpp"
#include "standin/scenario.hpp"

#include <boost/asio/steady_timer.hpp>

using namespace rml;
using platform::lease_id;
using platform::write_once_request;
using test::soon;

namespace {

class store_fixture
{
public:
    store_fixture()
    {
        auto created = standin::kv_server::create(this->context, {"127.0.0.1", 0});
        REQUIRE(succeeded(created));
        this->server = value(std::move(created));
        this->store = platform::create_http_store(this->context, this->server->local());
    }

    void faults(const nlohmann::json& wanted, http::yield_context yield)
    {
        test::update_faults(this->context, this->server->local(), wanted, yield);
    }

    nlohmann::json server_stats(http::yield_context yield)
    {
        return test::read_json(this->context, this->server->local(), "/stats", yield);
    }

    boost::asio::io_context context;
    std::unique_ptr<standin::kv_server> server;
    std::unique_ptr<platform::key_value_store> store;
};

const lease_id no_lease;

write_once_request attempt(const std::string& key, const std::string& id, std::uint64_t expected)
{
    return {key, "by " + id, expected, no_lease,
            [id](const std::string& value) { return value == "by " + id; }};
}

/// Polls until the condition holds. The number of polls is bounded, the wall time is not.
void wait_until(const std::function<bool()>& condition, http::yield_context yield)
{
    constexpr int polls = 2000;
    for (int poll = 0; poll < polls && !condition(); ++poll) {
        boost::asio::steady_timer timer(http::executor_of(yield), milliseconds(5));
        timer.async_wait(yield);
    }
    REQUIRE(condition());
}

} // namespace

TEST_CASE("compare-and-swap accepts one of several writers", "[platform]")
{
    store_fixture fixture;
    auto& store = *fixture.store;
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        REQUIRE(succeeded(store.get("plan/a", soon(), yield)));
        CHECK_FALSE(value(store.get("plan/a", soon(), yield)).has_value());

        const auto first = store.create("plan/a", "one", no_lease, soon(), yield);
        REQUIRE(succeeded(first));
        const auto second = store.create("plan/a", "two", no_lease, soon(), yield);
        REQUIRE(failed(second));
        CHECK(error(second).kind == failure_kind::conflict);

        const auto third = store.update("plan/a", "three", value(first), no_lease, soon(), yield);
        REQUIRE(succeeded(third));
        CHECK(value(third) > value(first));
        const auto late = store.update("plan/a", "four", value(first), no_lease, soon(), yield);
        REQUIRE(failed(late));
        CHECK(error(late).kind == failure_kind::conflict);

        const auto read = store.get("plan/a", soon(), yield);
        REQUIRE(succeeded(read));
        CHECK(value(read)->value == "three");
        CHECK(value(read)->revision == value(third));

        const auto keys = store.list("plan/", soon(), yield);
        REQUIRE(succeeded(keys));
        REQUIRE(value(keys).size() == 1);
        CHECK(value(keys)[0].key == "plan/a");

        CHECK(error(store.destroy("plan/a", value(first), soon(), yield)).kind == failure_kind::conflict);
        CHECK(succeeded(store.destroy("plan/a", value(third), soon(), yield)));
        CHECK_FALSE(value(store.get("plan/a", soon(), yield)).has_value());

        // Guards against a new connection for each call, which the store's request rates do not permit.
        CHECK(store.stats().connections == 1);
    });
}

TEST_CASE("concurrent writers of one revision: exactly one wins", "[platform]")
{
    store_fixture fixture;
    constexpr int writers = 8;
    int finished = 0;
    int won = 0;
    for (int writer = 0; writer < writers; ++writer) {
        boost::asio::spawn(fixture.context, [&, writer](http::yield_context yield) {
            const auto written = platform::write_once(
                *fixture.store, attempt("head", std::to_string(writer), 0), soon(), yield);
            won += succeeded(written) ? 1 : 0;
            if (failed(written)) {
                CHECK(error(written).kind == failure_kind::conflict);
            }
            ++finished;
        });
    }
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        wait_until([&] { return finished == writers; }, yield);
    });
    CHECK(won == 1);
}

TEST_CASE("a write whose reply is lost is resolved by reading back", "[platform]")
{
    store_fixture fixture;
    auto& store = *fixture.store;
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        fixture.faults({{"lose_replies", 1}}, yield);
        const auto plain = store.create("plan/a", "x", no_lease, soon(), yield);
        REQUIRE(failed(plain));
        CHECK(error(plain).kind == failure_kind::outcome_unknown);
        CHECK(value(store.get("plan/a", soon(), yield)).has_value());

        SECTION("write_once returns the revision of its own write and writes once")
        {
            fixture.faults({{"lose_replies", 1}}, yield);
            const auto before = store.stats().writes;
            const auto written =
                platform::write_once(store, attempt("plan/b", "attempt-1", 0), soon(), yield);
            REQUIRE(succeeded(written));
            CHECK(store.stats().writes == before + 1);
            CHECK(value(written) == value(store.get("plan/b", soon(), yield))->revision);
        }

        SECTION("another writer's value without a lost reply is a conflict")
        {
            const auto written =
                platform::write_once(store, attempt("plan/a", "attempt-1", 0), soon(), yield);
            REQUIRE(failed(written));
            CHECK(error(written).kind == failure_kind::conflict);
        }

        SECTION("a store without valid replies leaves the outcome unknown, never a conflict")
        {
            fixture.faults({{"lose_replies", true}, {"garbled", true}}, yield);
            const auto written =
                platform::write_once(store, attempt("plan/c", "attempt-1", 0), soon(), yield);
            REQUIRE(failed(written));
            CHECK(error(written).kind == failure_kind::outcome_unknown);
        }
    });
}

TEST_CASE("the kind of a store failure shows whether something was written", "[platform]")
{
    store_fixture fixture;
    auto& store = *fixture.store;
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        SECTION("503: nothing was written")
        {
            fixture.faults({{"unavailable", true}}, yield);
            CHECK(error(store.create("a", "x", no_lease, soon(), yield)).kind == failure_kind::unavailable);
            CHECK(error(store.get("a", soon(), yield)).kind == failure_kind::unavailable);
        }
        SECTION("a refused connection: nothing was written")
        {
            const auto unreachable = platform::create_http_store(fixture.context, {"127.0.0.1", 1});
            CHECK(error(unreachable->create("a", "x", no_lease, soon(), yield)).kind ==
                  failure_kind::connection_refused);
        }
        SECTION("a dropped connection: reads are broken, writes unknown")
        {
            fixture.faults({{"down", true}}, yield);
            CHECK(error(store.get("a", soon(), yield)).kind == failure_kind::connection_broken);
            CHECK(error(store.create("a", "x", no_lease, soon(), yield)).kind ==
                  failure_kind::outcome_unknown);
        }
        SECTION("a store that is slower than the deadline: reads time out, writes are unknown")
        {
            fixture.faults({{"slow_ms", 400}}, yield);
            const auto short_deadline = [] { return steady_clock::now() + milliseconds(50); };
            CHECK(error(store.get("a", short_deadline(), yield)).kind == failure_kind::timeout);
            CHECK(error(store.create("a", "x", no_lease, short_deadline(), yield)).kind ==
                  failure_kind::outcome_unknown);
        }
        SECTION("malformed answers")
        {
            fixture.faults({{"garbled", true}}, yield);
            CHECK(error(store.get("a", soon(), yield)).kind == failure_kind::malformed);
            CHECK(error(store.list("a", soon(), yield)).kind == failure_kind::malformed);
            CHECK(error(store.watch("a", 0, milliseconds(0), soon(), yield)).kind == failure_kind::malformed);
            CHECK(error(store.create("a", "x", no_lease, soon(), yield)).kind ==
                  failure_kind::outcome_unknown);
            CHECK(error(store.create_lease(milliseconds(1000), soon(), yield)).kind ==
                  failure_kind::outcome_unknown);
        }
        SECTION("keys and values outside the format are refused before they are sent")
        {
            CHECK(error(store.get("a b", soon(), yield)).kind == failure_kind::refused);
            CHECK(error(store.create("a?expect=1", "x", no_lease, soon(), yield)).kind ==
                  failure_kind::refused);
            const std::string large(1024 * 1024 + 1, 'x');
            CHECK(error(store.create("a", large, no_lease, soon(), yield)).kind == failure_kind::too_large);
            CHECK(store.stats().writes == 0);
        }
    });
}

TEST_CASE("a lease that is not renewed lapses and its keys are deleted", "[platform]")
{
    store_fixture fixture;
    auto& store = *fixture.store;
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        const auto lease = store.create_lease(milliseconds(150), soon(), yield);
        REQUIRE(succeeded(lease));
        REQUIRE(succeeded(store.create("duty/a", "me", value(lease), soon(), yield)));
        CHECK(succeeded(store.renew_lease(value(lease), soon(), yield)));
        const auto held = store.get("duty/a", soon(), yield);
        REQUIRE(value(held).has_value());

        // A paused holder: the watch notifies the next candidate, and the failed renewal notifies the holder.
        const auto seen = store.watch("duty/a", value(held)->revision, milliseconds(10000), soon(), yield);
        REQUIRE(succeeded(seen));
        CHECK(value(seen).changed);
        CHECK_FALSE(value(seen).record.has_value());
        CHECK(value(seen).revision > value(held)->revision);
        CHECK(error(store.renew_lease(value(lease), soon(), yield)).kind == failure_kind::lapsed);
        CHECK(error(store.create("duty/b", "me", value(lease), soon(), yield)).kind == failure_kind::lapsed);
        CHECK(succeeded(store.create("duty/a", "other", no_lease, soon(), yield)));
    });
}

TEST_CASE("a watch returns on a change or after its wait, and a hung watch ends at the deadline",
          "[platform]")
{
    store_fixture fixture;
    auto& store = *fixture.store;
    test::run_scenario(fixture.context, [&](http::yield_context yield) {
        const auto unchanged = store.watch("config/head", 0, milliseconds(20), soon(), yield);
        REQUIRE(succeeded(unchanged));
        CHECK_FALSE(value(unchanged).changed);

        SECTION("a change ends the watch")
        {
            bool written = false;
            boost::asio::spawn(fixture.context, [&](http::yield_context inner) {
                wait_until([&] { return fixture.server_stats(inner).at("watches_waiting") == 1; }, inner);
                written = succeeded(store.create("config/head", "1", no_lease, soon(), inner));
            });
            const auto seen = store.watch("config/head", 0, milliseconds(15000), soon(), yield);
            REQUIRE(succeeded(seen));
            REQUIRE(value(seen).changed);
            CHECK(value(seen).record->value == "1");
            wait_until([&] { return written; }, yield);
        }
        SECTION("a hung watch ends with a timeout although the key changed")
        {
            fixture.faults({{"hang_watches", true}}, yield);
            REQUIRE(succeeded(store.create("config/head", "1", no_lease, soon(), yield)));
            const auto limit = steady_clock::now() + milliseconds(100);
            CHECK(error(store.watch("config/head", 0, milliseconds(50), limit, yield)).kind ==
                  failure_kind::timeout);
            const auto read = store.get("config/head", soon(), yield);
            REQUIRE(succeeded(read));
            CHECK(value(read)->value == "1");
        }
    });
}
