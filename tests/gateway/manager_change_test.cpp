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
