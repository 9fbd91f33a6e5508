#include "decision/entry_choice.hpp"

#include "decision/target_choice.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace rml;

namespace {

entry_candidate candidate(const std::string& domain, int number, double cores)
{
    return {daemon_id(domain + "-" + std::to_string(number)), failure_domain_id(domain), cores, true};
}

/// Four failure domains with two large machines and twenty small ones each.
std::vector<entry_candidate> large_fleet()
{
    std::vector<entry_candidate> out;
    for (const std::string domain : {"a", "b", "c", "d"}) {
        for (int i = 0; i < 22; ++i) {
            out.push_back(candidate(domain, i, i < 2 ? 0.5 : 0.12));
        }
    }
    return out;
}

struct simulation
{
    std::size_t daemons{8};
    int report_ms{100};
    int requests_per_s{300};
    bool reports_scarce_slots{false}; ///< changes at scarce slots are reported too, at most every 25 ms
    bool reserves_slots{false}; ///< the last slots of a target are reserved for one daemon after the other
};

struct simulation_result
{
    double full_share{0};  ///< share of the requests that found their target full
    double utilization{0}; ///< share of the slots' time that was used
};

/// Simulates requests of one second each that arrive at random daemons, for 16 targets with 25 slots. Each
/// daemon knows its own requests at once and those of the others as last reported. A request without a free
/// slot is refused at once.
simulation_result run(const simulation& settings)
{
    constexpr std::size_t targets = 16;
    constexpr std::uint32_t slots = 25;
    constexpr int service_ms = 1000;
    constexpr int simulated_ms = 20000;
    std::mt19937_64 random(7);
    std::vector<std::vector<std::uint32_t>> own(settings.daemons, std::vector<std::uint32_t>(targets, 0));
    auto reported = own;
    std::vector<int> reported_at(settings.daemons, 0);
    std::vector<bool> report_due(settings.daemons, false);
    std::vector<std::vector<std::pair<std::size_t, std::size_t>>> ends(simulated_ms + service_ms + 1);
    std::vector<std::uint32_t> running(targets, 0);
    int arrived = 0;
    int full = 0;
    double used_ms = 0;
    double due = 0;
    for (int ms = 0; ms < simulated_ms; ++ms) {
        for (const auto& [daemon, target] : ends[static_cast<std::size_t>(ms)]) {
            report_due[daemon] = settings.reports_scarce_slots;
            --own[daemon][target];
            --running[target];
        }
        for (const auto count : running) {
            used_ms += std::min(count, slots);
        }
        // The daemons report at different times within the interval.
        for (std::size_t daemon = 0; daemon < settings.daemons; ++daemon) {
            const bool regular =
                ms % settings.report_ms == static_cast<int>(daemon * 37) % settings.report_ms;
            if (regular || (report_due[daemon] && ms - reported_at[daemon] >= 25)) {
                reported[daemon] = own[daemon];
                reported_at[daemon] = ms;
                report_due[daemon] = false;
            }
        }
        for (due += settings.requests_per_s / 1000.0; due >= 1; due -= 1) {
            const auto daemon = random() % settings.daemons;
            const daemon_order order{static_cast<std::uint32_t>(daemon),
                                     static_cast<std::uint32_t>(settings.daemons)};
            std::vector<target_candidate> choices(targets);
            for (std::size_t target = 0; target < targets; ++target) {
                choices[target].instance = instance_id("t" + std::to_string(target));
                choices[target].slots = slots;
                choices[target].own = own[daemon][target];
                choices[target].reserved = settings.reserves_slots ? reserved_slots(order, target, slots) : 0;
                for (std::size_t other = 0; other < settings.daemons; ++other) {
                    choices[target].others += other == daemon ? 0 : reported[other][target];
                }
            }
            ++arrived;
            const auto chosen = choose_target(choices, random());
            if (!chosen) {
                continue;
            }
            full += running[*chosen] >= slots ? 1 : 0;
            report_due[daemon] =
                report_due[daemon] || (settings.reports_scarce_slots && slots_scarce(choices[*chosen]));
            ++own[daemon][*chosen];
            ++running[*chosen];
            ends[static_cast<std::size_t>(ms + service_ms)].emplace_back(daemon, *chosen);
        }
    }
    return {static_cast<double>(full) / arrived, used_ms / (targets * slots * simulated_ms)};
}

} // namespace

TEST_CASE("as few daemons as can carry the load are chosen", "[entry_choice]")
{
    const auto fleet = large_fleet();
    const auto of = [&](double requests_per_s) {
        std::vector<entry_candidate> out;
        for (const auto index : choose_entries(fleet, requests_per_s)) {
            out.push_back(fleet[index]);
        }
        return out;
    };

    SECTION("the large machines of all failure domains, while these suffice")
    {
        const auto chosen = of(500);
        CHECK(chosen.size() == 8);
        std::map<failure_domain_id, int> per_domain;
        for (const auto& entry : chosen) {
            CHECK(entry.cores == 0.5);
            ++per_domain[entry.failure_domain];
        }
        CHECK(per_domain.size() == 4);
        CHECK(per_domain[failure_domain_id("a")] == 2);
    }
    SECTION("more daemons once small machines are needed, since each gets an equal share of the requests")
    {
        // Guards against a small machine that gets as many requests as only a large one can carry.
        const auto chosen = of(1200);
        const auto smallest = std::min_element(
            chosen.begin(), chosen.end(), [](const auto& a, const auto& b) { return a.cores < b.cores; });
        CHECK(1200.0 / static_cast<double>(chosen.size()) <= 250 * smallest->cores);
    }
    SECTION("all daemons when fewer do not suffice")
    {
        CHECK(of(100000).size() == fleet.size());
    }
    SECTION("the same daemons whatever the order of the candidates")
    {
        // Guards against callers that change their daemon with each answer because the daemons choose
        // differently.
        auto shuffled = fleet;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(3));
        std::set<daemon_id> first;
        std::set<daemon_id> second;
        for (const auto index : choose_entries(fleet, 800)) {
            first.insert(fleet[index].daemon);
        }
        for (const auto index : choose_entries(shuffled, 800)) {
            second.insert(shuffled[index].daemon);
        }
        CHECK(first == second);
    }
}

