#include "decision/domain_routing.hpp"

#include "decision/domain_delays.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <random>
#include <string>
#include <utility>

using namespace rml;

namespace {

constexpr std::size_t domains = 3;
constexpr std::size_t targets_per_domain = 8;
constexpr std::size_t targets = domains * targets_per_domain;
constexpr std::uint32_t slots = 25;
constexpr int service_ms = 500;
/// Utilization up to which a domain is filled while the others have room.
constexpr double level = 0.85;

routing_costs costs()
{
    return {{duration::zero(), milliseconds(4), milliseconds(4)}, milliseconds(service_ms)};
}

/// Share of a domain's requests that leaves when its demand is that part of its slots.
double right_share(double demand)
{
    return std::max(0.0, 1 - level / demand);
}

struct simulation
{
    std::size_t daemons_per_domain{4};
    int report_ms{100};
    double lost_reports{0}; ///< share of the reports that are lost
    /// Demand of a domain in parts of its slots.
    std::function<double(std::size_t, int)> demand{[](std::size_t, int) { return 0.6; }};
    /// Whether the targets of a domain are ejected.
    std::function<bool(std::size_t, int)> lost{[](std::size_t, int) { return false; }};
};

struct simulated_second
{
    std::vector<double> left = std::vector<double>(domains, 0); ///< share of the requests by origin
    std::size_t changes{0};                                     ///< of the regime, over all daemons
    double refused{0};                                          ///< share without a free slot
};

/// Simulates requests that arrive at random daemons of each domain. A daemon knows its own requests at once
/// and those of the others as last reported.
std::vector<simulated_second> run(const simulation& settings, int simulated_s)
{
    const auto daemons = settings.daemons_per_domain * domains;
    std::mt19937_64 random(11);
    std::vector<std::vector<std::uint32_t>> own(daemons, std::vector<std::uint32_t>(targets, 0));
    auto reported = own;
    std::vector<std::vector<std::uint32_t>> sums(domains, std::vector<std::uint32_t>(targets, 0));
    std::vector<domain_routing> routing(daemons);
    std::vector<std::vector<std::pair<std::size_t, std::size_t>>> ends(
        static_cast<std::size_t>(simulated_s * 1000 + service_ms + 1));
    std::vector<target_candidate> choices(targets);
    for (std::size_t target = 0; target < targets; ++target) {
        choices[target].instance = instance_id("t" + std::to_string(target));
        choices[target].slots = slots;
    }
    std::vector<double> due(domains, 0);
    std::vector<simulated_second> out;
    for (int second = 0; second < simulated_s; ++second) {
        auto& result = out.emplace_back();
        std::vector<double> arrived(domains, 0);
        for (int ms = second * 1000; ms < (second + 1) * 1000; ++ms) {
            for (const auto& [daemon, target] : ends[static_cast<std::size_t>(ms)]) {
                --own[daemon][target];
            }
            for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
                const bool reports =
                    ms % settings.report_ms == static_cast<int>(daemon * 37) % settings.report_ms;
                if (!reports || std::generate_canonical<double, 53>(random) < settings.lost_reports) {
                    continue;
                }
                for (std::size_t target = 0; target < targets; ++target) {
                    sums[daemon % domains][target] += own[daemon][target] - reported[daemon][target];
                }
                reported[daemon] = own[daemon];
            }
            for (std::size_t origin = 0; origin < domains; ++origin) {
                due[origin] += settings.demand(origin, ms) * targets_per_domain * slots / service_ms;
                for (; due[origin] >= 1; due[origin] -= 1) {
                    ++arrived[origin];
                    const auto daemon = origin + domains * (random() % settings.daemons_per_domain);
                    for (std::size_t target = 0; target < targets; ++target) {
                        auto& choice = choices[target];
                        const auto domain = target / targets_per_domain;
                        choice.domain = (domain + domains - origin) % domains;
                        choice.own = own[daemon][target];
                        choice.neighbours = sums[origin][target] - reported[daemon][target];
                        choice.others = choice.neighbours;
                        for (std::size_t other = 0; other < domains; ++other) {
                            choice.others += other == origin ? 0 : sums[other][target];
                        }
                        choice.ejected = settings.lost(domain, ms);
                    }
                    const auto before = routing[daemon].regime();
                    mark_elsewhere(routing[daemon].decide(choices, costs(), random()), choices);
                    result.changes += before == routing[daemon].regime() ? 0 : 1;
                    const auto chosen = choose_target(choices, random());
                    if (!chosen) {
                        ++result.refused;
                        continue;
                    }
                    result.left[origin] += choices[*chosen].domain == 0 ? 0 : 1;
                    ++own[daemon][*chosen];
                    ends[static_cast<std::size_t>(ms + service_ms)].emplace_back(daemon, *chosen);
                }
            }
        }
        for (std::size_t origin = 0; origin < domains; ++origin) {
            result.left[origin] /= std::max(1.0, arrived[origin]);
        }
    }
    return out;
}

