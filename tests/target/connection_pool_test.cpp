#include "base/limits.hpp"
#include "target/connection_pool.hpp"
#include "target/raw_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <functional>
#include <list>
#include <sys/resource.h>

using namespace rml;
using namespace rml::test;
using namespace rml::target;

namespace {

constexpr milliseconds call_limit{5000};
/// Ends a wait for the kernel to deliver the end of a connection.
constexpr int longest_wait = 5000;

std::size_t open_descriptors()
{
    const std::filesystem::directory_iterator open("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

bool answer_ok(const http::request&, raw_connection& connection)
{
    connection.send(whole_answer("200 OK", "", "answer"));
    return true;
}

/// Makes calls over a pool, several at a time.
class pool_user
{
public:
    ~pool_user() { this->pool.clear(); }

    /// Exchanges one request over a pooled or a new connection; returns the failure of opening it, if any.
    std::optional<failure> call(const endpoint& remote, connection_use use, yield_context yield)
    {
        const auto deadline = steady_clock::now() + call_limit;
        auto bound = this->pool.take_idle(remote, std::nullopt);
        if (!bound.connection) {
            auto opened = this->pool.open(remote, deadline, yield, use);
            if (failed(opened)) {
                return error(opened);
            }
            bound.connection = value(std::move(opened));
        }
        const auto answer = bound.connection->exchange({"GET", "/", {}, {}}, deadline, yield);
        CHECK(succeeded(answer));
        this->pool.give_back(remote, std::move(bound));
        return std::nullopt;
    }
    /// That many calls at the same time. Returns how many could not open a connection.
    int call_together(const endpoint& remote, int count, connection_use use = connection_use::request)
    {
        int refused = 0;
        for (int i = 0; i < count; ++i) {
            boost::asio::spawn(this->context, [&](yield_context yield) {
                refused += this->call(remote, use, yield) ? 1 : 0;
            });
        }
        this->context.run();
        this->context.restart();
        return refused;
    }
    /// Checks the idle connections until none is left, without letting them grow old.
    bool expires_all()
    {
        const auto now = steady_clock::now();
        for (int i = 0; i < longest_wait && this->pool.idle() != 0; ++i) {
            this->pool.expire(now);
            std::this_thread::sleep_for(milliseconds(1));
        }
        return this->pool.idle() == 0;
    }
    std::uint64_t discarded(discard_reason reason) const
    {
        return this->pool.stats().discarded_by[static_cast<std::size_t>(reason)];
    }

    boost::asio::io_context context;
    connection_pool pool{context};
};

} // namespace

TEST_CASE("connections to targets that end do not stay open", "[target][pool]")
{
    // Guards against a process that has no descriptor left after some hundred targets were replaced: nothing
    // asks for connections to the address of a target that is gone.
    constexpr int generations = 30;
    constexpr int calls = 8;
    pool_user user;
    {
        raw_server target(answer_ok); // opens what the process keeps
        user.call_together(target.address(), 1);
    }
    REQUIRE(user.expires_all());
    const auto before = open_descriptors();

    SECTION("when the targets close them")
    {
        std::size_t most = 0;
        for (int i = 0; i < generations; ++i) {
            raw_server target(answer_ok);
            user.call_together(target.address(), calls);
            most = std::max(most, user.pool.open_connections());
            target.end_process();
            REQUIRE(user.expires_all());
        }
        CHECK(most <= calls);
        CHECK(open_descriptors() == before);
        CHECK(user.pool.open_connections() == 0);
        CHECK(user.discarded(discard_reason::ended_by_peer) == generations * calls + 1);
    }
    SECTION("when the targets are silent, after the longest idle time")
    {
        std::list<raw_server> targets;
        for (int i = 0; i < generations; ++i) {
            user.call_together(targets.emplace_back(answer_ok).address(), calls);
        }
        const auto soon = steady_clock::now() + limits::target_idle_check;
        user.pool.expire(soon);
        CHECK(user.pool.idle() == generations * calls);
        user.pool.expire(soon + limits::target_idle_time);
        CHECK(user.pool.idle() == 0);
        CHECK(user.pool.open_connections() == 0);
        CHECK(user.discarded(discard_reason::idle_time) == generations * calls);
    }
    SECTION("when it is known that the target has left")
    {
        raw_server leaving(answer_ok);
        raw_server staying(answer_ok);
        user.call_together(leaving.address(), calls);
        user.call_together(staying.address(), calls);
        user.pool.clear(leaving.address());
        CHECK(user.pool.open_connections() == calls);
        CHECK(user.call_together(staying.address(), calls) == 0);
        CHECK(user.pool.stats().reused == calls);
    }
}

TEST_CASE("a check of idle connections closes none that may still be used", "[target][pool]")
{
    // Guards against more new connections in calm, and against requests on a connection that is being closed.
    constexpr int calls = 8;
    raw_server target(answer_ok);
    pool_user user;
    for (int i = 0; i < 10; ++i) {
        CHECK(user.call_together(target.address(), calls) == 0);
        user.pool.expire(steady_clock::now() + i * limits::target_idle_check);
    }
    CHECK(user.pool.stats().opened == calls);
    CHECK(user.pool.stats().reused == 9 * calls);
    CHECK(target.accepted() == calls);
}

TEST_CASE("connections to all targets together stay within their limits", "[target][pool]")
{
    // Guards against idle connections to many targets, each within the limit of one target, that take the
    // descriptors of callers and of the store.
    raw_server first(answer_ok);
    raw_server second(answer_ok);
    pool_user user;

    SECTION("the connection that was idle for longest gives way")
    {
        user.pool.update_limits({6, 100});
        user.call_together(first.address(), 4);
        user.call_together(second.address(), 4);
        CHECK(user.pool.idle() == 6);
        user.call_together(second.address(), 4);
        CHECK(second.accepted() == 4);
        CHECK(user.discarded(discard_reason::surplus) == 2);
    }
    SECTION("an idle connection to another target gives way to a new one")
    {
        user.pool.update_limits({6, 6});
        user.call_together(first.address(), 6);
        CHECK(user.call_together(second.address(), 4) == 0);
        CHECK(user.pool.open_connections() == 6);
    }
    SECTION("requests beyond the limit are not sent, status reads are")
    {
        user.pool.update_limits({6, 6});
        CHECK(user.call_together(first.address(), 9) == 3);
        CHECK(user.pool.stats().refused == 3);
        user.pool.clear();
        CHECK(user.call_together(first.address(), 9, connection_use::control) == 0);
    }
    SECTION("a limit that is lowered closes idle connections at once")
    {
        user.call_together(first.address(), 8);
        user.pool.update_limits({6});
        CHECK(user.pool.open_connections() == 6);
        user.pool.update_limits({8, 4});
        CHECK(user.pool.open_connections() == 4);
        CHECK(user.call_together(second.address(), 1) == 0);
        CHECK(user.pool.open_connections() == 4);
    }
}

TEST_CASE("a process without descriptors does not blame the target", "[target][pool]")
{
    // Guards against targets that are avoided or taken for lost because this process can open no socket.
    raw_server target(answer_ok);
    pool_user user;
    user.call_together(target.address(), 1);
    user.pool.clear();
    rlimit usual{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &usual) == 0);
    rlimit none = usual;
    none.rlim_cur = 0;
    std::optional<failure> seen;
    boost::asio::spawn(user.context, [&](yield_context yield) {
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
        seen = user.call(target.address(), connection_use::control, yield);
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &usual) == 0);
    });
    user.context.run();
    REQUIRE(seen);
    CHECK(seen->kind == failure_kind::unavailable);
}
