#include "gateway/managed_site.hpp"

using namespace rml;
using namespace rml::test;

namespace {

/// One fabric domain with two models, whose engines get no orders before the manager takes over. Engines
/// outside groups are warmed up only if the site has several models.
class two_model_site : public managed_site
{
public:
    explicit two_model_site(std::uint32_t engines) : managed_site(create_options(engines))
    {
        this->lease.held = false;
        auto& models = this->site->config["services"][0]["engine"]["models"];
        models.push_back(models[0]);
        models[1]["name"] = "drafter";
        this->site->publish();
        REQUIRE(this->run_until(
            [&] { return this->fleet.config() != nullptr && this->fleet.config()->version() == 6; }));
        REQUIRE(this->run_until([&] { return this->fleet.targets().size() == engines + plain_instances; }));
    }

private:
    static constexpr std::size_t plain_instances = 2; ///< targets of the site that are no engines

    static site_standin::site_options create_options(std::uint32_t engines)
    {
        site_standin::site_options options;
        options.fabrics = 1;
        options.engines_per_fabric = engines;
        return options;
    }
};

/// A formation of e02 and e03 by a previous manager, beside a serving group with a newer epoch. Its order to
/// join reaches e03 only after the change of the manager.
class interrupted_formation
{
public:
    explicit interrupted_formation(managed_site& where) : site(where)
    {
        stage_all(this->site, 3);
        form_group(this->site, {instance_id("e00"), instance_id("e01")}, {group_id("g3"), 3});
        send_order(this->site, this->members[0], gateway::group_action::join, this->members);
        this->site.run_for(milliseconds(300));
    }
    const instance_id& late_member() const { return this->members[1]; }
    /// The new manager's orders to e03 to join are executed with that delay and are not answered.
    void change_manager(milliseconds order_delay)
    {
        this->site.delay_orders(this->late_member(), "join", order_delay);
        this->site.take_over();
        this->site.run_for(milliseconds(600)); // the order to warm up is on its way
        this->site.engine(this->late_member()).faults.late_operation.clear();
        // late order of the previous manager
        send_order(this->site, this->late_member(), gateway::group_action::join, this->members);
    }

private:
    managed_site& site;
    const std::vector<instance_id> members{instance_id("e02"), instance_id("e03")};
};

} // namespace

TEST_CASE("a new manager does not warm up a member of a serving group that its entry does not show",
          "[gateway][group_manager]")
{
    two_model_site site(4);
    const group_key shown{group_id("g1"), 1};
    const group_key hidden{group_id("g3"), 3};
    const std::vector<instance_id> members{instance_id("e02"), instance_id("e03")};
    stage_all(site, 4);
    form_group(site, {instance_id("e00"), instance_id("e01")}, shown);
    site.engine(members[1]).faults.entry_frozen = true;
    form_group(site, members, hidden);
    site.lose_orders(members[0], "close");
    site.take_over();
    site.run_for(milliseconds(1500));
    CHECK(site.orders_of(members[1], "join") == 1);
    CHECK(first_violation(site).empty());
}

TEST_CASE("a warm-up that is under way is not ordered again", "[gateway][group_manager]")
{
    // Guards against loads that never end: each order to join replaces the one before.
    two_model_site site(3);
    stage_all(site, 3);
    form_group(site, {instance_id("e00"), instance_id("e01")});
    site.site->fleet.timing.warm = milliseconds(500);
    const instance_id name("e02");
    auto& spare = site.engine(name);
    const auto loaded = [&] { return site.fleet.find_target(name)->entry.model == model_id("planner"); };

    SECTION("until the engine shows the model")
    {
        site.take_over();
        CHECK(site.run_until(loaded, milliseconds(5000)));
    }
    SECTION("also when the engine cannot reach the store")
    {
        spare.faults.entry_frozen = true;
        site.take_over();
        site.run_for(milliseconds(2000));
    }
    SECTION("also when the answer to the order is lost")
    {
        spare.faults.unanswered_group = "parked-";
        site.take_over();
        CHECK(site.run_until(loaded, milliseconds(5000)));
    }
    CHECK(site.orders_of(name, "join") == 1);
    CHECK(first_violation(site).empty());
}

TEST_CASE("a warm-up that is carried out late takes no member of an unfinished group",
          "[gateway][group_manager]")
{
    constexpr milliseconds order_delay{1500};
    two_model_site site(4);
    interrupted_formation formation(site);
    formation.change_manager(order_delay);
    site.delay_orders(formation.late_member(), "join", order_delay);
    site.run_for(milliseconds(2500));
    CHECK(first_violation(site).empty());
}

TEST_CASE("a lost order to warm up does not make a member of an unfinished group free",
          "[gateway][group_manager]")
{
    two_model_site site(5);
    interrupted_formation formation(site);
    send_order(site, instance_id("e04"), gateway::group_action::stage);
    site.run_for(milliseconds(300));
    site.engine(instance_id("e04")).faults.unregistered = true;
    site.engine(instance_id("e04")).update_entry();
    site.run_for(milliseconds(300));
    formation.change_manager(lost_order_delay);
    site.run_for(milliseconds(700));
    site.engine(instance_id("e04")).faults.unregistered = false;
    site.engine(instance_id("e04")).update_entry();
    site.run_for(milliseconds(3000));
    CHECK(first_violation(site).empty());
}
