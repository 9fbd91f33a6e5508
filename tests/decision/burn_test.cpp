#include "decision/burn.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck.h>

using namespace rml;

namespace {

constexpr seconds start{1700000000};

/// One event recorded by a daemon.
struct event
{
    std::string source;
    std::string objective;
    seconds at;
    bool good;
};

std::vector<event> arbitrary_events()
{
    return *rc::gen::container<std::vector<event>>(rc::gen::exec([] {
        const auto number = [](int low, int high) { return *rc::gen::inRange(low, high); };
        return event{"daemon-" + std::to_string(number(0, 3)) + "@1", "o" + std::to_string(number(0, 2)),
                     start + seconds(number(0, 20000)), number(0, 4) != 0};
    }));
}

burn_series series_of(const event& e)
{
    return {burn_series_kind::objective, e.objective, ""};
}

void add(burn_ledger& ledger, const event& e)
{
    ledger.add(e.source, series_of(e), e.at, e.good ? burn_counts{1, 0} : burn_counts{0, 1});
}

burn_ledger ledger_of(const std::vector<event>& events)
{
    burn_ledger ledger;
    for (const auto* name : {"o0", "o1"}) {
        ledger.update_objective({name, 0.9, seconds(7200), 1});
    }
    ledger.add_domain_change({"domain", 2, true, start + seconds(5000)});
    for (const auto& e : events) {
        add(ledger, e);
    }
    return ledger;
}

/// Reference count of the events whose bucket overlaps [from, to).
burn_counts naive_sum(const std::vector<event>& events, const std::string& objective, seconds from,
                      seconds to)
{
    burn_counts counts;
    for (const auto& e : events) {
        const auto bucket = seconds(e.at.count() / 60 * 60);
        if (e.objective == objective && bucket < to && bucket + seconds(60) > from) {
            ++(e.good ? counts.good : counts.bad);
        }
    }
    return counts;
}

/// Compares rates with a tolerance far below the effect of a single event.
bool near(double a, double b)
{
    return std::abs(a - b) < 1e-9 * std::max(1.0, std::abs(b));
}

} // namespace

// Guards against counts that are lost, duplicated or counted in the wrong window.
TEST_CASE("burn agrees with a recomputation from the events", "[burn][property]")
{
    CHECK(rc::check("windows, budget, rates and changes", [] {
        const auto events = arbitrary_events();
        const auto now = start + seconds(*rc::gen::inRange(0, 25000));
        const auto report = make_burn_report(ledger_of(events), now, seconds(86400));
        RC_ASSERT(report.objectives.size() == 2U);
        for (const auto& burn : report.objectives) {
            const auto& name = burn.objective.name;
            const auto counts = naive_sum(events, name, now - seconds(7200), now);
            RC_ASSERT(burn.counts == counts);
            const double allowed = 0.1 * static_cast<double>(counts.good + counts.bad);
            const double left = counts.bad == 0 ? 1 : 1 - static_cast<double>(counts.bad) / allowed;
            RC_ASSERT(near(burn.budget_left, left));
            for (const auto& alert : burn.alerts) {
                const auto rate = [&](seconds window) {
                    const auto seen = naive_sum(events, name, now - window, now);
                    return seen.bad == 0 ? 0
                                         : static_cast<double>(seen.bad) /
                                               static_cast<double>(seen.good + seen.bad) / 0.1;
                };
                RC_ASSERT(near(alert.long_rate, rate(alert.long_window)));
                RC_ASSERT(near(alert.short_rate, rate(alert.short_window)));
            }
        }
        for (const auto& row : report.changes) {
            RC_ASSERT(row.counts ==
                      naive_sum(events, row.objective, row.change.at, row.change.at + seconds(300)));
        }
        RC_ASSERT(report.changes.size() == (now >= start + seconds(5000) ? 2U : 0U));
    }));
}

