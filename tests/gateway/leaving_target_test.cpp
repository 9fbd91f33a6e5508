#include "gateway/forwarding_site.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using namespace rml::test;

namespace {

const std::string leaving_line = "x-leaving: 1\r\n";
const std::string first_event = "id: 1\ndata: a\n\n";
const std::string last_event = "id: 2\ndata: b\n\n";

answering_target sound_engine(const std::string& headers = "")
{
    return {"200 OK", "x-signature: s\r\ncontent-type: text/event-stream\r\n" + headers,
            first_event + last_event};
}

answering_target pausing_target(const std::string& retry_after)
{
    return {"503 Unavailable", "x-not-executed: 1\r\nRetry-After: " + retry_after + "\r\n"};
}

double retry_after_of(const http::response& answer)
{
    return std::stod(http::find_header(answer.headers, "Retry-After").value_or("-1"));
}

} // namespace

// Guards against requests to a target after it has said that it leaves.
TEST_CASE("a target that says in an answer that it leaves gets no new request", "[gateway][leaving]")
{
    forwarding_site site;

    SECTION("whatever the answer is")
    {
        for (const std::string status : {"200 OK", "500 Internal Server Error", "503 Unavailable",
                                         "429 Too Many Requests", "421 Misdirected Request"}) {
            INFO(status);
            const bool success = status == "200 OK";
            answering_target leaver(status, (success ? "x-signature: s\r\n" : "x-not-executed: 1\r\n") +
                                                leaving_line);
            auto other = sound_target();
            site.add_target("leaver " + status, leaver.address());
            site.send("/stock/1", "A");
            CHECK(leaver.requests() == 1);
            site.add_target("other " + status, other.address());
            site.make_last_choice("other " + status);
            CHECK(site.send("/stock/1", "B").answer.status == 200);
            CHECK(site.send("/orders/1", "C").answer.status == 200);
            CHECK(leaver.requests() == 1);
            CHECK(other.requests() == 2);
            site.fleet.destroy_target(instance_id("other " + status), steady_clock::now(), std::nullopt);
        }
    }
    SECTION("at the head of a stream, which itself goes on")
    {
        auto leaver = sound_engine(leaving_line);
        site.add_engine("leaver", leaver.address());
        auto& answer = site.send("/plans/1", "A");
        CHECK(answer.finished);
        CHECK(answer.answer.body == first_event + last_event);
        CHECK(site.fleet.groups().empty());
        CHECK(site.send("/plans/1", "B").answer.status == 503);
        CHECK(leaver.requests() == 1);
    }
    SECTION("the caller is refused at once when no other target is left")
    {
        auto leaver = sound_target(leaving_line);
        site.add_target("leaver", leaver.address());
        site.send("/stock/1", "A");
        CHECK(site.send("/stock/1", "B").answer.status == 503);
        CHECK(leaver.requests() == 1);
    }
    SECTION("a retry goes elsewhere as well")
    {
        answering_target leaver("503 Unavailable", "x-not-executed: 1\r\n" + leaving_line);
        answering_target refusing("503 Unavailable", "x-not-executed: 1\r\n");
        site.add_target("leaver", leaver.address());
        site.send("/stock/1", "A");
        site.add_target("refusing", refusing.address());
        CHECK(site.send("/stock/1", "B").answer.status == 503);
        CHECK(leaver.requests() == 1);
        CHECK(refusing.requests() == 1);
    }
    SECTION("until it registers with another incarnation")
    {
        auto leaver = sound_target(leaving_line);
        site.add_target("t", leaver.address());
        site.send("/stock/1", "A");
        // A registry entry of the same incarnation may have been written before the answer.
        site.fleet.update_target(entry_of("t", leaver.address(), 1), steady_clock::now());
        CHECK(site.send("/stock/1", "B").answer.status == 503);
        site.fleet.destroy_target(instance_id("t"), steady_clock::now(), std::nullopt);
        site.fleet.update_target(entry_of("t", leaver.address(), 1), steady_clock::now());
        CHECK(site.send("/stock/1", "C").answer.status == 503);
        CHECK(leaver.requests() == 1);

        auto restarted = sound_target();
        site.fleet.update_target(entry_of("t", restarted.address(), 2), steady_clock::now());
        CHECK(site.send("/stock/1", "D").answer.status == 200);
        // An answer of the earlier incarnation, received now, does not concern the new one.
        site.fleet.record_signals(entry_of("t", leaver.address(), 1),
                                  {true, std::nullopt, std::nullopt, false}, steady_clock::now());
        CHECK(site.send("/stock/1", "E").answer.status == 200);
        CHECK(restarted.requests() == 2);
    }
    SECTION("a target whose header has another value does not leave")
    {
        auto target = sound_target("x-leaving: 0\r\n");
        site.add_target("t", target.address());
        site.send("/stock/1", "A");
        CHECK(site.send("/stock/1", "B").answer.status == 200);
    }
}

