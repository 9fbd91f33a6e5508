#include "decision/client_limits.hpp"
#include "decision/random_source.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace rml;

namespace {

constexpr std::size_t kb = 1024;
constexpr time_point begin_time{seconds(100)};

using share_pointer = std::unique_ptr<client_limits::share>;

share_pointer connect(client_limits& clients, time_point now = begin_time)
{
    return std::make_unique<client_limits::share>(
        clients, client_address::caller, [](turn_away_reason) {}, now);
}

client_bounds small_bounds()
{
    client_bounds out;
    out.bytes = 1000 * kb;
    out.connections = {3, 3, 3, 3};
    return out;
}

} // namespace

// Guards against clients that are each within their limits and exhaust the process together.
TEST_CASE("clients that hold too much together give way one by one", "[client_limits]")
{
    client_limits clients(small_bounds());
    const auto small = connect(clients);
    const auto large = connect(clients);
    CHECK(small->hold(300 * kb, begin_time));
    CHECK(large->hold(600 * kb, begin_time));

    SECTION("of requests that arrive, the largest gives way")
    {
        CHECK(small->hold(400 * kb, begin_time));
        CHECK(large->turned_away());
        CHECK_FALSE(large->hold(kb, begin_time));
        CHECK(clients.turned_away().clients[0] == 1);
        CHECK(clients.turned_away().bytes[0] == 616 * kb);
    }
    SECTION("a client that has stopped half-way gives way before a larger one that goes on")
    {
        const auto later = begin_time + client_limits::stalled_time;
        large->record_progress(client_limits::progress_bytes, later);
        CHECK(large->hold(700 * kb, later));
        CHECK(small->turned_away());
    }
    SECTION("single bytes are no progress")
    {
        const auto later = begin_time + client_limits::stalled_time;
        small->record_progress(1, later);
        large->record_progress(client_limits::progress_bytes, later);
        CHECK(large->hold(700 * kb, later));
        CHECK(small->turned_away());
    }
    SECTION("a request that is handled stays, and the new one is refused")
    {
        CHECK(large->admit(600 * kb, begin_time));
        const auto late = connect(clients);
        CHECK_FALSE(late->hold(400 * kb, begin_time));
        CHECK_FALSE(small->turned_away());
        CHECK_FALSE(large->turned_away());
    }
    SECTION("an answer that nobody reads gives way to a request, a fresh one does not")
    {
        CHECK(large->admit(500 * kb, begin_time));
        large->begin_answer(100 * kb, begin_time);
        const auto later = begin_time + client_limits::stalled_time;
        const auto late = connect(clients, later);
        SECTION("unread")
        {
            small->record_progress(client_limits::progress_bytes, later);
            CHECK(late->hold(200 * kb, later));
            CHECK(large->turned_away());
        }
        SECTION("being read")
        {
            large->record_progress(client_limits::progress_bytes, later);
            small->record_progress(client_limits::progress_bytes, later);
            CHECK(late->hold(200 * kb, later));
            CHECK(small->turned_away());
            CHECK_FALSE(large->turned_away());
        }
    }
}

TEST_CASE("a new connection takes the place of a stalled one", "[client_limits]")
{
    client_limits clients(small_bounds());
    const auto handled = connect(clients);
    CHECK(handled->admit(kb, begin_time));
    const auto first = connect(clients);
    const auto second = connect(clients, begin_time + milliseconds(1));
    CHECK_FALSE(clients.accept(client_address::caller, begin_time));
    CHECK(clients.accept(client_address::readiness, begin_time));
    CHECK(clients.accept(client_address::caller, begin_time + seconds(2)));
    CHECK(first->turned_away());
    CHECK_FALSE(second->turned_away());
    CHECK_FALSE(handled->turned_away());
}

TEST_CASE("the bounds of clients follow from the machine", "[client_limits]")
{
    constexpr std::uint64_t mb = 1024 * 1024;
    SECTION("without known limits of the machine, clients are not limited by memory")
    {
        const auto bounds = bounds_for({});
        CHECK(bounds.connections[0] == limits::http_connections);
        CHECK(bounds.bytes > limits::http_connections * limits::http_body_bytes * 16);
    }
    SECTION("connections fit the memory and leave descriptors for the process itself")
    {
        const auto bounds = bounds_for({160 * mb, 4100});
        std::size_t connections = 0;
        for (const auto count : bounds.connections) {
            connections += count;
        }
        CHECK(connections * client_limits::connection_bytes < bounds.bytes);
        CHECK(bounds.bytes < 160 * mb / 2);
        CHECK(connections + bounds.refused_connections < 4100 * 4 / 5);
    }
    SECTION("the smallest machine takes a request of the largest size")
    {
        client_limits clients(bounds_for({64 * mb, 128}));
        const auto only = connect(clients);
        CHECK(only->hold(limits::http_body_bytes, begin_time));
        CHECK(only->admit(3 * limits::http_body_bytes, begin_time));
    }
}

TEST_CASE("what clients hold stays within the bound in every order of events", "[client_limits]")
{
    CHECK(rc::check("while no answer waits", [] {
        random_source random;
        client_limits clients(small_bounds());
        struct connection
        {
            share_pointer share;
            bool admitted{false};
        };
        std::vector<connection> open;
        auto now = begin_time;
        for (int i = 0; i < 200; ++i) {
            now += milliseconds(random.below(700));
            const auto step = random.below(6);
            if (open.empty() || step == 0) {
                open.push_back({connect(clients, now)});
                continue;
            }
            const auto at = random.below(open.size());
            auto& [share, admitted] = open[at];
            if (step == 1) {
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
            } else if (admitted) {
                share->end_request(now);
                admitted = false;
            } else if (step == 2) {
                admitted = share->admit(random.below(900) * kb, now);
            } else {
                share->hold(random.below(900) * kb, now);
            }
            RC_ASSERT(clients.held() <= small_bounds().bytes + open.size() * client_limits::connection_bytes);
        }
        open.clear();
        RC_ASSERT(clients.held() == 0U);
    }));
}
