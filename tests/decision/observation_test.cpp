#include "decision/observation.hpp"

#include "base/limits.hpp"
#include "decision/evidence.hpp"
#include "store_model.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace rml;
using test::at;

namespace {

const failure_domain_id domain("waco-a");

committed_plan make_plan(std::uint64_t revision, std::uint64_t epoch)
{
    group_record group;
    group.id = group_id("drafts.waco-a.1");
    group.pool = model_pool_id("drafts");
    group.model = model_id("m");
    group.version = "1";
    group.fabric = fabric_domain_id("f");
    group.epoch = epoch;
    group.members = {instance_id("i0"), instance_id("i1")};
    auto plan = domain_plan::create(domain, {group},
                                    {{group.members[0], group.fabric}, {group.members[1], group.fabric}});
    return {value(std::move(plan)), revision, "attempt"};
}

engine_status status_of(const committed_plan& plan, std::uint32_t rank)
{
    const auto& group = plan.plan.groups()[0];
    engine_status report;
    report.instance = group.members[rank];
    report.incarnation = 7;
    report.group = group.id;
    report.group_epoch = group.epoch;
    report.rank = rank;
    report.model = group.model;
    report.version = group.version;
    report.loaded = true;
    return report;
}

observation_table observations_at(const committed_plan& plan, std::int64_t ms)
{
    engine_observer observer(3);
    observer.record(status_of(plan, 0), at(ms));
    observer.record(status_of(plan, 1), at(ms));
    observation_table observations;
    observations.apply(daemon_id("d1"), observer.take_changes(at(ms)), at(ms));
    return observations;
}

digest digest_at(const committed_plan& plan, std::int64_t ms)
{
    return build_digest(plan, observations_at(plan, ms), {4, 9, true, at(ms)});
}

} // namespace

TEST_CASE("every engine has exactly one observer, and losing a daemon reassigns only its own engines",
          "[observation]")
{
    std::vector<daemon_id> daemons;
    for (int i = 0; i < 8; ++i) {
        daemons.emplace_back("d" + std::to_string(i));
    }
    const auto fewer = std::vector<daemon_id>(daemons.begin() + 1, daemons.end());
    for (int i = 0; i < 60; ++i) {
        const instance_id engine("i" + std::to_string(i));
        const auto before = observer_of(engine, daemons);
        CHECK((before == daemons[0] || observer_of(engine, fewer) == before));
        CHECK(engines_observed_by(before, {engine}, daemons).size() == 1);
    }
}