// Guards against requests to a target within the pause that it asked for.

TEST_CASE("a target that asks for a pause gets no request within it", "[gateway][pause]")
{
    forwarding_site site;

    SECTION("callers are refused at once with the time that is left, and their requests have not run")
    {
        auto pausing = pausing_target("30");
        site.add_target("t", pausing.address());
        CHECK(site.send("/stock/1", "A").answer.status == 503);
        for (const auto* path : {"/stock/1", "/orders/1", "/streams/1"}) {
            const auto& refused = site.send(path, "B").answer;
            CHECK(refused.status == 503);
            CHECK(retry_after_of(refused) > 1);
        }
        CHECK(pausing.requests() == 1);
    }
    SECTION("the refused request and all later ones go to another target")
    {
        auto pausing = pausing_target("30");
        auto other = sound_target();
        site.add_target("pausing", pausing.address());
        site.add_target("other", other.address());
        site.make_last_choice("other");
        CHECK(site.send("/stock/1", "A").answer.status == 200);
        CHECK(pausing.requests() == 1);
        for (int i = 0; i < 10; ++i) {
            CHECK(site.send("/stock/1", "B" + std::to_string(i)).answer.status == 200);
        }
        CHECK(pausing.requests() == 1);
        CHECK(other.requests() == 11);
    }
    SECTION("a silent target is not replaced by a pausing one")
    {
        auto pausing = pausing_target("30");
        std::atomic<int> received{0};
        raw_server silent([&](const http::request& message, raw_connection& connection) {
            ++received;
            connection.send("HTTP/1.1 200 OK\r\n" + id_line(run_record::id_of(message)) +
                            "x-signature: s\r\ncontent-type: text/event-stream\r\n"
                            "transfer-encoding: chunked\r\n\r\n" +
                            chunk(first_event));
            connection.wait_closed();
            return false;
        });
        site.add_engine("pausing", pausing.address());
        site.send("/plans/1", "A");
        CHECK(pausing.requests() == 1);
        site.add_engine("silent", silent.address());
        site.ticks = true;
        auto& cut = site.send("/plans/1", "B");
        CHECK(cut.aborted);
        CHECK(received == 1);
        CHECK(pausing.requests() == 1);
    }
    SECTION("a pause of no length, or one that cannot be read, changes nothing")
    {
        for (const std::string text : {"0", "-5", "later", "Sat, 05 Dec 2026 14:00:00 GMT", ""}) {
            INFO("'" << text << "'");
            auto pausing = pausing_target(text);
            const auto name = "t" + text;
            site.add_target(name, pausing.address());
            for (int i = 0; i < 3; ++i) {
                CHECK(site.send("/stock/1", "A" + std::to_string(i)).answer.status == 503);
            }
            CHECK(pausing.requests() == 3);
            site.fleet.destroy_target(instance_id(name), steady_clock::now(), std::nullopt);
        }
    }
    SECTION("only a refusal with 503 asks for a pause")
    {
        auto target = sound_target("Retry-After: 30\r\n");
        site.add_target("t", target.address());
        CHECK(site.send("/stock/1", "A").answer.status == 200);
        CHECK(site.send("/stock/1", "B").answer.status == 200);
        CHECK(target.requests() == 2);
    }
    SECTION("a new incarnation has not asked for the pause")
    {
        auto pausing = pausing_target("30");
        auto restarted = sound_target();
        site.add_target("t", pausing.address());
        site.send("/stock/1", "A");
        site.fleet.update_target(entry_of("t", restarted.address(), 2), steady_clock::now());
        CHECK(site.send("/stock/1", "B").answer.status == 200);
    }
}

