#include "gateway/managed_site.hpp"

using namespace rml;
using namespace rml::test;

namespace {

/// A site with two engines of one fabric domain, as many as a group has.
site_standin::site_options one_group()
{
    site_standin::site_options options;
    options.fabrics = 1;
    options.engines_per_fabric = 2;
    return options;
}

} // namespace

TEST_CASE("a late order of an earlier manager takes no member of a group that the next one opened",
          "[gateway][group_manager]")
{
    managed_site site(one_group());
    site.lease.held = false;
    const std::vector<instance_id> members{instance_id("e00"), instance_id("e01")};
    REQUIRE(site.run_until([&] { return site.fleet.targets().size() == 4; }));
    for (const auto& member : members) {
        send_order(site, member, gateway::group_action::join, members);
    }
    site.run_for(site.site->fleet.timing.load * 2);
    site.take_over();
    REQUIRE(site.run_until([&] { return site.group_count() == 1; }));
    CHECK(deliver_order(site, members[1], gateway::group_action::join, {members[1]}, {group_id("g3"), 3}) ==
          gateway::order_verdict::stale);
    CHECK(first_violation(site).empty());
}

TEST_CASE("a new manager gives no order before it knows the store as of its lease",
          "[gateway][group_manager]")
{
    managed_site site(one_group());
    site.lease.held = false;
    REQUIRE(site.run_until([&] { return site.fleet.targets().size() == 4; }));
    site.take_over();
    site.lease.mirrored = site.lease.revision - 1;
    site.run_for(milliseconds(1000));
    CHECK(site.orders_of(instance_id("e00"), "join") == 0);
    site.lease.mirrored = site.lease.revision;
    CHECK(site.run_until([&] { return site.group_count() == 1; }));
}

TEST_CASE("a head that restarts while its group is formed is held until it refuses late orders",
          "[gateway][group_manager]")
{
    auto options = one_group();
    options.engines_per_fabric = 3;
    managed_site site(options);
    site.lease.held = false;
    REQUIRE(site.run_until([&] { return site.fleet.targets().size() == 5; }));
    const instance_id head("e00");
    auto& restarted = site.engine(head);
    auto& spare = site.engine(instance_id("e02"));
    spare.faults.unregistered = true;
    spare.update_entry();
    REQUIRE(site.run_until([&] { return site.fleet.targets().size() == 4; }));
    site.lose_next_orders(head, 1);
    site.take_over();
    REQUIRE(site.run_until([&] { return site.orders_of(instance_id("e01"), "join") == 1; }));
    restarted.restart();
    site.delay_orders(head, "open", milliseconds(2500));
    REQUIRE(site.run_until([&] { return site.orders_of(head, "join") == 1; }));
    site.run_for(site.site->fleet.timing.load * 2);
    restarted.drain(); // it is not wanted for the next group
    spare.faults.unregistered = false;
    spare.update_entry();
    site.run_for(milliseconds(5000));
    CHECK(first_violation(site).empty());
}
