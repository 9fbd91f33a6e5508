#include "gateway/forwarding_site.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using namespace rml::test;

namespace {

const instance_id limited("limited");
/// One request in 10 s, so that a slow test run stays within one window.
const std::string low_limit = "x-limit: 0.1\r\n";
constexpr double low_rate = 0.1;
constexpr int requests_sent = 6;

int answered(forwarding_site& site, const std::string& path)
{
    int out = 0;
    for (int i = 0; i < requests_sent; ++i) {
        out += site.send(path, "r" + std::to_string(i)).answer.status == 200 ? 1 : 0;
    }
    return out;
}

gateway::request_limit_notice notice_of(std::optional<double> requests_per_s, milliseconds age)
{
    return {{limited, 1}, requests_per_s, age};
}

} // namespace

// Guards against a target that gets more requests than it has said that it takes.
TEST_CASE("a target that states a limit on its requests gets no more than that", "[gateway][request_limit]")
{
    forwarding_site site;
    site.fleet.peers_settled = true;
    auto target = sound_target(low_limit);
    site.add_target(limited.str(), target.address());
    CHECK(site.send("/stock/1", "first").answer.status == 200);
    CHECK(site.fleet.request_limits(steady_clock::now()).size() == 1);

    SECTION("and the caller is refused when no other target is left")
    {
        CHECK(answered(site, "/stock/1") == 0);
        CHECK(target.requests() == 1);
    }
    SECTION("and other targets get the rest, also of requests that must not run twice")
    {
        auto other = sound_target();
        site.add_target("other", other.address());
        CHECK(answered(site, "/orders/1") == requests_sent);
        CHECK(target.requests() == 1);
    }
    SECTION("and a repeat counts as well")
    {
        answering_target refusing("503 Unavailable", "x-not-executed: 1\r\n");
        site.add_target("refusing", refusing.address());
        answered(site, "/stock/1");
        CHECK(target.requests() == 1);
    }
    SECTION("until another incarnation registers")
    {
        site.fleet.update_target(entry_of(limited.str(), target.address(), 2), steady_clock::now());
        CHECK_FALSE(site.fleet.find_target(limited)->limit.latest());
    }
}

// Guards against daemons that fill the slots of a target before its first answer names a limit, and then use
// their whole part of the limit within the same 4 s.
TEST_CASE("requests that are open when a target first states its limit count", "[gateway][request_limit]")
{
    constexpr int together = 4; // as many as the target has slots
    forwarding_site site;
    site.ticks = true;
    site.fleet.peers_settled = true;

    SECTION("those whose answers name it")
    {
        auto target = sound_target(low_limit);
        site.add_target(limited.str(), target.address());
        site.send_together("/stock/1", together);
        REQUIRE(target.requests() == together);
        CHECK(answered(site, "/stock/1") == 0);
        CHECK(target.requests() == together);
    }
    SECTION("not those that were answered without it before")
    {
        auto target = sound_target();
        site.add_target(limited.str(), target.address());
        site.send_together("/stock/1", together);
        REQUIRE(target.requests() == together);
        site.fleet.record_request_limit(notice_of(low_rate, milliseconds(0)), steady_clock::now());
        const auto first = site.send("/stock/1", "first").answer.status;
        CHECK(first == 200);
    }
}

// Guards against a burst at a limited target after the restart of a daemon, which does not know the limit yet
// and would fill all free slots before the first answer names it.
TEST_CASE("a daemon that has just started sends a target one request until it knows about its limit",
          "[gateway][request_limit]")
{
    forwarding_site site;
    site.ticks = true;
    constexpr int together = 4; // as many as the target has slots

    SECTION("a target that states a limit gets one request of each life of a daemon")
    {
        constexpr int lives = 3;
        auto target = sound_target(low_limit);
        for (int life = 0; life < lives; ++life) {
            forwarding_site restarted;
            restarted.ticks = true;
            restarted.add_target(limited.str(), target.address());
            restarted.send_together("/stock/1", together);
            CHECK(answered(restarted, "/stock/1") == 0); // the request that was sent counts
        }
        CHECK(target.requests() == lives);
    }
    SECTION("a target that states none gets all others after its first answer")
    {
        auto target = sound_target();
        site.add_target(limited.str(), target.address());
        CHECK(site.send("/stock/1", "first").answer.status == 200);
        site.send_together("/stock/1", together);
        CHECK(target.requests() == 1 + together);
    }
    SECTION("requests that wait for the first answer are served after it")
    {
        auto target = sound_target();
        site.add_target(limited.str(), target.address());
        site.send_together("/stock/1", together);
        CHECK(target.requests() == together);
    }
    SECTION("a repeat waits for the first answer when no other target is left")
    {
        // Guards against refusals beside targets that are idle but for their first requests.
        answering_target refusing("503 Unavailable", "x-not-executed: 1\r\n");
        raw_server slow([](const http::request& message, raw_connection& connection) {
            std::this_thread::sleep_for(milliseconds(150));
            connection.send(real_answer(run_record::id_of(message)));
            return true;
        });
        site.add_target("refusing", refusing.address());
        site.add_target(limited.str(), slow.address());
        site.send_together("/stock/1", together);
        CHECK(site.refused() == 0);
    }
    SECTION("a refusal, which need not name the limit, is no such answer, but lets the next request go")
    {
        answering_target refusing("503 Unavailable", "x-not-executed: 1\r\n");
        site.add_target(limited.str(), refusing.address());
        CHECK(answered(site, "/stock/1") == 0);
        CHECK(refusing.requests() == requests_sent);
        CHECK(site.fleet.limit_unknown(*site.fleet.find_target(limited)));
    }
    SECTION("a connection that cannot be opened lets the next request go")
    {
        site.add_target(limited.str(), {"127.0.0.1", 1});
        CHECK(site.send("/stock/1", "first").answer.status == 503);
        CHECK(site.fleet.find_target(limited)->first_requests == 0);
    }
    SECTION("what another daemon says about the target ends this")
    {
        auto target = sound_target();
        site.add_target(limited.str(), target.address());
        site.fleet.record_request_limit(notice_of(std::nullopt, milliseconds(0)), steady_clock::now());
        site.send_together("/stock/1", together);
        CHECK(target.requests() == together);
    }
}