/// Mean share that leaves the domain from that second on.
double left_from(const std::vector<simulated_second>& seconds, std::size_t domain, std::size_t first)
{
    double sum = 0;
    for (auto i = first; i < seconds.size(); ++i) {
        sum += seconds[i].left[domain];
    }
    return sum / static_cast<double>(seconds.size() - first);
}

simulation with_demand(double first, double second, double third)
{
    simulation out;
    out.demand = [=](std::size_t domain, int) { return std::vector{first, second, third}[domain]; };
    return out;
}

target_candidate candidate(std::size_t domain, std::uint32_t own, double slowness = 1)
{
    target_candidate out;
    out.domain = domain;
    out.own = own;
    out.slots = slots;
    out.slowness = slowness;
    return out;
}

} // namespace

TEST_CASE("requests stay in their failure domain while it has room", "[domain_routing]")
{
    SECTION("on a calm day nothing leaves")
    {
        // Guards against the bytes between domains that an equal choice among all targets causes.
        for (const auto& second : run(with_demand(0.6, 0.5, 0.7), 6)) {
            CHECK(second.left == std::vector<double>(domains, 0));
        }
    }
    SECTION("of a domain that is short by a tenth or by half only the excess leaves")
    {
        for (const double demand : {1.1, 1.5}) {
            const auto seconds = run(with_demand(demand, 0.4, 0.5), 8);
            CAPTURE(demand);
            CHECK(left_from(seconds, 0, 2) == Approx(right_share(demand)).epsilon(0.1));
            CHECK(left_from(seconds, 1, 2) == 0);
            for (const auto& second : seconds) {
                CHECK(second.refused == 0);
            }
        }
    }
    SECTION("two domains that are short at once share the room of the third")
    {
        const auto seconds = run(with_demand(1.1, 1.1, 0.2), 8);
        CHECK(left_from(seconds, 0, 2) == Approx(right_share(1.1)).epsilon(0.1));
        CHECK(left_from(seconds, 1, 2) == Approx(right_share(1.1)).epsilon(0.1));
        CHECK(left_from(seconds, 2, 2) == 0);
    }
    SECTION("moving demand is followed without a change of regime with every report")
    {
        // Guards against traffic that swings between the domains.
        simulation moving;
        moving.demand = [](std::size_t domain, int ms) {
            return 0.65 * (1 + 0.55 * std::sin((ms / 1000.0 - static_cast<double>(domain)) * 2 * M_PI / 15));
        };
        const auto seconds = run(moving, 30);
        std::size_t changes = 0;
        for (const auto& second : seconds) {
            changes += second.changes;
            CHECK(second.refused == 0);
        }
        const auto daemons = moving.daemons_per_domain * domains;
        // In two periods. Each domain exceeds the others on one flank of its swing, or on both.
        CHECK(changes <= 2 * 4 * daemons);
        CHECK(left_from(seconds, 0, 0) < 0.1);
    }
    SECTION("all leave a domain whose targets are lost, and come back with them")
    {
        auto loss = with_demand(0.4, 0.4, 0.4);
        loss.lost = [](std::size_t domain, int ms) { return domain == 0 && ms >= 2000 && ms < 5000; };
        const auto seconds = run(loss, 8);
        CHECK(seconds[1].left[0] == 0);
        CHECK(seconds[3].left[0] == 1);
        CHECK(seconds[5].left[0] == 0);
        CHECK(seconds[3].left[1] == 0);
    }
}

