#include "decision/crash_attribution.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

group_run run_on(const std::string& id, const std::string& domain)
{
    return {group_id(id), 1, fabric_domain_id("f" + domain), failure_domain_id(domain)};
}

} // namespace

// Guards against sound requests that stay refused after several targets with them in flight were lost.
TEST_CASE("a sound whole request may run again after its losses", "[crash]")
{
    SECTION("and is cleared by answers between two losses")
    {
        crash_attribution daemon;
        const request_fingerprint whole{7};
        time_point now{seconds(1000)};
        const auto lose = [&](std::uint64_t ticket, const char* id) {
            daemon.begin(ticket, {whole, {}}, run_on(id, id), false, now);
            daemon.group_lost(run_on(id, id), now, now);
            now += seconds(5);
            daemon.poll(now);
        };
        lose(1, "g1");
        for (std::uint64_t ticket = 10; ticket < 1010; ++ticket) {
            daemon.begin(ticket, {whole, {}}, run_on("g0", "g0"), false, now);
            daemon.end(ticket, true, now);
        }
        now += seconds(1200);
        daemon.poll(now);
        lose(2, "g2");
        lose(3, "g3");
        CHECK(daemon.check_features({whole, {}}, now) == crash_verdict::run);
        now += seconds(600);
        daemon.poll(now);
        CHECK(daemon.check_features({whole, {}}, now) == crash_verdict::run);
    }
    SECTION("and is not blocked by a daemon that cannot explain its losses while another can")
    {
        crash_attribution sender;
        crash_attribution receiver;
        const request_fingerprint whole{7};
        time_point now{seconds(1000)};
        const auto exchange = [&](const std::vector<crash_notice>& notices, crash_attribution& to) {
            for (const auto& notice : notices) {
                to.apply(notice, now);
            }
        };
        sender.begin(1, {whole, {}}, run_on("g1", "rack"), false, now);
        sender.begin(3, {{8}, {}}, run_on("g3", "rack"), false, now);
        exchange(sender.group_lost(run_on("g1", "rack"), now, now).notices, receiver);
        for (const auto* id : {"g2", "g4"}) {
            sender.begin(2, {whole, {}}, run_on(id, "rack"), false, now);
            now += milliseconds(100);
            exchange(sender.group_lost(run_on(id, "rack"), now, now).notices, receiver);
        }
        exchange(sender.group_lost(run_on("g3", "rack"), now, now).notices, receiver);
        for (int i = 0; i < 400; ++i) {
            now += milliseconds(50);
            exchange(sender.poll(now).notices, receiver);
            exchange(receiver.poll(now).notices, sender);
            if (i % 20 == 0) {
                exchange(sender.notices(now), receiver);
                exchange(receiver.notices(now), sender);
            }
        }
        CHECK(sender.check_features({whole, {}}, now) == crash_verdict::run);
        CHECK(receiver.check_features({whole, {}}, now) == crash_verdict::run);
    }
    SECTION("and is not blocked by the losses of a prompt part of other requests")
    {
        for (const auto third : {milliseconds(500), milliseconds(6000)}) {
            crash_attribution daemon;
            const request_fingerprint whole{7};
            const request_fingerprint deadly{8};
            time_point now{seconds(1000)};
            std::uint64_t ticket = 0;
            const auto lose = [&](const char* id, bool with_sound) {
                if (with_sound) {
                    daemon.begin(++ticket, {whole, {}}, run_on(id, id), false, now);
                }
                daemon.begin(++ticket, {{100 + ticket}, {deadly}}, run_on(id, id), !with_sound, now);
                daemon.group_lost(run_on(id, id), now, now);
                now += milliseconds(400);
                daemon.poll(now);
            };
            lose("g1", true);
            lose("g2", true);
            lose("g3", true);
            const auto until = now + third;
            while (now < until) {
                now += milliseconds(50);
                daemon.poll(now);
            }
            lose("g4", false);
            now += seconds(10);
            daemon.poll(now);
            CAPTURE(third.count());
            CHECK(daemon.check_features({{99}, {deadly}}, now) >= crash_verdict::refuse);
            CHECK(daemon.check_features({whole, {}}, now) == crash_verdict::run);
        }
    }
}