// Guards against a limit that is dropped by an answer that need not name it, and against one that never ends.
TEST_CASE("a stated limit ends when an answer to a request names none", "[gateway][request_limit]")
{
    forwarding_site site;
    site.fleet.peers_settled = true;
    auto target = sound_target();
    const auto entry = entry_of(limited.str(), target.address(), 1);
    site.add_target(limited.str(), target.address());
    const auto hear = [&](std::optional<std::string> text, bool ran) {
        site.fleet.record_signals(entry, {false, std::nullopt, std::move(text), ran}, steady_clock::now());
    };
    const auto rate = [&] { return site.fleet.find_target(limited)->limit.latest(); };
    hear("0.1", true);
    REQUIRE(rate() == low_rate);

    SECTION("a refusal and an answer to an order change nothing")
    {
        hear(std::nullopt, false);
        CHECK(rate() == low_rate);
    }
    SECTION("an unreadable limit changes nothing")
    {
        for (const auto* text : {"", "many", "-3", "1e9", "nan"}) {
            hear(text, true);
            CHECK(rate() == low_rate);
        }
    }
    SECTION("a later value replaces it")
    {
        hear("7.5", true);
        CHECK(rate() == 7.5);
    }
    SECTION("the answer to a request ends it")
    {
        CHECK(site.send("/stock/1", "one").answer.status == 200);
        CHECK_FALSE(rate());
        CHECK(answered(site, "/stock/1") == requests_sent);

        SECTION("which the other daemons are told")
        {
            const auto notices = site.fleet.request_limits(steady_clock::now());
            REQUIRE(notices.size() == 1);
            CHECK_FALSE(notices.front().requests_per_s);
        }
    }
}

// Guards against daemons that each keep the limit of their own and together exceed it.
TEST_CASE("daemons share what a target said about its limit", "[gateway][request_limit]")
{
    forwarding_site site;
    site.fleet.peers_settled = true;
    auto target = sound_target();
    site.add_target(limited.str(), target.address());
    const auto now = steady_clock::now();
    const auto rate = [&] { return site.fleet.find_target(limited)->limit.latest(); };
    site.fleet.record_request_limit(notice_of(low_rate, milliseconds(200)), now);
    REQUIRE(rate() == low_rate);
    CHECK(site.fleet.request_limits(now).empty()); // only what this daemon heard itself is passed on

    SECTION("a daemon keeps the limit that it only knows from another one")
    {
        site.fleet.update_entries({daemon_id("a"), daemon_id("b"), daemon_id("c")});
        CHECK(answered(site, "/stock/1") == 0); // callers connect to the others, which share the limit
        CHECK(target.requests() == 0);
    }
    SECTION("each daemon passes on what it heard itself, also when another one has heard later")
    {
        // Guards against two daemons that each leave it to the other one to tell a daemon that has started.
        const auto entry = entry_of(limited.str(), target.address(), 1);
        site.fleet.record_signals(entry, {false, std::nullopt, "0.1", true}, now);
        site.fleet.record_request_limit(notice_of(low_rate, milliseconds(0)), now + milliseconds(10));
        CHECK(site.fleet.request_limits(now + milliseconds(20)).size() == 1);
    }
    SECTION("an older statement does not replace a newer one")
    {
        site.fleet.record_request_limit(notice_of(std::nullopt, milliseconds(300)), now);
        CHECK(rate() == low_rate);
    }
    SECTION("a newer statement that it has ended does")
    {
        site.fleet.record_request_limit(notice_of(std::nullopt, milliseconds(100)), now);
        CHECK_FALSE(rate());
    }
    SECTION("a statement of another incarnation says nothing")
    {
        site.fleet.record_request_limit({{limited, 2}, std::nullopt, milliseconds(0)}, now);
        CHECK(rate() == low_rate);
    }
    SECTION("a limit that is stated while the connection is opened holds for that request")
    {
        site.fleet.record_request_limit(notice_of(std::nullopt, milliseconds(100)), now);
        site.fleet.update_entries({daemon_id("a")});
        site.while_connecting = [&] {
            site.fleet.record_request_limit(notice_of(low_rate, milliseconds(0)), steady_clock::now());
        };
        CHECK(site.send("/orders/1", "one").answer.status == 503);
        CHECK(target.requests() == 0);
    }
}
