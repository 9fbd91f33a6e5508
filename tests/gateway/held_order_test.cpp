#include "gateway/managed_site.hpp"

using namespace rml;
using namespace rml::test;

namespace {

const instance_id head("e00");
const instance_id member("e01");
const instance_id spare("e02");

/// Orders to the head that it does not answer and that the test carries out later, by the kind of order.
const std::vector<std::string> held_kinds{"join", "open", "fence"};

constexpr std::size_t plain_instances = 2; ///< targets of the site that are no engines

/// A group of two whose head has left its first order of each kind unanswered; a spare engine is not
/// registered.
class held_orders_site : public managed_site
{
public:
    held_orders_site() : managed_site(one_fabric_of_three())
    {
        this->lease.held = false;
        REQUIRE(this->run_until([&] { return this->fleet.targets().size() == 3 + plain_instances; }));
        this->register_spare(false);
        REQUIRE(this->run_until([&] { return this->fleet.targets().size() == 2 + plain_instances; }));
        this->engine(head).faults.holds = [this](const std::string& operation, const std::string& group) {
            const auto kind = is_fence_group(group_id(group)) ? "fence" : operation;
            const bool holds = std::find(held_kinds.begin(), held_kinds.end(), kind) != held_kinds.end() &&
                               this->held.emplace(kind, this->held.size()).second;
            return holds;
        };
        this->take_over();
        REQUIRE(this->run_until([&] { return this->group_count() == 1; }));
        REQUIRE(this->fleet.groups().front().head == head);
        REQUIRE(this->held.size() == 2);
    }

    void register_spare(bool registered)
    {
        this->engine(spare).faults.unregistered = !registered;
        this->engine(spare).update_entry();
    }
    /// The member drains, so that the manager ends the group; the head leaves and does not answer its fence.
    void end_group()
    {
        this->engine(member).drain();
        REQUIRE(this->run_until([&] { return this->held.count("fence") != 0; }));
    }
    /// The join is carried out as one that names no number of accepted orders, which the head would refuse.
    void carry_out(const std::string& kind)
    {
        this->engine(head).execute_held(this->held.at(kind), kind == "join" ? "expected" : "");
    }
    std::string first_join_of_two_groups() const
    {
        for (const auto& violation : this->site->fleet.violations) {
            if (violation.rule == "two groups") {
                return violation.what;
            }
        }
        return "";
    }

private:
    static site_standin::site_options one_fabric_of_three()
    {
        site_standin::site_options options;
        options.fabrics = 1;
        options.engines_per_fabric = 3;
        options.group_size = 2;
        return options;
    }

    std::map<std::string, std::size_t> held; ///< index of the held order, by kind
};

} // namespace

TEST_CASE("a head that late orders open again after it left leaves again before it joins its fence",
          "[gateway][group_manager][held_orders]")
{
    // Guards against an engine in two groups (review/12): the head had left, its fence was not answered, and
    // late orders to join and to open were carried out before the fence was repeated.
    held_orders_site site;
    SECTION("its reports are current") {}
    SECTION("its reports are older than its last orders")
    {
        site.site->fleet.timing.report_lag = milliseconds(150);
    }
    site.end_group();
    site.carry_out("join");
    site.run_for(site.site->fleet.timing.rejoin * 2);
    site.carry_out("open");
    site.run_for(milliseconds(1500));
    site.carry_out("fence");
    CHECK(site.first_join_of_two_groups() == "");
    CHECK(site.orders_of(head, "leave") == 2);
    site.register_spare(true);
    CHECK(site.run_until([&] { return site.group_count() == 1; }));
    CHECK(site.first_join_of_two_groups() == "");
}

TEST_CASE("held orders of an ended group are carried out in any order without an engine in two groups",
          "[gateway][group_manager][held_orders]")
{
    // Guards against evidence of an ending that was true once: each order is decided by what the head is
    // then.
    auto order = held_kinds;
    std::sort(order.begin(), order.end());
    do {
        for (const auto interval : {milliseconds(60), milliseconds(400)}) {
            SECTION(order[0] + ", " + order[1] + ", " + order[2] + ", one each " +
                    std::to_string(interval.count()) + " ms")
            {
                held_orders_site site;
                site.site->fleet.timing.report_lag = milliseconds(100);
                site.end_group();
                for (const auto& kind : order) {
                    site.carry_out(kind);
                    site.run_for(interval);
                }
                site.register_spare(true);
                CHECK(site.run_until([&] { return site.group_count() == 1; }));
                CHECK(site.first_join_of_two_groups() == "");
            }
        }
    } while (std::next_permutation(order.begin(), order.end()));
}
