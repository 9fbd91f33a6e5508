#include "gateway/peer_report.hpp"

#include "base/bounded_cbor.hpp"
#include "decision/random_source.hpp"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace rml;
using gateway::peer_report;

namespace {

result<peer_report> decode(std::string_view bytes)
{
    return gateway::decode_report(decode_bounded_cbor(bytes));
}

crash_notice sample_crash(random_source& random)
{
    crash_notice out;
    out.fingerprint.value = random.bits();
    out.version = random.bits();
    out.blocked = random.one_in(2);
    out.ttl = milliseconds(random.below(3'600'000));
    out.part = random.one_in(2);
    for (std::size_t i = random.below(crash_attribution::max_losses + 1); i > 0; --i) {
        out.losses.push_back({random.bits(), random.one_in(2), milliseconds(random.below(3'600'000)),
                              random.one_in(2), milliseconds(random.below(3'600'000))});
    }
    if (random.one_in(2)) {
        out.acquitted_age = milliseconds(random.below(3'600'000));
    }
    return out;
}

peer_report sample(random_source& random)
{
    peer_report out;
    out.daemon = daemon_id("d" + std::to_string(random.below(100)));
    out.started_ms = static_cast<std::int64_t>(random.bits() >> 2U);
    out.sequence = random.bits();
    out.leaving = random.one_in(2);
    out.ready = random.one_in(2);
    out.store_reachable = random.one_in(2);
    out.manages = random.one_in(2);
    out.limits_known = random.one_in(2);
    out.requests_per_s = static_cast<double>(random.below(1000)) / 8;
    for (std::size_t i = random.below(20); i > 0; --i) {
        out.in_flight[instance_id("i" + std::to_string(i))] = static_cast<std::uint32_t>(random.below(1000));
        if (random.one_in(2)) {
            out.unread_tokens[instance_id("u" + std::to_string(i))] =
                static_cast<std::uint32_t>(random.below(5000));
        }
        out.stalled.emplace_back("s" + std::to_string(i));
        out.suspected.emplace_back("o" + std::to_string(i));
        out.answering.emplace_back("a" + std::to_string(i));
        out.ejected.emplace_back("l" + std::to_string(i));
        out.slow[instance_id("p" + std::to_string(i))] = static_cast<double>(random.below(100)) / 8;
        out.offered_load[model_id("m" + std::to_string(i))] = static_cast<double>(random.below(1000)) / 8;
        out.crashes.push_back(sample_crash(random));
        out.crash_trials.push_back(random.bits());
        out.departures.push_back({instance_id("g" + std::to_string(i)), static_cast<std::int64_t>(i)});
        out.removals.push_back({instance_id("h" + std::to_string(i)), static_cast<std::int64_t>(i)});
        const auto rate =
            random.one_in(2) ? std::optional(0.5 + static_cast<double>(random.below(100))) : std::nullopt;
        out.request_limits.push_back(
            {out.departures.back(), rate, milliseconds(static_cast<int>(random.below(10000)))});
    }
    return out;
}

} // namespace

TEST_CASE("a report of the previous version is accepted", "[gateway][peer_report]")
{
    // Guards against daemons that reject each other's reports during a rolling upgrade.
    const bool held = rc::check("fields added since are missing", [] {
        random_source random;
        auto document = nlohmann::json::from_cbor(encode_report(sample(random)));
        for (const char* added : {"a", "p", "m", "o", "q", "c", "y", "g", "h", "i", "v", "k", "j"}) {
            document.erase(added);
        }
        const auto bytes = nlohmann::json::to_cbor(document);
        const auto back = decode(std::string(bytes.begin(), bytes.end()));
        RC_ASSERT(succeeded(back));
        RC_ASSERT(value(back).answering.empty());
        RC_ASSERT(value(back).slow.empty());
        RC_ASSERT(value(back).unread_tokens.empty());
        RC_ASSERT(value(back).crashes.empty());
        RC_ASSERT(value(back).departures.empty() && value(back).removals.empty());
        RC_ASSERT(value(back).request_limits.empty() && !value(back).limits_known);
        RC_ASSERT(value(back).suspected == value(back).stalled);
        RC_ASSERT(value(back).manages == !value(back).ejected.empty());
    });
    CHECK(held);
}

