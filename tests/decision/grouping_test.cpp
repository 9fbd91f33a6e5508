#include "decision/grouping.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

const failure_domain_id domain("waco-a");
const model_pool_id pool("drafts");

std::vector<engine_view> make_engines(const std::vector<std::size_t>& per_fabric)
{
    std::vector<engine_view> engines;
    for (std::size_t fabric = 0; fabric < per_fabric.size(); ++fabric) {
        for (std::size_t i = 0; i < per_fabric[fabric]; ++i) {
            engine_view view;
            view.instance = instance_id("f" + std::to_string(fabric) + "-" + std::to_string(i));
            view.fabric = fabric_domain_id("f" + std::to_string(fabric));
            view.usable = true;
            view.ready = true;
            engines.push_back(view);
        }
    }
    return engines;
}

pool_demand make_demand(const char* name, std::uint32_t size, std::uint32_t groups)
{
    return {model_pool_id(name), model_id(std::string(name) + "-model"), "1", size, groups};
}

grouping_input make_input(std::vector<engine_view> engines, std::vector<pool_demand> pools)
{
    grouping_input input;
    input.domain = domain;
    input.engines = std::move(engines);
    input.pools = std::move(pools);
    return input;
}

grouping_outcome form(const grouping_input& input)
{
    auto outcome = form_groups(input);
    REQUIRE(succeeded(outcome));
    return value(std::move(outcome));
}

} // namespace

TEST_CASE("groups are formed, kept and repaired", "[grouping]")
{
    auto input = make_input(make_engines({5, 4}), {make_demand("drafts", 4, 2)});
    const auto first = form(input);
    REQUIRE(first.stats.complete == 2);
    CHECK(first.stats.stranded == 0);
    input.previous = &first.plan;
    input.previous_revision = 5;

    SECTION("nothing changes without need")
    {
        const auto second = form(input);
        CHECK_FALSE(second.changed);
        CHECK(second.stats.reassigned == 0);
    }
    SECTION("a lost member is replaced by the spare of its fabric domain, the others keep their ranks")
    {
        const auto* group = first.plan.group_of(instance_id("f0-1"));
        REQUIRE(group != nullptr);
        input.engines[1].usable = false;
        const auto second = form(input);
        const auto* repaired = second.plan.find(group->id);
        REQUIRE(repaired != nullptr);
        CHECK(second.stats.reassigned == 1);
        CHECK(repaired->epoch == 6);
        CHECK(repaired->members[0] == group->members[0]);
        CHECK(second.plan.group_of(instance_id("f0-4")) == repaired);
        CHECK(second.plan.group_of(instance_id("f0-1")) == nullptr);
    }
    SECTION("a group without a spare stays in the plan with its missing member")
    {
        input.engines[6].usable = false;
        const auto second = form(input);
        CHECK_FALSE(second.changed);
        CHECK(second.stats.complete == 1);
        CHECK(second.stats.incomplete == 1);
    }
    SECTION("a drained domain keeps its groups and forms none")
    {
        input.drained = true;
        input.engines[1].usable = false;
        input.pools[0].groups = 9;
        CHECK_FALSE(form(input).changed);
    }
    SECTION("an unfenced spare does not join a group before the duty is settled")
    {
        input.settled = false;
        input.engines[1].usable = false;
        CHECK_FALSE(form(input).changed);
        for (auto& view : input.engines) {
            view.fenced = true;
        }
        CHECK(form(input).stats.repaired == 1);
    }
    SECTION("a new version reaches one group at a time")
    {
        input.pools[0].version = "2";
        const auto second = form(input);
        CHECK(second.stats.updated == 1);
        CHECK(second.stats.complete == 2);
    }
    SECTION("a removed pool frees its engines")
    {
        input.pools = {make_demand("estimates", 1, 9)};
        const auto second = form(input);
        CHECK(second.stats.complete == 9);
        CHECK(second.stats.dropped == 2);
    }
}

TEST_CASE("pools are divided over failure domains", "[grouping]")
{
    const failure_domain_id a("a");
    const failure_domain_id b("b");
    const std::vector<fabric_capacity> fabrics{{fabric_domain_id("fa"), a, 16},
                                               {fabric_domain_id("fb"), b, 9}};
    SECTION("evenly while there is room")
    {
        const auto shares = divide_pools({{pool, 4, 4, {a, b}}}, fabrics);
        CHECK(shares.at({pool, a}) == 2);
        CHECK(shares.at({pool, b}) == 2);
    }
    SECTION("the rest goes where there is room, and no pool takes everything")
    {
        const model_pool_id other("estimates");
        const auto shares = divide_pools({{pool, 4, 9, {a, b}}, {other, 4, 9, {a, b}}}, fabrics);
        CHECK(shares.at({pool, a}) + shares.at({pool, b}) == 3);
        CHECK(shares.at({other, a}) + shares.at({other, b}) == 3);
    }
}
