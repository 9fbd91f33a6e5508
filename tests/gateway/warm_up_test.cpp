#include "gateway/managed_site.hpp"

#include <algorithm>

using namespace rml;
using namespace rml::test;

TEST_CASE("a new manager does not warm up a member of a serving group that its entry does not show",
          "[gateway][group_manager]")
{
    site_standin::site_options options;
    options.fabrics = 1;
    managed_site site(options);
    site.lease.held = false;
    // Engines outside groups are warmed up only if the site has several models.
    auto& models = site.site->config["services"][0]["engine"]["models"];
    models.push_back(models[0]);
    models[1]["name"] = "drafter";
    site.site->publish();
    const group_key shown{group_id("g1"), 1};
    const group_key hidden{group_id("g3"), 3};
    const std::vector<instance_id> members{instance_id("e02"), instance_id("e03")};
    REQUIRE(site.run_until([&] {
        return site.fleet.targets().size() == 6 && site.fleet.config() && site.fleet.config()->version() == 6;
    }));
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