TEST_CASE("many daemons that decide at once send the right share to each domain", "[domain_routing]")
{
    // Guards against daemons that all leave, or all choose the same other domain, because they see the same
    // reports.
    auto many = with_demand(1.3, 0.25, 0.55);
    many.daemons_per_domain = 130;

    SECTION("with regular reports")
    {
        const auto seconds = run(many, 8);
        CHECK(left_from(seconds, 0, 2) == Approx(right_share(1.3)).epsilon(0.1));
        CHECK(left_from(seconds, 1, 2) == 0);
    }
    SECTION("with late and missing reports")
    {
        many.report_ms = 700;
        many.lost_reports = 0.2;
        const auto seconds = run(many, 8);
        CHECK(left_from(seconds, 0, 3) == Approx(right_share(1.3)).epsilon(0.1));
    }
    SECTION("in proportion to the free room of the other domains")
    {
        std::vector<target_candidate> list{candidate(0, 25), candidate(0, 25), candidate(1, 5),
                                           candidate(2, 15)};
        for (auto& entry : list) {
            if (entry.domain != 0) {
                std::swap(entry.own, entry.others); // requests of daemons there
            }
        }
        std::mt19937_64 random(5);
        std::vector<double> sent(domains, 0);
        constexpr int decisions = 39000;
        for (int i = 0; i < decisions; ++i) {
            domain_routing routing;
            sent[routing.decide(list, costs(), random()).domain] += 1.0 / decisions;
        }
        const auto room = 2 * level * slots - 20;
        const auto right = std::min(51 - 2 * level * slots, room) / 51;
        CHECK(1 - sent[0] == Approx(right).epsilon(0.1));
        CHECK(sent[1] / sent[2] == Approx((level * slots - 5) / (level * slots - 15)).epsilon(0.1));
    }
}

TEST_CASE("a request leaves when it is answered sooner elsewhere", "[domain_routing]")
{
    domain_routing routing;
    SECTION("while the own targets are slower by more than the delay")
    {
        const auto decision = routing.decide({candidate(0, 2, 2), candidate(1, 0)}, costs(), 0);
        CHECK(decision.reason == routing_reason::near_slow);
        CHECK(decision.domain == 1);

        SECTION("and until they are nearly as fast again")
        {
            CHECK(routing.decide({candidate(0, 2, 1.2), candidate(1, 2)}, costs(), 0).domain == 1);
            CHECK(routing.decide({candidate(0, 2, 1.1), candidate(1, 2)}, costs(), 0).domain == 0);
            CHECK(routing.decide({candidate(0, 2, 1.2), candidate(1, 2)}, costs(), 0).domain == 0);
        }
    }
    SECTION("but not when the delay costs more")
    {
        auto far = costs();
        far.delays[1] = milliseconds(400);
        CHECK(routing.decide({candidate(0, 2, 2), candidate(1, 0)}, far, 0).domain == 0);
    }
    SECTION("and not when a part of the own targets is fast enough for all")
    {
        CHECK(routing.decide({candidate(0, 2, 2), candidate(0, 2), candidate(1, 0)}, costs(), 0).domain == 0);
    }
}

TEST_CASE("the preferred failure domain is one of several reasons of a choice", "[domain_routing]")
{
    domain_routing routing;
    SECTION("a retry leaves the fabric domain that failed, in any failure domain")
    {
        // Guards against retries within a failure domain that has failed as a whole.
        std::vector<target_candidate> list{candidate(0, 0), candidate(0, 0), candidate(1, 5)};
        list[0].fabric = list[1].fabric = fabric_domain_id("f");
        list[0].tried = true;
        const auto decision = routing.decide(list, costs(), 0);
        CHECK(decision.reason == routing_reason::retry);
        mark_elsewhere(decision, list);
        CHECK(choose_target(list, 1) == 2U);
    }
    SECTION("a target elsewhere is chosen when the own ones are full or suspected")
    {
        std::vector<target_candidate> list{candidate(0, slots), candidate(0, 0), candidate(1, 9)};
        list[1].suspected = true;
        mark_elsewhere({}, list);
        CHECK(choose_target(list, 0) == 2U);
    }
}

TEST_CASE("a delay holds in both directions of a link", "[domain_routing]")
{
    const failure_domain_id a("a");
    const failure_domain_id b("b");
    domain_delays delays;
    delays.update(b, a, milliseconds(3));
    CHECK(delays.between(a, b) == duration(milliseconds(3)));
    CHECK(delays.between(a, a) == duration::zero());
    CHECK_FALSE(delays.between(a, failure_domain_id("c")));
    CHECK(delays.longest_from(a) == duration(milliseconds(3)));
    CHECK_FALSE(delays.longest_from(failure_domain_id("c")));
}