// Guards against a choice that is outdated when the request is written: connecting takes time.
TEST_CASE("a target is asked for again directly before a request is written", "[gateway][leaving][pause]")
{
    forwarding_site site;
    auto target = sound_target();
    site.add_target("t", target.address());
    const auto say = [&](const gateway::target_signals& signals) {
        site.while_connecting = [&site, &target, signals] {
            site.fleet.record_signals(entry_of("t", target.address(), 1), signals, steady_clock::now());
        };
    };

    SECTION("it has said that it leaves while the connection was opened")
    {
        say({true, std::nullopt, std::nullopt, false});
        CHECK(site.send("/orders/1", "A").answer.status == 503);
        CHECK(target.requests() == 0);
    }
    SECTION("it has asked for a pause while the connection was opened")
    {
        say({false, "30", std::nullopt, false});
        const auto& refused = site.send("/stock/1", "A").answer;
        CHECK(refused.status == 503);
        CHECK(retry_after_of(refused) > 1);
        CHECK(target.requests() == 0);
    }
    SECTION("its failure domain was drained while the connection was opened")
    {
        site.while_connecting = [&] { site.fleet.update_drained_domain(failure_domain_id(), true); };
        CHECK(site.send("/stock/1", "A").answer.status == 503);
        CHECK(target.requests() == 0);
    }
    SECTION("its entry was removed while the connection was opened")
    {
        site.while_connecting = [&] {
            site.fleet.destroy_target(instance_id("t"), steady_clock::now(), std::nullopt);
        };
        CHECK(site.send("/stock/1", "A").answer.status == 503);
        CHECK(target.requests() == 0);
    }
    SECTION("otherwise the request is sent")
    {
        site.while_connecting = [] {};
        CHECK(site.send("/stock/1", "A").answer.status == 200);
    }
}

// Guards against streams that are resumed at a target which takes no new requests.
TEST_CASE("a broken stream continues only where new requests may be sent", "[gateway][leaving][pause]")
{
    forwarding_site site;
    raw_server breaking([&](const http::request& message, raw_connection& connection) {
        connection.send("HTTP/1.1 200 OK\r\n" + id_line(run_record::id_of(message)) +
                        "x-signature: s\r\ncontent-type: text/event-stream\r\n"
                        "transfer-encoding: chunked\r\n\r\n" +
                        chunk(first_event));
        return false;
    });
    answering_target rest("200 OK", "x-signature: s\r\ncontent-type: text/event-stream\r\n", last_event);
    site.add_engine("breaking", breaking.address());
    site.add_engine("other", rest.address());
    site.make_last_choice("other");
    const auto other = entry_of("other", rest.address(), 1);

    SECTION("not at a target that leaves")
    {
        site.fleet.record_signals(other, {true, std::nullopt, std::nullopt, false}, steady_clock::now());
        CHECK(site.send("/plans/1", "A").aborted);
        CHECK(rest.requests() == 0);
    }
    SECTION("not at a target that asked for a pause")
    {
        site.fleet.record_signals(other, {false, "30", std::nullopt, false}, steady_clock::now());
        CHECK(site.send("/plans/1", "A").aborted);
        CHECK(rest.requests() == 0);
    }
    SECTION("at any other target")
    {
        CHECK(site.send("/plans/1", "A").answer.body == first_event + last_event);
        CHECK(rest.requests() == 1);
    }
}

