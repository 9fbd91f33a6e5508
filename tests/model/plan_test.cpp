#include "model/plan.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

group_record make_group(const char* id, std::vector<const char*> members)
{
    group_record group;
    group.id = group_id(id);
    group.pool = model_pool_id("assistant");
    group.model = model_id("m");
    group.version = "1";
    group.fabric = fabric_domain_id("f1");
    group.epoch = 3;
    for (const auto* member : members) {
        group.members.emplace_back(member);
    }
    return group;
}

const std::vector<instance_location> locations{{instance_id("a"), fabric_domain_id("f1")},
                                               {instance_id("b"), fabric_domain_id("f1")},
                                               {instance_id("c"), fabric_domain_id("f2")}};

} // namespace

TEST_CASE("a plan cannot hold an instance in two groups", "[plan]")
{
    const failure_domain_id domain("budapest-a");
    SECTION("a plan with distinct members is accepted and round-trips through the codec")
    {
        const auto plan =
            domain_plan::create(domain, {make_group("g1", {"a"}), make_group("g2", {"b"})}, locations);
        REQUIRE(succeeded(plan));
        const auto decoded = decode_plan(encode_plan(value(plan), "attempt-1"), 7);
        REQUIRE(succeeded(decoded));
        CHECK(value(decoded).plan.groups() == value(plan).groups());
        CHECK(value(decoded).attempt_id == "attempt-1");
        CHECK(value(decoded).revision == 7);
    }
    SECTION("an instance in two groups is refused")
    {
        CHECK(failed(
            domain_plan::create(domain, {make_group("g1", {"a"}), make_group("g2", {"a"})}, locations)));
    }
    SECTION("an instance twice in one group is refused")
    {
        CHECK(failed(domain_plan::create(domain, {make_group("g1", {"a", "a"})}, locations)));
    }
    SECTION("a member of another fabric domain is refused")
    {
        CHECK(failed(domain_plan::create(domain, {make_group("g1", {"a", "c"})}, locations)));
    }
    SECTION("a truncated document is malformed")
    {
        const auto plan = domain_plan::create(domain, {make_group("g1", {"a"})}, locations);
        auto bytes = encode_plan(value(plan), "x");
        bytes.pop_back();
        const auto decoded = decode_plan(bytes, 1);
        REQUIRE(failed(decoded));
        CHECK(error(decoded).kind == failure_kind::malformed);
    }
}
