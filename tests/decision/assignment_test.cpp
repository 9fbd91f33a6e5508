#include "decision/assignment.hpp"

#include "base/limits.hpp"
#include "store_model.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using test::at;

namespace {

group_record make_group(const char* id, std::vector<const char*> members)
{
    group_record group;
    group.id = group_id(id);
    group.model = model_id("m");
    group.version = "1";
    group.fabric = fabric_domain_id("f");
    group.epoch = 3;
    for (const auto* member : members) {
        group.members.emplace_back(member);
    }
    return group;
}

committed_plan make_plan(std::uint64_t revision, std::vector<group_record> groups)
{
    std::vector<instance_location> locations;
    for (const auto* name : {"a", "b", "c", "d", "e"}) {
        locations.push_back({instance_id(name), fabric_domain_id("f")});
    }
    return {value(domain_plan::create(failure_domain_id("waco-a"), std::move(groups), locations)), revision,
            "x"};
}

/// Records the status of an engine. `loaded`: it has the weights in memory.
void observe(observation_table& observations, const char* name, const char* group, bool loaded,
             std::int64_t ms)
{
    observer_report report;
    report.session = 1;
    report.sent_ms = static_cast<std::uint32_t>(ms);
    engine_status seen;
    seen.instance = instance_id(name);
    seen.group = group_id(group);
    seen.model = model_id(loaded ? "m" : "");
    seen.version = loaded ? "1" : "";
    seen.loaded = loaded;
    report.changes.push_back({seen, 0});
    observations.apply(daemon_id("d1"), report, at(ms));
}

} // namespace

TEST_CASE("orders follow the plan under the weight store's limit", "[assignment]")
{
    assignment control;
    observation_table observations;
    control.install_plan(make_plan(9, {make_group("g1", {"a", "b"}), make_group("g2", {"c", "d"})}));
    for (const auto* name : {"a", "b", "c", "e"}) {
        observe(observations, name, "", false, 0);
    }
    observe(observations, "d", "", true, 0);
    assignment_context context{{at(6000), at(8000)}, 2, at(1)};

    SECTION("groups with the fewest members left to load come first, and loads stay within the limit")
    {
        const auto orders = control.next_orders(observations, context);
        REQUIRE(orders.size() == 3);
        CHECK(orders[0].group == group_id("g2"));
        CHECK(orders[1].group == group_id("g2"));
        CHECK(orders[2].instance == instance_id("a"));
        CHECK(orders[0].fencing == 9);
        SECTION("orders in flight count as loads and are repeated only after the backoff")
        {
            for (const auto& order : orders) {
                REQUIRE(succeeded(control.start_order(order, context.lease, 9, at(1))));
                control.finish_order(order.instance);
            }
            CHECK(control.next_orders(observations, context).empty());
            context.now = at(600);
            const auto again = control.next_orders(observations, context);
            REQUIRE(again.size() == 3);
            REQUIRE(succeeded(control.start_order(again[0], context.lease, 9, at(600))));
            control.finish_order(again[0].instance);
            context.now = at(1200);
            CHECK(control.next_orders(observations, context).size() == 2);
            CHECK(control.stats().repeated == 1);
        }
        SECTION("an order is refused when the lease lapses between the decision and sending")
        {
            const auto refused = control.start_order(orders[0], context.lease, 9, at(6000));
            REQUIRE(failed(refused));
            CHECK(error(refused).kind == failure_kind::lapsed);
        }
        SECTION("an order is refused while a replacement of the plan is unresolved")
        {
            const auto refused = control.start_order(orders[0], context.lease, 0, at(2));
            REQUIRE(failed(refused));
            CHECK(error(refused).kind == failure_kind::stale);
        }
        SECTION("an order of an earlier plan is refused")
        {
            control.install_plan(make_plan(10, {make_group("g1", {"a", "b"})}));
            const auto refused = control.start_order(orders[0], context.lease, 10, at(2));
            REQUIRE(failed(refused));
            CHECK(error(refused).kind == failure_kind::stale);
        }
    }
    SECTION("no orders are returned without a valid lease")
    {
        context.now = at(6000);
        CHECK(control.next_orders(observations, context).empty());
    }
    SECTION("an engine that reports a group but belongs to none is released")
    {
        observe(observations, "e", "old", true, 10);
        context.now = at(11);
        context.concurrent_loads = 0;
        const auto orders = control.next_orders(observations, context);
        REQUIRE(orders.size() == 2);
        CHECK(orders[0].instance == instance_id("e"));
        CHECK(orders[0].group.empty());
    }
}