TEST_CASE("the holder's table is built from reports", "[observation]")
{
    const auto plan = make_plan(5, 5);
    engine_observer observer(3);
    observation_table observations;
    const daemon_id name("d1");
    CHECK(observer.record(status_of(plan, 0), at(0)));
    CHECK(observer.record(status_of(plan, 1), at(0)));
    const auto send = [&](const observer_report& report, std::int64_t ms) {
        const auto decoded = decode_observer_report(encode_observer_report(report));
        REQUIRE(succeeded(decoded));
        return observations.apply(name, value(decoded), at(ms));
    };
    CHECK(send(observer.take_changes(at(10)), 12));
    CHECK(observations.fresh(instance_id("i0"), at(20)) != nullptr);
    CHECK(observations.fresh(instance_id("i0"), at(2000)) == nullptr);

    SECTION("an unchanged engine is refreshed by its compact entry")
    {
        auto later = status_of(plan, 0);
        later.running = 9;
        CHECK_FALSE(observer.record(later, at(1500)));
        send(observer.take_full_report(at(1510)), 1512);
        REQUIRE(observations.fresh(instance_id("i0"), at(2000)) != nullptr);
        CHECK(observations.fresh(instance_id("i0"), at(2000))->report.running == 9);
        CHECK(observations.fresh(instance_id("i1"), at(2000)) == nullptr);
    }
    SECTION(
        "an engine removed from the configuration is dropped, and a full report is requested for a new one")
    {
        // Guards against a table that grows with every engine that was ever configured.
        observer.record(status_of(plan, 0), at(500));
        observations.retain({instance_id("i1"), instance_id("i2")});
        CHECK(observations.fresh(instance_id("i0"), at(510)) == nullptr);
        CHECK(observations.fresh(instance_id("i1"), at(510)) != nullptr);
        CHECK_FALSE(send(observer.take_full_report(at(520)), 522));
    }
    SECTION("an engine that stops answering is no longer fresh")
    {
        CHECK(observer.record_probe_failure(instance_id("i0")));
        send(observer.take_changes(at(30)), 32);
        CHECK(observations.fresh(instance_id("i0"), at(40)) == nullptr);
    }
    SECTION("a lost change report shows in the fingerprint and is resolved by a full report")
    {
        auto other = status_of(plan, 0);
        other.loaded = false;
        CHECK(observer.record(other, at(500)));
        observer.take_changes(at(501));
        CHECK_FALSE(send(observer.take_full_report(at(1000)), 1002));
        CHECK(observations.fresh(instance_id("i0"), at(1010)) == nullptr);
        CHECK(observations.fresh(instance_id("i1"), at(1010)) != nullptr);
        observer.restart_reports();
        CHECK(send(observer.take_full_report(at(1100)), 1102));
        CHECK(observations.fresh(instance_id("i0"), at(1110)) != nullptr);
        CHECK(observations.fresh(instance_id("i1"), at(1110)) != nullptr);
    }
    SECTION("an older report of the former observer does not override a newer one of the next observer")
    {
        // Guards against engines that never count as observed again: after a membership change two daemons
        // observe the same engine for a while, and the former observer sends the older compact entry.
        auto loaded = status_of(plan, 0);
        loaded.group_epoch = 6;
        engine_observer next(4);
        next.record(loaded, at(500));
        REQUIRE(observations.apply(daemon_id("d2"), next.take_changes(at(501)), at(502)));
        REQUIRE(observations.fresh(instance_id("i0"), at(510)) != nullptr);
        observer.record(status_of(plan, 0), at(400));
        CHECK(send(observer.take_full_report(at(520)), 522));
        REQUIRE(observations.fresh(instance_id("i0"), at(530)) != nullptr);
        CHECK(observations.fresh(instance_id("i0"), at(530))->report.group_epoch == 6);
    }
    SECTION("an engine that returns to the status in the table is fresh again")
    {
        auto other = status_of(plan, 0);
        other.loaded = false;
        observer.record(other, at(500));
        observer.take_changes(at(501));
        CHECK_FALSE(send(observer.take_full_report(at(1000)), 1002));
        REQUIRE(observations.fresh(instance_id("i0"), at(1010)) == nullptr);
        observer.record(status_of(plan, 0), at(1500));
        observer.take_changes(at(1501));

        SECTION("after a newer entry")
        {
            CHECK(send(observer.take_full_report(at(1600)), 1602));
            CHECK(observations.fresh(instance_id("i0"), at(1610)) != nullptr);
        }
        SECTION("but not after an older entry")
        {
            engine_observer former(4);
            former.record(status_of(plan, 0), at(300));
            former.take_changes(at(300));
            observations.apply(daemon_id("d2"), former.take_full_report(at(1600)), at(1602));
            CHECK(observations.fresh(instance_id("i0"), at(1610)) == nullptr);
        }
    }
    SECTION("a full report is requested for an engine whose first report was lost")
    {
        // Guards against engines that a new holder never learns about: their statuses were sent over a link
        // that closed, and a compact entry of an unknown engine carries no status.
        auto spare = status_of(plan, 1);
        spare.instance = instance_id("i2");
        observer.record(spare, at(1500));
        observer.take_changes(at(1501));
        CHECK_FALSE(send(observer.take_full_report(at(2000)), 2002));
        CHECK(observations.fresh(instance_id("i2"), at(2010)) == nullptr);
        observer.restart_reports();
        CHECK(send(observer.take_full_report(at(2100)), 2102));
        CHECK(observations.fresh(instance_id("i2"), at(2110)) != nullptr);
    }
    SECTION("a report that a queue held back is not treated as fresh")
    {
        observer.record(status_of(plan, 0), at(1000));
        CHECK(send(observer.take_full_report(at(1000)), 9000));
        CHECK(observations.fresh(instance_id("i0"), at(9001)) == nullptr);

        SECTION("an overtaken report is dropped, and a full report is requested")
        {
            auto other = status_of(plan, 0);
            other.loaded = false;
            observer.record(other, at(1100));
            CHECK_FALSE(send(observer.take_changes(at(500)), 9010));
        }
    }
}

TEST_CASE("decoding validates digests and reports", "[observation]")
{
    const auto record = digest_at(make_plan(5, 5), 0);
    const auto bytes = encode_digest(record);
    CHECK(bytes.size() == 24 + 2);
    const auto decoded = decode_digest(bytes);
    REQUIRE(succeeded(decoded));
    CHECK(encode_digest(value(decoded)) == bytes);
    CHECK(rc::check("arbitrary and damaged bytes either fail or decode to a digest of the same length", [&] {
        auto damaged = *rc::gen::arbitrary<std::string>();
        if (*rc::gen::arbitrary<bool>()) {
            damaged = bytes;
            damaged[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            damaged.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 4));
        }
        const auto result = decode_digest(damaged);
        if (succeeded(result)) {
            RC_ASSERT(encode_digest(value(result)).size() == damaged.size());
        }
        decode_observer_report(damaged);
    }));
}

