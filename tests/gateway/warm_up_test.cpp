#include "gateway/managed_site.hpp"

#include <algorithm>

using namespace rml;
using namespace rml::test;

namespace {

/// Adds a second model: engines outside groups are warmed up only if the site has several.
void add_model(managed_site& site)
{
    auto& models = site.site->config["services"][0]["engine"]["models"];
    models.push_back(models[0]);
    models[1]["name"] = "drafter";
    site.site->publish();
    REQUIRE(site.run_until(
        [&] { return site.fleet.config() != nullptr && site.fleet.config()->version() == 6; }));
}

} // namespace

TEST_CASE("a new manager does not warm up a member of a serving group that its entry does not show",
          "[gateway][group_manager]")
{
    site_standin::site_options options;
    options.fabrics = 1;
    managed_site site(options);
    site.lease.held = false;
    add_model(site);
    const group_key shown{group_id("g1"), 1};
    const group_key hidden{group_id("g3"), 3};
    const std::vector<instance_id> members{instance_id("e02"), instance_id("e03")};
    REQUIRE(site.run_until([&] { return site.fleet.targets().size() == 6; }));
    stage_all(site, 4);
    form_group(site, {instance_id("e00"), instance_id("e01")}, shown);
    auto& head = site.engine(members[0]);
    auto& member = site.engine(members[1]);
    member.faults.entry_frozen = true;
    form_group(site, members, hidden);
    head.faults.late_operation = "close";
    head.faults.order_delay = milliseconds(60000);
    site.lease.held = true;
    site.lease.revision = 90;
    site.run_for(milliseconds(1500));
    CHECK(std::count(member.operations.begin(), member.operations.end(), "join") == 1);
    CHECK(first_violation(site).empty());
}

TEST_CASE("a warm-up that is under way is not ordered again", "[gateway][group_manager]")
{
    // Guards against loads that never end: each order to join replaces the one before.
    site_standin::site_options options;
    options.fabrics = 1;
    options.engines_per_fabric = 3;
    managed_site site(options);
    site.lease.held = false;
    add_model(site);
    REQUIRE(site.run_until([&] { return site.fleet.targets().size() == 5; }));
    stage_all(site, 3);
    form_group(site, {instance_id("e00"), instance_id("e01")});
    site.site->fleet.timing.warm = milliseconds(500);
    const instance_id name("e02");
    auto& spare = site.engine(name);
    const auto joins = [&] { return std::count(spare.operations.begin(), spare.operations.end(), "join"); };
    const auto loaded = [&] { return site.fleet.find_target(name)->entry.model == model_id("planner"); };

    SECTION("until the engine shows the model")
    {
        site.lease.held = true;
        site.lease.revision = 90;
        CHECK(site.run_until(loaded, milliseconds(5000)));
    }
    SECTION("also when the engine cannot reach the store")
    {
        spare.faults.entry_frozen = true;
        site.lease.held = true;
        site.lease.revision = 90;
        site.run_for(milliseconds(2000));
    }
    SECTION("also when the answer to the order is lost")
    {
        spare.faults.unanswered_group = "parked-";
        site.lease.held = true;
        site.lease.revision = 90;
        CHECK(site.run_until(loaded, milliseconds(5000)));
    }
    CHECK(joins() == 1);
    CHECK(first_violation(site).empty());
}

TEST_CASE("a warm-up that an engine carries out late does not take a member of an adopted group",
          "[gateway][group_manager]")
{
    site_standin::site_options options;
    options.fabrics = 1;
    managed_site site(options);
    site.lease.held = false;
    add_model(site);
    REQUIRE(site.run_until([&] { return site.fleet.targets().size() == 6; }));
    stage_all(site, 3);
    form_group(site, {instance_id("e00"), instance_id("e01")}, {group_id("g3"), 3});
    const std::vector<instance_id> members{instance_id("e02"), instance_id("e03")};
    send_order(site, members[0], gateway::group_action::join, members);
    site.run_for(milliseconds(300));
    auto& late = site.engine(members[1]);
    late.faults.late_operation = "join";
    late.faults.order_delay = milliseconds(1500);
    site.lease.held = true;
    site.lease.revision = 90;
    site.run_for(milliseconds(600)); // the order to warm up is on its way
    late.faults.late_operation.clear();
    send_order(site, members[1], gateway::group_action::join, members); // late order of the previous manager
    late.faults.late_operation = "join";
    site.run_for(milliseconds(2500));
    CHECK(first_violation(site).empty());
}

TEST_CASE("a lost order to warm up does not make a member of an adopted group free",
          "[gateway][group_manager]")
{
    site_standin::site_options options;
    options.fabrics = 1;
    options.engines_per_fabric = 5;
    managed_site site(options);
    site.lease.held = false;
    add_model(site);
    REQUIRE(site.run_until([&] { return site.fleet.targets().size() == 7; }));
    stage_all(site, 3);
    form_group(site, {instance_id("e00"), instance_id("e01")}, {group_id("g3"), 3});
    const std::vector<instance_id> members{instance_id("e02"), instance_id("e03")};
    send_order(site, members[0], gateway::group_action::join, members);
    site.run_for(milliseconds(300));
    send_order(site, instance_id("e04"), gateway::group_action::stage);
    site.run_for(milliseconds(300));
    site.engine(instance_id("e04")).faults.unregistered = true;
    site.engine(instance_id("e04")).update_entry();
    site.run_for(milliseconds(300));
    auto& late = site.engine(members[1]);
    late.faults.late_operation = "join";
    late.faults.order_delay = milliseconds(60000); // the order is lost
    site.lease.held = true;
    site.lease.revision = 90;
    site.run_for(milliseconds(600));
    late.faults.late_operation.clear();
    send_order(site, members[1], gateway::group_action::join, members);
    site.run_for(milliseconds(700));
    site.engine(instance_id("e04")).faults.unregistered = false;
    site.engine(instance_id("e04")).update_entry();
    site.run_for(milliseconds(3000));
    CHECK(first_violation(site).empty());
}
