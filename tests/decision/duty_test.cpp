#include "decision/duty.hpp"

#include "store_model.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using test::at;

namespace {

const failure_domain_id domain("waco-a");

/// Makes every call due at `now` with an immediate reply, until a watch reports no change.
void run(duty& role, test::store_model& store, time_point now)
{
    while (const auto call = role.next_call(now, true)) {
        const auto reply = store.apply(*call, now);
        role.on_reply(reply, now);
        if (reply.outcome == store_outcome::unchanged) {
            return;
        }
    }
}

} // namespace

TEST_CASE("candidates of a duty are in other failure domains", "[duty]")
{
    std::vector<duty_member> members;
    for (int i = 0; i < 6; ++i) {
        members.push_back(
            {daemon_id("d" + std::to_string(i)), failure_domain_id(i < 4 ? "waco-a" : "waco-b")});
    }
    SECTION("the loss of a domain does not take both its engines and its candidates")
    {
        const auto candidates = rank_duty_candidates(domain, members);
        REQUIRE(candidates.size() == limits::duty_candidates);
        CHECK((candidates[0] == daemon_id("d4") || candidates[0] == daemon_id("d5")));
        CHECK((candidates[1] == daemon_id("d4") || candidates[1] == daemon_id("d5")));
    }
    SECTION("daemons of the same failure domain are candidates when there are no others")
    {
        members.resize(4);
        CHECK(rank_duty_candidates(domain, members).size() == limits::duty_candidates);
    }
}

TEST_CASE("a duty passes from a paused holder to the other candidate", "[duty]")
{
    test::store_model store;
    duty first(domain, daemon_id("d1"), 1);
    duty second(domain, daemon_id("d2"), 1);
    run(first, store, at(0));
    run(second, store, at(10));
    REQUIRE(first.lease().permits_orders(at(10)));
    REQUIRE_FALSE(second.holds());
    CHECK(second.last_known_holder() == daemon_id("d1"));

    SECTION("a renewal whose reply is lost does not extend the lease beyond the last confirmed call")
    {
        const auto call = first.next_call(at(2000), true);
        REQUIRE(call);
        CHECK(call->kind == duty_call_kind::renew_lease);
        store.apply(*call, at(2000));
        first.on_reply({call->number, store_outcome::lost, 0, "", ""}, at(2800));
        CHECK(first.lease().permits_orders(at(5999)));
        CHECK_FALSE(first.lease().permits_orders(at(6000)));
        SECTION("a later successful renewal extends the lease from the start of its call")
        {
            const auto again = first.next_call(at(6500), true);
            REQUIRE(again);
            first.on_reply(store.apply(*again, at(6510)), at(9000));
            CHECK(first.lease().permits_orders(at(12499)));
            CHECK_FALSE(first.lease().permits_orders(at(12500)));
        }
    }
    SECTION("the other candidate takes over after the lapse and reassigns unfenced engines only once settled")
    {
        run(second, store, at(6100));
        REQUIRE(second.lease().permits_orders(at(6100)));
        CHECK(second.lease().permits_reassignment(at(6100), true));
        CHECK_FALSE(second.lease().permits_reassignment(at(6100), false));
        run(second, store, at(9000));
        run(second, store, at(13000));
        CHECK_FALSE(second.lease().permits_reassignment(at(14099), false));
        CHECK(second.lease().permits_reassignment(at(14100), false));
        SECTION("the paused holder finds that its lease has ended")
        {
            run(first, store, at(14200));
            CHECK_FALSE(first.holds());
            CHECK(first.last_known_holder() == daemon_id("d2"));
        }
    }
    SECTION("a daemon that is no longer a candidate destroys its lease and makes no other call")
    {
        const auto call = first.next_call(at(100), false);
        REQUIRE(call);
        CHECK(call->kind == duty_call_kind::destroy_lease);
        CHECK_FALSE(first.lease().permits_orders(at(100)));
        first.on_reply(store.apply(*call, at(100)), at(100));
        CHECK_FALSE(first.next_call(at(200), false));
        run(second, store, at(200));
        CHECK(second.holds());
    }
}