TEST_CASE("nearly all daemons of a small site are chosen", "[entry_choice]")
{
    std::vector<entry_candidate> site;
    for (const std::string domain : {"a", "b", "c"}) {
        site.push_back(candidate(domain, 0, 0.25));
        site.push_back(candidate(domain, 1, 0.25));
    }
    CHECK(choose_entries(site, 0).size() == 6);

    SECTION("daemons that do not reach the store are chosen only when the others do not suffice")
    {
        // Guards against callers that are sent to a daemon with an old configuration.
        site.push_back(candidate("a", 2, 0.25));
        site[0].store_reachable = false;
        const auto chosen = choose_entries(site, 0);
        CHECK(chosen.size() == 6);
        CHECK(std::find(chosen.begin(), chosen.end(), std::size_t{0}) == chosen.end());
        CHECK(choose_entries(site, 1e6).size() == site.size());
    }
    SECTION("no daemon is chosen when there are no candidates")
    {
        CHECK(choose_entries({}, 100).empty());
    }
}

TEST_CASE("callers are told the daemons of their own failure domain while these suffice", "[entry_choice]")
{
    near_entries decision;
    const failure_domain_id domain("a");
    const domain_entries calm{2, 0.25, 100, 300};
    time_point now{};
    CHECK(decision.suffice(domain, calm, now));

    SECTION("one ready daemon is not enough")
    {
        // Guards against callers without a second address when their daemon is lost.
        CHECK_FALSE(decision.suffice(domain, {1, 0.5, 100, 300}, now));
        CHECK(decision.suffice(domain, calm, now));
    }
    SECTION("a domain with more demand than its daemons can carry is helped by the others")
    {
        CHECK_FALSE(decision.suffice(domain, {2, 0.25, 270, 540}, now));

        SECTION("also when the arrivals are spread over all daemons")
        {
            // Guards against lists that swing: with the requests spread, the domain seems to have room.
            for (int i = 0; i < 20; ++i) {
                now += seconds(1);
                CHECK_FALSE(decision.suffice(domain, {2, 0.25, 180, 540}, now));
            }
        }
        SECTION("until the demand of all domains has fallen")
        {
            now += seconds(5);
            CHECK(decision.suffice(domain, {2, 0.25, 130, 390}, now));
        }
        SECTION("or its demand has not been measured for long")
        {
            now += seconds(31);
            CHECK(decision.suffice(domain, {2, 0.25, 180, 540}, now));
        }
        SECTION("while another domain keeps its callers")
        {
            CHECK(decision.suffice(failure_domain_id("b"), calm, now));
        }
    }
}

TEST_CASE("few daemons with frequent load reports fill the targets evenly", "[entry_choice]")
{
    // Simulates 300 requests a second for 400 slots. Guards against targets with three times as many requests
    // as others, which happened with 89 daemons that report every 0.74 s.
    simulation many;
    many.daemons = 89;
    many.report_ms = 740;
    CHECK(run(many).full_share > 0.02);
    CHECK(run(simulation{}).full_share < 0.005);
}

TEST_CASE("in overload a slot that becomes free is used by one daemon", "[entry_choice]")
{
    // Simulates 450 requests a second for 400 slots. Guards against eight daemons that all use the last slot
    // of a target before they learn of each other's requests: these requests wait there and are answered
    // late.
    simulation overload;
    overload.requests_per_s = 450;
    const auto before = run(overload);
    CHECK(before.full_share > 0.2);
    overload.reports_scarce_slots = true;
    overload.reserves_slots = true;
    const auto after = run(overload);
    CAPTURE(after.full_share, after.utilization);
    CHECK(after.full_share < 0.02);

    SECTION("the slots are used nevertheless")
    {
        CHECK(after.utilization > 0.9);
    }
    SECTION("a target with few slots reserves none of them")
    {
        // Guards against plain services whose few slots most daemons could not use.
        for (std::uint32_t position = 0; position < 8; ++position) {
            CHECK(reserved_slots({position, 8}, 3, 6) == 0);
        }
    }
    SECTION("each daemon is first in the order of equally many targets")
    {
        std::map<std::uint32_t, int> first;
        for (std::size_t target = 0; target < 16; ++target) {
            for (std::uint32_t position = 0; position < 8; ++position) {
                first[position] += reserved_slots({position, 8}, target, 25) == 0 ? 1 : 0;
            }
        }
        for (const auto& [position, count] : first) {
            CHECK(count == 2);
        }
    }
}
