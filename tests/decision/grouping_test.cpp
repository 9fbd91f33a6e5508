#include "decision/grouping.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <rapidcheck.h>
#include <set>

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

    SECTION("an unchanged input keeps the plan")
    {
        const auto second = form(input);
        CHECK_FALSE(second.changed);
        CHECK(second.stats.reassigned == 0);
    }
    SECTION(
        "a spare of the same fabric domain replaces a lost member, and the other members keep their ranks")
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
    SECTION("an unfenced spare joins no group before the duty is settled")
    {
        input.settled = false;
        input.engines[1].usable = false;
        CHECK_FALSE(form(input).changed);
        for (auto& view : input.engines) {
            view.fenced = true;
        }
        CHECK(form(input).stats.repaired == 1);
    }
    SECTION("a new version is assigned to one group at a time")
    {
        input.pools[0].version = "2";
        const auto second = form(input);
        CHECK(second.stats.updated == 1);
        CHECK(second.stats.complete == 2);
    }
    SECTION("a group whose size changes drops the incarnations of its former members")
    {
        auto groups = first.plan.groups();
        for (auto& group : groups) {
            group.incarnations.assign(group.members.size(), 7);
        }
        const auto recorded = value(domain_plan::create(domain, groups, first.plan.locations()));
        input.previous = &recorded;
        input.pools[0].group_size = 3;
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

TEST_CASE("survivors that hold the weights form a complete group when their own groups cannot be repaired",
          "[grouping]")
{
    auto input = make_input(make_engines({10}), {make_demand("drafts", 4, 2)});
    const auto first = form(input);
    input.previous = &first.plan;
    for (auto& view : input.engines) {
        const auto* group = first.plan.group_of(view.instance);
        view.model = model_id(group == nullptr ? "" : "drafts-model");
        view.version = "1";
        // Two members of each group are lost; the spares hold no weights.
        view.usable =
            group == nullptr || view.instance == group->members[0] || view.instance == group->members[1];
    }
    const auto second = form(input);
    REQUIRE(second.stats.complete == 1);
    CHECK(second.stats.reassigned == 2);
    for (const auto& member : second.plan.groups()[0].members) {
        CHECK(first.plan.group_of(member) != nullptr);
    }
}

TEST_CASE("a smaller group is dissolved only after its copy serves", "[grouping]")
{
    auto input =
        make_input(make_engines({4, 2}), {make_demand("drafts", 4, 0), make_demand("estimates", 1, 2)});
    const auto first = form(input);
    input.previous = &first.plan;
    input.previous_revision = 1;
    input.pools[0].groups = 1;
    const auto second = form(input);
    CHECK(second.stats.moved == 1);
    CHECK(second.stats.complete == 3);
    CHECK(second.stats.dropped == 0);
    input.previous = &second.plan;
    input.previous_revision = 2;
    SECTION("no group is dissolved while the copy loads")
    {
        for (auto& view : input.engines) {
            const auto* group = second.plan.group_of(view.instance);
            view.ready = group != nullptr && first.plan.find(group->id) != nullptr;
        }
        CHECK_FALSE(form(input).changed);
    }
    SECTION("the larger group is formed once the copy serves")
    {
        const auto third = form(input);
        CHECK(third.stats.unmet_demand == 0);
        CHECK(third.stats.retired > 0);
    }
}

TEST_CASE("instances that fail together share a group, unless weights in memory decide otherwise",
          "[grouping]")
{
    auto input = make_input(make_engines({4}), {make_demand("drafts", 2, 2)});
    shared_risk risk;
    for (int i = 0; i < 3; ++i) {
        risk.record_loss(instance_id("f0-0"), time_point(std::chrono::hours(i)));
        risk.record_loss(instance_id("f0-3"), time_point(std::chrono::hours(i)));
    }
    input.now = time_point(std::chrono::hours(3));
    input.risk = &risk;
    auto outcome = form(input);
    CHECK(outcome.plan.group_of(instance_id("f0-0")) == outcome.plan.group_of(instance_id("f0-3")));
    for (const auto i : {0, 1}) {
        input.engines[static_cast<std::size_t>(i)].model = model_id("drafts-model");
        input.engines[static_cast<std::size_t>(i)].version = "1";
    }
    outcome = form(input);
    CHECK(outcome.plan.group_of(instance_id("f0-0")) == outcome.plan.group_of(instance_id("f0-1")));
}

TEST_CASE("pools are divided over failure domains", "[grouping]")
{
    const failure_domain_id a("a");
    const failure_domain_id b("b");
    const std::vector<fabric_capacity> fabrics{{fabric_domain_id("fa"), a, 16},
                                               {fabric_domain_id("fb"), b, 9}};
    SECTION("evenly while capacity lasts")
    {
        const auto shares = divide_pools({{pool, 4, 4, {a, b}}}, fabrics);
        CHECK(shares.at({pool, a}) == 2);
        CHECK(shares.at({pool, b}) == 2);
    }
    SECTION("by remaining capacity, with no pool taking all of it")
    {
        const model_pool_id other("estimates");
        const auto shares = divide_pools({{pool, 4, 9, {a, b}}, {other, 4, 9, {a, b}}}, fabrics);
        CHECK(shares.at({pool, a}) + shares.at({pool, b}) == 3);
        CHECK(shares.at({other, a}) + shares.at({other, b}) == 3);
    }
}

namespace {

/// Reference result: forms as many groups as fit in each fabric domain, without regard to the previous plan.
std::size_t naive_count(const grouping_input& input)
{
    std::map<fabric_domain_id, std::size_t> usable;
    for (const auto& view : input.engines) {
        usable[view.fabric] += view.usable ? 1 : 0;
    }
    auto pools = input.pools;
    std::sort(pools.begin(), pools.end(),
              [](const pool_demand& a, const pool_demand& b) { return a.group_size > b.group_size; });
    std::size_t formed = 0;
    for (auto& demand : pools) {
        for (auto& [fabric, left] : usable) {
            while (demand.groups > 0 && left >= demand.group_size) {
                left -= demand.group_size;
                --demand.groups;
                ++formed;
            }
        }
    }
    return formed;
}

std::size_t complete_count(const grouping_input& input, const domain_plan& plan)
{
    std::set<instance_id> usable;
    for (const auto& view : input.engines) {
        if (view.usable) {
            usable.insert(view.instance);
        }
    }
    return static_cast<std::size_t>(
        std::count_if(plan.groups().begin(), plan.groups().end(), [&](const group_record& group) {
            return std::all_of(group.members.begin(), group.members.end(),
                               [&](const instance_id& member) { return usable.count(member) != 0; });
        }));
}

/// Repeats the decision on the same input, with every group serving, until the plan stops changing.
void decide_until_stable(grouping_input input, std::optional<grouping_outcome>& before)
{
    std::size_t wanted = 0;
    for (const auto& demand : input.pools) {
        wanted += demand.groups;
    }
    for (int decision = 0; decision < 20; ++decision) {
        input.previous = &before->plan;
        ++input.previous_revision;
        auto outcome = form_groups(input);
        RC_ASSERT(succeeded(outcome));
        RC_ASSERT(value(outcome).stats.unmet_demand <= before->stats.unmet_demand);
        before = value(std::move(outcome));
        if (!before->changed) {
            RC_ASSERT(wanted - before->stats.unmet_demand >= naive_count(input));
            return;
        }
    }
    RC_FAIL("the plan still changes after 20 decisions on the same input");
}

/// Random losses and returns of engines over several decisions. `sizes`: group size per pool.
void compare_with_naive(const std::vector<std::uint32_t>& sizes, bool settled_always)
{
    const auto per_fabric = *rc::gen::container<std::vector<std::size_t>>(
        *rc::gen::inRange<std::size_t>(1, 5), rc::gen::inRange<std::size_t>(1, 13));
    std::vector<pool_demand> demands;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        demands.push_back(make_demand(("p" + std::to_string(i)).c_str(), sizes[i], *rc::gen::inRange(0, 8)));
    }
    auto input = make_input(make_engines(per_fabric), demands);
    std::optional<grouping_outcome> before;
    for (int decision = 0; decision < 6; ++decision) {
        for (auto& view : input.engines) {
            view.usable = *rc::gen::inRange(0, 6) > 0;
            view.fenced = *rc::gen::arbitrary<bool>();
        }
        input.settled = settled_always || *rc::gen::arbitrary<bool>();
        input.previous = before ? &before->plan : nullptr;
        input.previous_revision = static_cast<std::uint64_t>(decision) * 100;
        auto outcome = form_groups(input);
        RC_ASSERT(succeeded(outcome));
        const auto& next = value(outcome);
        RC_ASSERT(complete_count(input, next.plan) == next.stats.complete);
        for (const auto& group : next.plan.groups()) {
            const auto demand =
                std::find_if(input.pools.begin(), input.pools.end(),
                             [&](const pool_demand& each) { return each.pool == group.pool; });
            RC_ASSERT(demand != input.pools.end());
            RC_ASSERT(group.members.size() == demand->group_size);
            const auto* old = before ? before->plan.find(group.id) : nullptr;
            RC_ASSERT(group.epoch <= input.previous_revision + 1);
            for (const auto& member : group.members) {
                const auto view =
                    std::find_if(input.engines.begin(), input.engines.end(),
                                 [&](const engine_view& each) { return each.instance == member; });
                RC_ASSERT(view->fabric == group.fabric);
                const bool joined =
                    old == nullptr || std::count(old->members.begin(), old->members.end(), member) == 0;
                // An engine without fencing joins no other group before the duty is settled.
                RC_ASSERT(!joined || input.settled || view->fenced);
            }
        }
        before = value(std::move(outcome));
        if (settled_always) {
            decide_until_stable(input, before);
        }
    }
}

} // namespace

TEST_CASE("grouping forms as many groups as the naive placement and keeps the invariants", "[grouping]")
{
    CHECK(rc::check("one pool", [] { compare_with_naive({*rc::gen::inRange<std::uint32_t>(1, 6)}, true); }));
    for (const auto& sizes : {std::vector<std::uint32_t>{4, 2}, {4, 1}, {2, 1}}) {
        CHECK(rc::check("two pools whose sizes divide each other", [&] { compare_with_naive(sizes, true); }));
    }
    CHECK(rc::check("any sizes, invariants only, with unsettled duties", [] {
        compare_with_naive({3, 2, 1}, false);
    }));
}
