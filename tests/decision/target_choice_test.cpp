#include "decision/target_choice.hpp"

#include "decision/random_source.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace rml;

namespace {

target_candidate candidate(const std::string& name, std::uint32_t own, std::uint32_t others = 0,
                           std::uint32_t slots = 10)
{
    target_candidate out;
    out.instance = instance_id(name);
    out.own = own;
    out.others = others;
    out.slots = slots;
    return out;
}

} // namespace

TEST_CASE("a target is chosen among those with a free slot", "[target_choice]")
{
    SECTION("a full, tried or suspected target is not chosen")
    {
        auto tried = candidate("tried", 0);
        tried.tried = true;
        auto suspected = candidate("suspected", 0);
        suspected.suspected = true;
        const std::vector<target_candidate> list{candidate("full", 6, 4), tried, suspected,
                                                 candidate("open", 9)};
        for (std::uint64_t random = 0; random < 50; ++random) {
            CHECK(choose_target(list, random) == 3U);
        }
        CHECK(free_slots(list) == 11);

        SECTION("a suspected target is chosen when no other is usable")
        {
            const std::vector<target_candidate> rest{list[0], list[1], list[2]};
            CHECK(choose_target(rest, 7) == 2U);
        }
    }
    SECTION("an ejected target is not chosen when all others are full")
    {
        // Guards against sending overload to failed targets: nothing is in flight there, so they alone
        // appear to have free slots.
        auto dead = candidate("dead", 0);
        dead.ejected = true;
        auto silent = candidate("silent", 3);
        silent.suspected = true;
        CHECK_FALSE(choose_target({dead, candidate("full", 10)}, 3));
        CHECK(choose_target({dead, candidate("full", 10), silent}, 3) == 2U);
        CHECK(free_slots({dead, candidate("full", 10)}) == 0);

        SECTION("an ejected target is chosen when all untried targets are ejected")
        {
            auto tried = candidate("tried", 1);
            tried.tried = true;
            CHECK(choose_target({tried, dead}, 3) == 1U);
        }
    }
    SECTION("a rerouted request leaves the fabric domain of the failed target")
    {
        // Guards against aborted streams: all groups of a fabric domain stalled, and the second and last
        // attempt went to another group of that domain, whose stall was not detected because nothing was in
        // flight there.
        auto tried = candidate("tried", 1);
        tried.tried = true;
        auto same_domain = candidate("same_domain", 0);
        auto other_domain = candidate("other_domain", 8);
        tried.fabric = same_domain.fabric = fabric_domain_id("f0");
        other_domain.fabric = fabric_domain_id("f1");
        for (std::uint64_t random = 0; random < 50; ++random) {
            CHECK(choose_target({tried, same_domain, other_domain}, random) == 2U);
        }

        SECTION("a target of the same domain is chosen when no other domain has a free slot")
        {
            other_domain.own = other_domain.slots;
            CHECK(choose_target({tried, same_domain, other_domain}, 3) == 1U);
        }
        SECTION("a target of the same domain is preferred to a suspected target")
        {
            other_domain.suspected = true;
            CHECK(choose_target({tried, same_domain, other_domain}, 3) == 1U);
        }
    }
    SECTION("targets without a fabric domain do not count as one domain")
    {
        auto tried = candidate("tried", 1);
        tried.tried = true;
        CHECK(choose_target({tried, candidate("other", 0), candidate("full", 10)}, 3) == 1U);
    }
    SECTION("nothing is chosen when all are full")
    {
        CHECK_FALSE(choose_target({candidate("a", 10), candidate("b", 0, 10)}, 3));
    }
    SECTION("a slow target gets fewer requests")
    {
        auto slow = candidate("slow", 1);
        slow.slowness = 4;
        CHECK(choose_target({slow, candidate("usual", 2)}, 0) == 1U);
        CHECK(choose_target({slow, candidate("usual", 2)}, 1) == 1U);
    }
}

TEST_CASE("daemons with outdated load reports do not all choose one target", "[target_choice]")
{
    // Simulates six daemons that receive each other's load reports only after 15 arrivals. The choice of the
    // least loaded target would send all 15 requests to the same one; with two random draws the most used
    // target gets a fraction of them.
    std::mt19937_64 engine(20261204);
    constexpr std::size_t targets = 12;
    constexpr int stale_arrivals = 15;
    std::vector<std::uint32_t> actual_load(targets, 4);
    actual_load[5] = 0;
    std::uint32_t most_sent = 0;
    for (int round = 0; round < 200; ++round) {
        std::vector<target_candidate> candidates;
        for (std::size_t i = 0; i < targets; ++i) {
            candidates.push_back(candidate("t" + std::to_string(i), 0, actual_load[i], 26));
        }
        std::vector<std::uint32_t> sent(targets, 0);
        for (int i = 0; i < stale_arrivals; ++i) {
            ++sent[*choose_target(candidates, engine())];
        }
        most_sent = std::max(most_sent, *std::max_element(sent.begin(), sent.end()));
    }
    CHECK(most_sent <= stale_arrivals * 2 / 3);
}

TEST_CASE("a request that may crash its target goes to the usable target with the fewest requests",
          "[target_choice]")
{
    std::vector<target_candidate> candidates{candidate("a", 2), candidate("b", 0, 1), candidate("c", 3)};
    for (std::uint64_t random = 0; random < 6; ++random) {
        CHECK(choose_least_loaded(candidates, random) == 1);
    }
    CHECK_FALSE(choose_least_loaded({}, 1));

    SECTION("equal ones are chosen at random, so that daemons do not all choose the same")
    {
        candidates[2].own = 1;
        std::set<std::size_t> chosen;
        for (std::uint64_t random = 0; random < 6; ++random) {
            chosen.insert(*choose_least_loaded(candidates, random));
        }
        CHECK(chosen == std::set<std::size_t>{1, 2});
    }
}