TEST_CASE("a lost reply to the creation of the key is resolved by its attempt id", "[duty]")
{
    test::store_model store;
    duty role(domain, daemon_id("d1"), 1);
    auto call = role.next_call(at(0), true);
    role.on_reply(store.apply(*call, at(0)), at(0));
    call = role.next_call(at(0), true);
    role.on_reply(store.apply(*call, at(0)), at(0));
    call = role.next_call(at(0), true);
    REQUIRE(call->kind == duty_call_kind::create_key);
    SECTION("the write took effect")
    {
        store.apply(*call, at(0));
        role.on_reply({call->number, store_outcome::lost, 0, "", ""}, at(800));
        CHECK_FALSE(role.holds());
        run(role, store, at(1300));
        CHECK(role.holds());
        CHECK_FALSE(role.lease().permits_orders(at(6000)));
    }
    SECTION("the write did not take effect and another daemon created the key")
    {
        duty other(domain, daemon_id("d2"), 1);
        run(other, store, at(10));
        role.on_reply({call->number, store_outcome::lost, 0, "", ""}, at(800));
        run(role, store, at(1300));
        CHECK_FALSE(role.holds());
    }
}

TEST_CASE("the number of store calls of a duty is bounded by the renewal intervals", "[duty]")
{
    test::store_model store;
    duty first(domain, daemon_id("d1"), 1);
    duty second(domain, daemon_id("d2"), 1);
    for (int ms = 0; ms < 600000; ms += 2000) {
        run(first, store, at(ms));
        run(second, store, at(ms));
    }
    // 300 renewal intervals with one renewal and one watch each, and the calls that acquire the lease.
    CHECK(first.stats().calls + second.stats().calls <= 610);
}

TEST_CASE("a plan of a former holder cannot take effect after a takeover", "[duty]")
{
    test::store_model store;
    const duty_lease lease{at(6000), at(0)};
    const auto plan_of = [](std::uint64_t epoch) {
        group_record group;
        group.id = group_id("g");
        group.fabric = fabric_domain_id("f");
        group.epoch = epoch;
        group.members = {instance_id("i")};
        return value(domain_plan::create(domain, {group}, {{group.members[0], group.fabric}}));
    };
    const auto run_calls = [&](plan_commit& commit) {
        while (const auto call = commit.next_call(lease, at(0))) {
            REQUIRE(succeeded(commit.on_reply(store.apply(*call, at(0)), at(0))));
        }
    };
    plan_commit former(domain);
    former.take_over("former-1");
    run_calls(former);
    REQUIRE(succeeded(former.propose(plan_of(1), "former-2")));
    run_calls(former);
    REQUIRE(former.orderable_revision() == 1);
    REQUIRE(succeeded(former.propose(plan_of(2), "former-3")));
    const auto late = former.next_call(lease, at(0));
    REQUIRE(late);
    CHECK(former.orderable_revision() == 0);

    SECTION("a write that arrives after the takeover fails")
    {
        plan_commit next(domain);
        next.take_over("next-1");
        run_calls(next);
        const auto in_force = next.orderable_revision();
        CHECK(store.apply(*late, at(0)).outcome == store_outcome::conflict);
        CHECK(store.revision_of("plan/waco-a") == in_force);
        CHECK(next.committed()->plan.groups()[0].epoch == 1);
    }
    SECTION("a write that took effect is recognised by its attempt id when its reply is lost")
    {
        store.apply(*late, at(0));
        former.on_reply({late->number, store_outcome::lost, 0, ""}, at(0));
        CHECK(former.orderable_revision() == 0);
        const auto read = former.next_call(lease, at(600));
        REQUIRE(read);
        former.on_reply(store.apply(*read, at(600)), at(600));
        CHECK(former.orderable_revision() == 2);
        CHECK(former.committed()->plan.groups()[0].epoch == 2);
    }
    SECTION("the plan is not replaced without a valid lease")
    {
        former.on_reply({late->number, store_outcome::lost, 0, ""}, at(0));
        const auto read = former.next_call(duty_lease{}, at(600));
        REQUIRE(read);
        former.on_reply(store.apply(*read, at(600)), at(600));
        CHECK_FALSE(former.next_call(duty_lease{}, at(600)));
        CHECK(former.next_call(lease, at(600)));
    }
}
