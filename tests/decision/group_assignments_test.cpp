#include "decision/group_assignments.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("an engine stays assigned to a group until the group is released", "[group_assignments]")
{
    const engine_life engine{instance_id("e1"), 100};
    const group_key first{group_id("g2"), 2};
    const group_key second{group_id("g4"), 4};
    group_assignments assignments;
    CHECK_FALSE(assignments.knows(engine));
    assignments.assign(engine, {first, 1});
    REQUIRE(assignments.find(engine) != nullptr);
    CHECK(assignments.find(engine)->group == first);

    SECTION("a release frees its members and names the evidence")
    {
        assignments.release(first, release_evidence::head_left, engine.started_ms, time_point{});
        CHECK(assignments.find(engine) == nullptr);
        CHECK(assignments.knows(engine));
        CHECK(assignments.released(first) == release_evidence::head_left);
        CHECK(assignments.describe(engine) == "g2 (head left)");

        SECTION("until the release is forgotten")
        {
            assignments.forget_released_before(time_point{});
            CHECK_FALSE(assignments.released(first));
            CHECK(assignments.knows(engine));
        }
    }
    SECTION("the release of another group changes nothing")
    {
        assignments.release(second, release_evidence::never_opened, engine.started_ms, time_point{});
        CHECK(assignments.find(engine) != nullptr);
    }
    SECTION("a later group replaces the earlier one, but not the reverse")
    {
        assignments.assign(engine, {second, 0});
        assignments.assign(engine, {first, 1});
        CHECK(assignments.find(engine)->group == second);
        CHECK(assignments.members_of(first).empty());
    }
    SECTION("members are listed by rank")
    {
        assignments.assign({instance_id("e0"), 7}, {first, 2});
        assignments.assign({instance_id("e9"), 7}, {first, 0});
        CHECK(assignments.members_of(first) ==
              std::vector<instance_id>{instance_id("e9"), instance_id("e1"), instance_id("e0")});
    }
    SECTION("another life of the engine is in no known group")
    {
        const engine_life restarted{engine.instance, 200};
        CHECK_FALSE(assignments.knows(restarted));
        CHECK(assignments.find(restarted) == nullptr);
        assignments.assign(restarted, {first, 0});
        CHECK(assignments.find(restarted) != nullptr);
        CHECK(assignments.find(engine) == nullptr);
    }
    SECTION("an order to join needs evidence that the engine is in no other group that may serve")
    {
        const engine_life unknown{instance_id("e2"), 100};
        CHECK_FALSE(assignments.permit_join(unknown, {second, 0}));
        CHECK_FALSE(assignments.permit_join(engine, {second, 0}));
        assignments.release(first, release_evidence::head_left, engine.started_ms, time_point{});
        const auto permit = assignments.permit_join(engine, {second, 0});
        REQUIRE(permit);
        CHECK(permit->group() == second);
        CHECK(assignments.in_force(*permit));

        SECTION("and only one of two groups gets it")
        {
            CHECK_FALSE(assignments.permit_join(engine, {{group_id("g6"), 6}, 0}));
            CHECK(assignments.in_force(*permit));
        }
        SECTION("and it ends with the group, or with the lease of the manager")
        {
            assignments.release(second, release_evidence::never_opened, engine.started_ms, time_point{});
            CHECK_FALSE(assignments.in_force(*permit));
            assignments.clear();
            CHECK_FALSE(assignments.permit_join(engine, {{group_id("g6"), 6}, 0}));
        }
    }
    SECTION("a group that never serves gives way to a newer group, and to no older one")
    {
        assignments.release(first, release_evidence::head_left, engine.started_ms, time_point{});
        const auto parked = assignments.permit_join(engine, {fence_group(6), 0});
        REQUIRE(parked);
        CHECK_FALSE(assignments.permit_join(engine, {{group_id("g8"), 8}, 0}));
        assignments.confirm(*parked);
        CHECK_FALSE(assignments.permit_join(engine, {second, 0}));
        CHECK(assignments.permit_join(engine, {{group_id("g8"), 8}, 0}));
        CHECK_FALSE(assignments.in_force(*parked));
    }
    SECTION("an engine without an entry is forgotten")
    {
        assignments.forget_if([](const instance_id&) { return true; });
        CHECK_FALSE(assignments.knows(engine));
    }
}

TEST_CASE("the fence of an ended group never serves and is older than every later group",
          "[group_assignments]")
{
    // Guards against a fence that counts as a group that may serve: its engine would never be free again.
    const engine_life head{instance_id("e1"), 100};
    const group_key ended{group_id("g2"), 2};
    const auto permit = group_assignments::permit_fence(head, ended, 5);
    CHECK(permit.engine().instance == head.instance);
    CHECK(permit.group() == group_key(group_id("parked-3"), 3));
    CHECK(is_fence_group(permit.group().first));
    CHECK_FALSE(is_fence_group(ended.first));
    CHECK(permit.accepted_orders() == 5);
}

TEST_CASE("an answer that was asked for before an order is recognised", "[group_assignments]")
{
    // Guards against a report that undoes a newer record: it was asked for before the order to join.
    group_assignments assignments;
    const engine_life engine{instance_id("e1"), 100};
    assignments.record_free(engine, std::nullopt);
    const auto asked = assignments.changes_of(engine.instance);
    const auto permit = assignments.permit_join(engine, {fence_group(4), 0});
    REQUIRE(permit);
    CHECK(assignments.changes_of(engine.instance) != asked);

    SECTION("and an order that the engine has not accepted is no evidence that it is vacant")
    {
        CHECK_FALSE(assignments.vacant(engine));
        CHECK_FALSE(assignments.permit_join(engine, {{group_id("g6"), 6}, 1}));
        assignments.confirm(*permit);
        CHECK(assignments.vacant(engine));
        CHECK(assignments.permit_join(engine, {{group_id("g6"), 6}, 1}));
    }
}