TEST_CASE("a group is servable only with fresh evidence of every member", "[evidence]")
{
    const auto plan = make_plan(5, 5);
    const group_id group("drafts.waco-a.1");
    evidence_table table;
    table.install_plan(plan);
    CHECK_FALSE(table.servable(group, at(0)));
    CHECK(table.probes_due(group, at(0)).size() == 2);
    table.apply_digest(domain, digest_at(plan, 0), at(10));
    CHECK_FALSE(table.servable(group, at(10))); // the first digest of a run may be old
    table.apply_digest(domain, digest_at(plan, 1000), at(1010));
    REQUIRE(table.servable(group, at(1010)));
    CHECK(table.probes_due(group, at(1010)).empty());

    SECTION("evidence expires after its lifetime, and the daemon then probes the members itself")
    {
        CHECK(table.servable(group, at(3700)));
        CHECK_FALSE(table.servable(group, at(3750)));
        CHECK(table.probes_due(group, at(3750)).size() == 2);
        table.apply_probe(status_of(plan, 0), at(3800));
        CHECK_FALSE(table.servable(group, at(3810)));
        table.apply_probe(status_of(plan, 1), at(3800));
        CHECK(table.servable(group, at(3810)));
        CHECK(table.probes_due(group, at(4200)).empty());
        CHECK(table.probes_due(group, at(4400)).size() == 2);
    }
    SECTION("a broken connection removes the member's evidence immediately")
    {
        table.invalidate(instance_id("i1"), at(1100));
        CHECK_FALSE(table.servable(group, at(1100)));
        CHECK(table.probes_due(group, at(1100)) == std::vector<instance_id>{instance_id("i1")});
        table.apply_probe(status_of(plan, 1), at(1090));
        CHECK_FALSE(table.servable(group, at(1110)));
        table.apply_probe(status_of(plan, 1), at(1120));
        CHECK(table.servable(group, at(1130)));
    }
    SECTION("a new incarnation removes the evidence of the old one")
    {
        table.update_incarnation(instance_id("i0"), 7, at(1100));
        CHECK(table.servable(group, at(1100)));
        table.update_incarnation(instance_id("i0"), 8, at(1100));
        CHECK_FALSE(table.servable(group, at(1100)));
    }
    SECTION("a changed group needs new evidence, and digests of the old plan do not count")
    {
        const auto next = make_plan(6, 6);
        table.install_plan(next);
        CHECK_FALSE(table.servable(group, at(1100)));
        table.apply_digest(domain, digest_at(plan, 2000), at(2010));
        CHECK_FALSE(table.servable(group, at(2010)));
        table.apply_digest(domain, digest_at(next, 3000), at(3010));
        CHECK(table.servable(group, at(3010)));
    }
    SECTION("an unhealthy entry of a digest overrides earlier probes")
    {
        table.apply_probe(status_of(plan, 0), at(1500));
        table.apply_probe(status_of(plan, 1), at(1500));
        table.apply_digest(domain, build_digest(plan, observation_table(), {4, 9, true, at(2000)}), at(2010));
        CHECK_FALSE(table.servable(group, at(2010)));
        CHECK(table.probes_due(group, at(2010)).empty());
    }
    SECTION("digests of a former holder do not override those of the holder")
    {
        auto former = build_digest(plan, observation_table(), {4, 8, false, at(1900)});
        table.apply_digest(domain, former, at(1910));
        former.sent_ms += 1000;
        table.apply_digest(domain, digest_at(plan, 2000), at(2010));
        table.apply_digest(domain, former, at(2910));
        CHECK(table.servable(group, at(2910)));
        table.apply_digest(domain, digest_at(plan, 3000), at(3010));
        CHECK(table.servable(group, at(5500)));
        former.sent_ms += 3000;
        table.apply_digest(domain, former, at(6100));
        CHECK_FALSE(table.servable(group, at(6100)));
    }
    SECTION("a delayed or repeated digest is not fresh evidence")
    {
        table.apply_digest(domain, digest_at(plan, 2000), at(9000));
        table.apply_digest(domain, digest_at(plan, 2000), at(9001));
        CHECK_FALSE(table.servable(group, at(9001)));
    }
    SECTION("a member that is unloaded, leaving or of another epoch does not serve")
    {
        for (const auto fault : {0, 1, 2}) {
            auto report = status_of(plan, 0);
            report.loaded = fault != 0;
            report.leaving = fault == 1;
            report.group_epoch += fault == 2 ? 1 : 0;
            CHECK_FALSE(serves_as_planned(report, plan.plan.groups()[0], 0));
        }
    }
    SECTION("a digest of a newer plan marks the installed plan as outdated")
    {
        CHECK_FALSE(table.plan_outdated(domain));
        table.apply_digest(domain, digest_at(make_plan(6, 6), 2000), at(2010));
        CHECK(table.plan_outdated(domain));
    }
}