// Guards against a snapshot that is counted twice, and against an old snapshot that lowers counts.
TEST_CASE("merging snapshots in any order and number yields the newest counts", "[burn][property]")
{
    CHECK(rc::check("snapshots of each source, shuffled and repeated", [] {
        const auto events = arbitrary_events();
        std::vector<std::string> snapshots;
        std::map<std::string, burn_ledger> daemons;
        for (const auto& e : events) {
            add(daemons[e.source], e);
            if (*rc::gen::inRange(0, 3) == 0) {
                snapshots.push_back(encode_burn(daemons[e.source]));
            }
        }
        snapshots.push_back(encode_burn(ledger_of({})));
        for (const auto& entry : daemons) {
            snapshots.push_back(encode_burn(entry.second));
            snapshots.push_back(encode_burn(entry.second));
        }
        for (std::size_t i = snapshots.size(); i > 1; --i) {
            std::swap(snapshots[i - 1], snapshots[*rc::gen::inRange<std::size_t>(0, i)]);
        }
        burn_ledger merged;
        for (const auto& snapshot : snapshots) {
            const auto decoded = decode_burn(snapshot);
            RC_ASSERT(succeeded(decoded));
            merged.merge(value(decoded));
        }
        RC_ASSERT(encode_burn(merged) == encode_burn(ledger_of(events)));
    }));
}

// Guards against a crash on a malformed answer of a daemon or a damaged file.
TEST_CASE("decoding arbitrary text returns a typed failure", "[burn][property]")
{
    CHECK(rc::check("arbitrary and mutated text", [] {
        RC_ASSERT(failed(decode_burn(*rc::gen::arbitrary<std::string>())));
        auto text = encode_burn(ledger_of(arbitrary_events()));
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        const auto decoded = decode_burn(text);
        RC_ASSERT((succeeded(decoded) || error(decoded).kind == failure_kind::malformed));
    }));
}

TEST_CASE("an alert fires only if the long and the short window exceed the rate", "[burn]")
{
    // Guards against an alert that fires after the fault has ended, and against one after a single bad
    // minute.
    const burn_series series{burn_series_kind::objective, "o", ""};
    burn_ledger ledger;
    ledger.update_objective({"o", 0.99, seconds(30 * 86400), 1});
    const auto minute = [&](int from, int to, burn_counts counts) {
        for (int i = from; i < to; ++i) {
            ledger.add("d@1", series, start + seconds(60 * i), counts);
        }
    };
    const auto firing = [&](int at_minute) {
        const auto report = make_burn_report(ledger, start + seconds(60 * at_minute), seconds(3600));
        REQUIRE(report.objectives.size() == 1);
        REQUIRE(report.objectives[0].alerts.size() == 3);
        CHECK(report.objectives[0].alerts[0].long_window == seconds(3600));
        CHECK(report.objectives[0].alerts[0].short_window == seconds(300));
        return report.objectives[0].alerts[0].firing;
    };
    minute(0, 60, {100, 0});
    CHECK_FALSE(firing(60));
    minute(60, 61, {0, 100});
    CHECK_FALSE(firing(61));
    minute(61, 90, {50, 50});
    CHECK(firing(90));
    minute(90, 100, {100, 0});
    CHECK_FALSE(firing(100));

    SECTION("old buckets are dropped, later ones are kept")
    {
        ledger.destroy_before(start + seconds(60 * 90));
        CHECK(ledger.sum(series, seconds(0), start + seconds(86400)) == burn_counts{1000, 0});
        ledger.destroy_before(start + seconds(86400));
        CHECK(ledger.all_series().empty());
    }
}

TEST_CASE("lost group and accelerator time is reported per failure domain", "[burn]")
{
    // Guards against group downtime of one failure domain that is hidden by the others.
    burn_ledger ledger;
    ledger.add("a@1", {burn_series_kind::groups, "pool", "domain-0"}, start, {3000, 1000});
    ledger.add("b@1", {burn_series_kind::groups, "pool", "domain-1"}, start, {4000, 0});
    ledger.add("b@1", {burn_series_kind::accelerators, "", "domain-1"}, start, {900, 100});
    const auto report = make_burn_report(ledger, start + seconds(60), seconds(3600));
    REQUIRE(report.group_downtime.size() == 2);
    CHECK(report.group_downtime[0].lost_share == Approx(0.25));
    CHECK(report.group_downtime[1].lost_share == Approx(0));
    REQUIRE(report.stranded.size() == 1);
    CHECK(report.stranded[0].lost_share == Approx(0.1));
}