// Guards against trials of suspected prompt parts that lean on a target in its pause.
TEST_CASE("a suspected prompt part is tried only where new requests may be sent", "[gateway][leaving][pause]")
{
    forwarding_site site;
    site.ticks = true;
    site.parts = "a1:10,b2:5";
    std::unique_ptr<raw_server> crashing;
    crashing = std::make_unique<raw_server>([&](const http::request&, raw_connection&) {
        crashing->end_process();
        return false;
    });
    site.add_engine("crashing", crashing->address());
    CHECK(site.send("/plans-at-one-target/1", "A").answer.status == 502);
    crash_features features;
    features.parts = gateway::shared_prompt_parts(site.parts);
    REQUIRE(site.requests.crashes().check(features, steady_clock::now()) !=
            gateway::send_permission::allowed);
    site.fleet.destroy_target(instance_id("crashing"), steady_clock::now(), std::nullopt);
    auto other = sound_engine();
    site.add_engine("other", other.address());

    SECTION("not at a target that asked for a pause")
    {
        site.fleet.record_signals(entry_of("other", other.address(), 1), {false, "30", std::nullopt, false},
                                  steady_clock::now());
        CHECK(site.send("/plans-at-one-target/1", "B").answer.status == 503);
        CHECK(other.requests() == 0);
    }
    SECTION("not at a target that leaves")
    {
        site.fleet.record_signals(entry_of("other", other.address(), 1),
                                  {true, std::nullopt, std::nullopt, false}, steady_clock::now());
        CHECK(site.send("/plans-at-one-target/1", "B").answer.status == 503);
        CHECK(other.requests() == 0);
    }
    SECTION("at any other target")
    {
        CHECK(site.send("/plans-at-one-target/1", "B").answer.status == 200);
        CHECK(other.requests() == 1);
    }
}

TEST_CASE("daemons tell each other which targets leave", "[gateway][leaving]")
{
    const auto now = steady_clock::now();
    gateway::fleet_state cut_off(daemon_id("cut off from the store"));
    const auto entry = entry_of("t", {"127.0.0.1", 1}, 1);
    cut_off.update_target(entry, now);

    SECTION("the group manager reports what the registry shows, and every daemon what it was told")
    {
        gateway::fleet_state manager(daemon_id("manager"));
        auto draining = entry;
        draining.draining = true;
        manager.update_target(draining, now);
        CHECK(manager.departures(false, now).empty());
        REQUIRE(manager.departures(true, now).size() == 1);
        cut_off.record_departure(manager.departures(true, now).front(), departure_source::peer, now);
        CHECK(cut_off.right_to_send(entry.instance, now) == send_right::withdrawn);
        CHECK(cut_off.departures(true, now).empty());
        // The entry that this daemon read before it was cut off.
        cut_off.update_target(entry, now);
        CHECK(cut_off.right_to_send(entry.instance, now) == send_right::withdrawn);
    }
    SECTION("a target that is kept after its removal goes when another daemon saw the removal")
    {
        // Guards against requests to a target that left while this daemon was cut off from the store: it
        // keeps targets for a time then, because the entries of sound ones may have expired too.
        gateway::fleet_state manager(daemon_id("manager"));
        manager.update_target(entry, now);
        manager.destroy_target(entry.instance, now, std::nullopt);
        REQUIRE(manager.recent_removals(now).size() == 1);

        cut_off.destroy_target(entry.instance, now, now + seconds(3));
        REQUIRE(cut_off.find_target(entry.instance) != nullptr);
        cut_off.confirm_removal(manager.recent_removals(now).front(), now);
        CHECK(cut_off.find_target(entry.instance) == nullptr);
    }
    SECTION("but not one that has registered again, or another incarnation")
    {
        cut_off.confirm_removal({entry.instance, 1}, now);
        CHECK(cut_off.find_target(entry.instance) != nullptr);
        cut_off.destroy_target(entry.instance, now, now + seconds(3));
        cut_off.confirm_removal({entry.instance, 2}, now);
        CHECK(cut_off.find_target(entry.instance) != nullptr);
    }
}