TEST_CASE("reports round-trip, and damaged ones are handled", "[gateway][peer_report]")
{
    // Guards against a datagram that crashes a daemon or decodes to different values.
    const bool held = rc::check("round trip, then damage", [] {
        random_source random;
        const auto report = sample(random);
        auto bytes = encode_report(report);
        const auto back = decode(bytes);
        RC_ASSERT(succeeded(back));
        RC_ASSERT(encode_report(value(back)) == bytes);
        for (int i = 0; i < 40; ++i) {
            auto damaged = bytes;
            if (random.one_in(3)) {
                damaged.resize(random.below(damaged.size()));
            } else {
                damaged[random.below(damaged.size())] = static_cast<char>(random.bits());
            }
            (void)decode(damaged); // a failure or a report, never an exception
        }
    });
    CHECK(held);
}

TEST_CASE("a report with a number that does not fit its field is refused", "[gateway][peer_report]")
{
    // Guards against undefined conversions, and against rates that are not finite in the manager's plans.
    peer_report report;
    report.daemon = daemon_id("d");
    report.in_flight[instance_id("i")] = 1;
    report.offered_load[model_id("m")] = 1;
    report.slow[instance_id("p")] = 1;
    const auto refused = [&](const char* path, const nlohmann::json& number) {
        auto document = nlohmann::json::from_cbor(encode_report(report));
        document[nlohmann::json::json_pointer(path)] = number;
        const auto bytes = nlohmann::json::to_cbor(document);
        return failed(decode(std::string(bytes.begin(), bytes.end())));
    };
    for (const double number : {1e308, -1.0, 0.5, std::numeric_limits<double>::quiet_NaN(),
                                std::numeric_limits<double>::infinity()}) {
        CAPTURE(number);
        for (const auto* path : {"/f", "/b", "/n", "/t/i"}) {
            CAPTURE(path);
            CHECK(refused(path, number));
        }
        const bool amount = number >= 0 && number <= std::numeric_limits<double>::max();
        for (const auto* path : {"/p/p", "/w/m", "/q"}) {
            CAPTURE(path);
            CHECK(refused(path, number) == !amount);
        }
    }
    CHECK(refused("/t/i", -1));
    CHECK(refused("/t/i", 4294967296));
    CHECK(refused("/b", 9223372036854775808U));
}

TEST_CASE("crash evidence in a report is bounded", "[gateway][peer_report]")
{
    // Guards against memory and times that another daemon could raise without limit.
    peer_report report;
    report.daemon = daemon_id("d");
    crash_notice notice;
    notice.losses = {{1, false, milliseconds(1)}};
    notice.acquitted_age = milliseconds(1);
    report.crashes = {notice};

    SECTION("ages and lifetimes beyond the longest block are clamped")
    {
        auto& sent = report.crashes.front();
        sent.ttl = milliseconds::max();
        sent.losses.front().age = milliseconds::max();
        sent.acquitted_age = milliseconds::max();
        const auto back = decode(encode_report(report));
        REQUIRE(succeeded(back));
        const auto& got = value(back).crashes.front();
        CHECK(got.ttl <= 2 * limits::block_lifetime);
        CHECK(got.losses.front().age <= 2 * limits::block_lifetime);
        CHECK(*got.acquitted_age <= 2 * limits::block_lifetime);
    }
    SECTION("an age before the loss is refused")
    {
        report.crashes.front().losses.front().age = milliseconds(-1);
        CHECK(failed(decode(encode_report(report))));
    }
    SECTION("more rows, losses or trials than a daemon sends are refused")
    {
        auto rows = report;
        rows.crashes.resize(257, notice);
        CHECK(failed(decode(encode_report(rows))));
        auto losses = report;
        losses.crashes.front().losses.resize(crash_attribution::max_losses + 1);
        CHECK(failed(decode(encode_report(losses))));
        auto trials = report;
        trials.crash_trials.resize(257);
        CHECK(failed(decode(encode_report(trials))));
    }
    SECTION("a row of another type is refused")
    {
        auto document = nlohmann::json::from_cbor(encode_report(report));
        document["c"][0] = 1;
        const auto bytes = nlohmann::json::to_cbor(document);
        CHECK(failed(decode(std::string(bytes.begin(), bytes.end()))));
    }
}
