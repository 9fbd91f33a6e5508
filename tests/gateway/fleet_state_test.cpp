#include "gateway/fleet_state.hpp"

#include "decode.hpp"
#include "gateway/entry_list.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using gateway::daemon_entry;
using gateway::entry_daemons;
using gateway::fleet_state;
using gateway::group_phase;
using gateway::own_state;
using gateway::target_entry;

namespace {

const time_point start{seconds(1000)};

std::shared_ptr<const gateway::site_config> config(std::uint64_t version)
{
    gateway::engine_profile engines;
    engines.batch_slots = 8;
    engines.models.push_back({model_id("planner"), 2, 1, 1, seconds(16), seconds(1)});
    gateway::service pool;
    pool.name = service_id("pool");
    pool.engines = engines;
    return std::make_shared<const gateway::site_config>(version, std::vector<gateway::route>{},
                                                        std::vector<gateway::service>{pool},
                                                        gateway::caller_limits{}, std::nullopt);
}

target_entry engine(const std::string& name, std::uint32_t rank, group_phase phase, std::uint64_t epoch = 5)
{
    target_entry out;
    out.instance = instance_id(name);
    out.service = service_id("pool");
    out.address = {"10.0.0.1", 80};
    out.failure_domain = failure_domain_id("a");
    out.fabric = fabric_domain_id("f");
    out.model = model_id("planner");
    out.started_ms = 1;
    out.membership = gateway::group_membership{group_id("g"), epoch, rank, phase};
    return out;
}

gateway::peer_report report(const std::string& daemon, std::uint64_t sequence, bool ready)
{
    gateway::peer_report out;
    out.daemon = daemon_id(daemon);
    out.started_ms = 1;
    out.sequence = sequence;
    out.ready = ready;
    return out;
}

} // namespace

TEST_CASE("a group serves while every member reports it", "[gateway][fleet_state]")
{
    fleet_state fleet(daemon_id("d0"));
    fleet.update_config(config(3));
    fleet.update_target(engine("e0", 0, group_phase::open), start);
    CHECK(fleet.groups().empty());
    fleet.update_target(engine("e1", 1, group_phase::ready), start);
    REQUIRE(fleet.groups().size() == 1);
    CHECK(fleet.groups().front().members.size() == 2);

    SECTION("not while a member is joining, draining, in another epoch or removed")
    {
        fleet.update_target(engine("e1", 1, group_phase::joining), start);
        CHECK(fleet.groups().empty());
        auto leaving = engine("e1", 1, group_phase::ready);
        leaving.draining = true;
        fleet.update_target(leaving, start);
        CHECK(fleet.groups().empty());
        fleet.update_target(engine("e1", 1, group_phase::ready, 6), start);
        CHECK(fleet.groups().empty());
        fleet.destroy_target(instance_id("e1"), start, std::nullopt);
        CHECK(fleet.groups().empty());
    }
    SECTION("not while its head is closing or broken")
    {
        for (const auto phase : {group_phase::ready, group_phase::closing, group_phase::broken}) {
            fleet.update_target(engine("e0", 0, phase), start);
            CHECK(fleet.groups().empty());
        }
    }
    SECTION("an entry that was removed during a store outage is kept for its grace time")
    {
        // Guards against all groups being dropped after each outage of the store.
        fleet.destroy_target(instance_id("e0"), start, start + seconds(2));
        fleet.destroy_target(instance_id("e1"), start, start + seconds(2));
        fleet.expire_targets(start + seconds(1));
        CHECK(fleet.groups().size() == 1);
        fleet.expire_targets(start + seconds(2));
        CHECK(fleet.groups().empty());
        CHECK(fleet.targets().empty());
        CHECK(fleet.absent_members().empty());
    }
    SECTION("a member that lost only its connection to the store stays in its group")
    {
        // Guards against removing a group that serves because the entry of one member expired.
        fleet.destroy_target(instance_id("e1"), start, std::nullopt);
        REQUIRE(fleet.groups().size() == 1);
        CHECK(fleet.groups().front().members.size() == 2);
        CHECK(fleet.absent_members().count(instance_id("e1")) == 1);

        SECTION("until it is found lost")
        {
            fleet.destroy_absent_member(instance_id("e1"));
            CHECK(fleet.groups().empty());
        }
        SECTION("until it registers again without its membership")
        {
            auto back = engine("e1", 1, group_phase::ready);
            back.membership.reset();
            fleet.update_target(back, start);
            CHECK(fleet.groups().empty());
            CHECK(fleet.absent_members().empty());
        }
        SECTION("until the head leaves the group")
        {
            auto left = engine("e0", 0, group_phase::ready);
            left.membership.reset();
            fleet.update_target(left, start);
            CHECK(fleet.groups().empty());
            CHECK(fleet.absent_members().empty());
        }
    }
    SECTION("a member whose entry is removed before the group is complete is not kept")
    {
        fleet.update_target(engine("e1", 1, group_phase::joining), start);
        fleet.destroy_target(instance_id("e1"), start, std::nullopt);
        CHECK(fleet.groups().empty());
        CHECK(fleet.absent_members().empty());
    }
    SECTION("a group whose head has no entry does not serve")
    {
        fleet.destroy_target(instance_id("e0"), start, std::nullopt);
        CHECK(fleet.groups().empty());
        CHECK(fleet.absent_members().empty());
    }
    SECTION("the last entry of a removed head is kept")
    {
        fleet.destroy_target(instance_id("e0"), start, std::nullopt);
        REQUIRE(fleet.removed_head(group_id("g"), 5) != nullptr);
        CHECK(fleet.removed_head(group_id("g"), 5)->instance == instance_id("e0"));
        CHECK(fleet.removed_head(group_id("g"), 6) == nullptr);
    }
    SECTION("an engine that left its group keeps its resident model, another incarnation does not")
    {
        // Guards against loading weights that are still resident.
        auto left = engine("e1", 1, group_phase::ready);
        left.membership.reset();
        left.model = model_id();
        fleet.update_target(left, start);
        CHECK(fleet.find_target(instance_id("e1"))->entry.model == model_id("planner"));
        left.started_ms = 2;
        fleet.update_target(left, start);
        CHECK(fleet.find_target(instance_id("e1"))->entry.model.empty());
    }
    SECTION("an older configuration never replaces a newer one")
    {
        CHECK_FALSE(fleet.update_config(config(2)));
        CHECK(fleet.config()->version() == 3);
        CHECK(fleet.stats.stale_configs == 1);
    }
}

TEST_CASE("daemons are known from the store and from their reports", "[gateway][fleet_state]")
{
    fleet_state fleet(daemon_id("d0"));
    const daemon_entry entry{{"10.0.0.1", 1}, {"10.0.0.1", 5}, 1, failure_domain_id("a"), 0.25};
    const auto listed = [&](bool own_ready, time_point now) {
        // The load needs more than two daemons, so that all daemons that accept requests are listed.
        return entry_daemons(fleet, own_state{entry, own_ready, true, 1000}, now).size();
    };
    for (const std::string name : {"d0", "d1", "d2"}) {
        fleet.update_peer(daemon_id(name), daemon_entry{{"10.0.0.9", static_cast<std::uint16_t>(name[1])},
                                                        {"10.0.0.9", 5},
                                                        1,
                                                        failure_domain_id("a"),
                                                        0.25});
    }
    REQUIRE(fleet.accept_report(report("d1", 1, true), start));
    REQUIRE(fleet.accept_report(report("d2", 1, true), start));

    SECTION("callers get the addresses of ready daemons")
    {
        CHECK(listed(true, start) == 3);
        REQUIRE(fleet.accept_report(report("d2", 2, false), start));
        CHECK(listed(true, start) == 2);
    }
    SECTION("a daemon without recent reports is not listed, unless no other is left")
    {
        // Guards against directing callers to a machine that lost power.
        const auto later = start + seconds(3);
        REQUIRE(fleet.accept_report(report("d1", 2, true), later));
        CHECK(listed(true, later) == 2);
        CHECK(listed(false, later + seconds(9)) == 2);
    }
    SECTION("requests of other daemons count while their reports are recent")
    {
        auto busy = report("d1", 2, true);
        busy.in_flight[instance_id("e0")] = 7;
        REQUIRE(fleet.accept_report(busy, start));
        CHECK(fleet.others_in_flight(instance_id("e0"), start) == 7);
        CHECK(fleet.others_in_flight(instance_id("e0"), start + seconds(3)) == 0);
    }
    SECTION("an old or repeated report changes nothing")
    {
        CHECK_FALSE(fleet.accept_report(report("d1", 1, false), start));
        CHECK_FALSE(fleet.accept_report(report("unknown", 1, true), start));
    }
    SECTION("ranks of all daemons for a target differ")
    {
        std::set<std::size_t> ranks;
        for (const std::string name : {"d0", "d1", "d2"}) {
            fleet_state other{daemon_id(name)};
            for (const std::string peer : {"d0", "d1", "d2"}) {
                other.update_peer(daemon_id(peer), entry);
            }
            const auto share = other.share_for(instance_id("e0"), start);
            CHECK(share.daemons == 3);
            ranks.insert(share.rank);
        }
        CHECK(ranks.size() == 3);
    }
}

TEST_CASE("a daemon that has started learns from the others which targets state limits",
          "[gateway][fleet_state]")
{
    // Guards against a daemon that takes a target for unlimited before the others can have told it.
    fleet_state fleet(daemon_id("d0"));
    const auto report_of = [](const std::string& daemon, std::uint64_t sequence, bool limits_known) {
        auto out = report(daemon, sequence, true);
        out.limits_known = limits_known;
        return out;
    };
    CHECK_FALSE(fleet.knows_limits());

    SECTION("the first daemon of a fleet has nobody to ask")
    {
        fleet.record_store_read();
        CHECK(fleet.knows_limits());
    }
    SECTION("one that was restarted alone does not know what its previous life heard")
    {
        fleet.update_peer(daemon_id("d0"), daemon_entry{});
        fleet.record_store_read();
        CHECK_FALSE(fleet.knows_limits());
    }
    SECTION("others tell it")
    {
        for (const auto* name : {"d0", "d1", "d2"}) {
            fleet.update_peer(daemon_id(name), daemon_entry{});
        }
        REQUIRE(fleet.accept_report(report_of("d1", 1, true), start));
        fleet.record_store_read();
        CHECK_FALSE(fleet.knows_limits());

        SECTION("when all have reported")
        {
            REQUIRE(fleet.accept_report(report_of("d2", 1, true), start));
            CHECK(fleet.knows_limits());
        }
        SECTION("but not one that has started at the same time")
        {
            REQUIRE(fleet.accept_report(report_of("d2", 1, false), start));
            CHECK_FALSE(fleet.knows_limits());
            REQUIRE(fleet.accept_report(report_of("d2", 2, true), start));
            CHECK(fleet.knows_limits());
        }
        SECTION("or all that are still registered")
        {
            fleet.destroy_peer(daemon_id("d2"));
            REQUIRE(fleet.accept_report(report_of("d1", 2, true), start));
            CHECK(fleet.knows_limits());
        }
    }
    SECTION("a daemon that has run for a while need not wait for one that is lost")
    {
        fleet.update_peer(daemon_id("d1"), daemon_entry{});
        fleet.record_store_read();
        fleet.peers_settled = true;
        CHECK(fleet.knows_limits());
    }
}

TEST_CASE("daemons that start at once divide the slots of a target until its first answer",
          "[gateway][fleet_state]")
{
    // Guards against a fleet that uses one slot of each target after all of its daemons have restarted.
    constexpr std::int64_t started_ms = 1'000'000;
    fleet_state fleet(daemon_id("d0"));
    fleet.started_ms = started_ms;
    fleet.update_config(config(3));
    fleet.update_target(engine("e0", 0, group_phase::open), start);
    daemon_entry before;
    before.started_ms = 1;
    for (const auto* name : {"d0", "d1", "d2", "d3"}) {
        fleet.update_peer(daemon_id(name), before); // of the lives that have ended
    }
    fleet.update_entries({daemon_id("d0"), daemon_id("d1")});
    fleet.record_store_read();
    fleet.update_start(start);
    auto& target = *fleet.find_target(instance_id("e0"));
    const auto may_get = [&] {
        target.first_requests = 0;
        while (!fleet.awaits_first_answer(target) && target.first_requests < 100) {
            ++target.first_requests;
        }
        return target.first_requests;
    };
    const auto hear = [&](const std::string& daemon, std::int64_t started) {
        auto out = report(daemon, 1, true);
        out.started_ms = started;
        REQUIRE(fleet.accept_report(out, start));
    };
    CHECK(may_get() == 1);
    hear("d1", started_ms + 400);
    CHECK(may_get() == 1); // d2 and d3 may have run on

    SECTION("which reports of new lives show")
    {
        hear("d2", started_ms - 300);
        CHECK(may_get() == 4);

        SECTION("unless one daemon has run on, which knows the limits")
        {
            hear("d3", before.started_ms);
            CHECK(may_get() == 1);
        }
        SECTION("and they use all of them after the answer")
        {
            target.limit_known = true;
            CHECK(may_get() == 100);
        }
    }
    SECTION("or the silence of the others")
    {
        fleet.update_start(start + seconds(1));
        CHECK(may_get() == 4);
    }
}

TEST_CASE("targets that the group manager ejects get no new requests", "[gateway][fleet_state]")
{
    // Guards against requests to heads of lost groups between two reports of the manager, whose interval
    // grows with the fleet.
    fleet_state fleet(daemon_id("d0"));
    fleet.update_config(config(3));
    fleet.update_target(engine("e0", 0, group_phase::open), start);
    fleet.update_target(engine("e1", 1, group_phase::ready), start);
    const daemon_id manager("d1");
    fleet.update_ejected(manager, {instance_id("e1")}, start);

    SECTION("the head of a group that lost a member, until the same manager no longer lists the member")
    {
        CHECK(fleet.suspected(instance_id("e0"), start + milliseconds(1500)));
        fleet.update_ejected(manager, {}, start + milliseconds(1600));
        CHECK_FALSE(fleet.suspected(instance_id("e0"), start + milliseconds(1600)));
    }
    SECTION("also after a manager crash, while its successor has not probed the group")
    {
        fleet.update_ejected(daemon_id("d2"), {}, start + milliseconds(2000));
        CHECK(fleet.suspected(instance_id("e0"), start + milliseconds(2000)));
    }
    SECTION("but no longer than a change of manager takes")
    {
        CHECK_FALSE(fleet.suspected(instance_id("e0"), start + seconds(4)));
    }
    SECTION("until its engines are in another group")
    {
        // Guards against a new group that gets no requests because of the suspicion of the previous one.
        fleet.suspect(instance_id("e0"), start + seconds(2));
        fleet.update_target(engine("e0", 0, group_phase::open, 6), start + milliseconds(300));
        CHECK_FALSE(fleet.suspected(instance_id("e0"), start + milliseconds(300)));
    }
}

TEST_CASE("a daemon that announces a long report interval stays live for three of them",
          "[gateway][fleet_state]")
{
    // Guards against a large fleet in which daemons report every 2.5 s and were taken for dead after 1.5 s.
    fleet_state fleet(daemon_id("d0"));
    daemon_entry entry;
    entry.peer = {"10.0.0.2", 2};
    entry.started_ms = 1;
    fleet.update_peer(daemon_id("d1"), entry);
    auto busy = report("d1", 1, true);
    busy.interval = seconds(2);
    busy.in_flight[instance_id("e0")] = 7;
    REQUIRE(fleet.accept_report(busy, start));
    const auto& peer = fleet.peers().at(daemon_id("d1"));
    CHECK(fleet.live(peer, start + seconds(5)));
    CHECK(fleet.others_in_flight(instance_id("e0"), start + seconds(5)) == 7);
    CHECK_FALSE(fleet.live(peer, start + seconds(6)));
    CHECK(fleet.others_in_flight(instance_id("e0"), start + seconds(6)) == 0);

    SECTION("but only while its entry is in the store")
    {
        busy.sequence = 2;
        REQUIRE(fleet.accept_report(busy, start + seconds(6)));
        fleet.destroy_peer(daemon_id("d1"));
        CHECK_FALSE(fleet.live(peer, start + seconds(8)));
        CHECK(fleet.others_in_flight(instance_id("e0"), start + seconds(8)) == 0);
    }
    SECTION("the sums follow each report")
    {
        busy.sequence = 2;
        busy.in_flight = {{instance_id("e0"), 2}, {instance_id("e1"), 3}};
        REQUIRE(fleet.accept_report(busy, start + seconds(6)));
        CHECK(fleet.others_in_flight(instance_id("e0"), start + seconds(6)) == 2);
        CHECK(fleet.others_in_flight(instance_id("e1"), start + seconds(6)) == 3);
        CHECK(fleet.daemons(start + seconds(6)) == 2);
    }
}

TEST_CASE("the end of a target is told once, with the address that it had", "[gateway][fleet_state]")
{
    // Guards against connections that are kept to the address of a target that is gone, or that has returned
    // there in another life.
    fleet_state fleet(daemon_id("d0"));
    std::vector<endpoint> ended;
    fleet.on_target_ended = [&](const endpoint& address) { ended.push_back(address); };
    auto entry = engine("a", 0, group_phase::open);
    fleet.update_target(entry, start);
    const std::vector<endpoint> first{entry.address};

    SECTION("a renewed entry is no end")
    {
        fleet.update_target(entry, start + seconds(1));
        CHECK(ended.empty());
    }
    SECTION("a removed entry")
    {
        fleet.destroy_target(entry.instance, start, std::nullopt);
        CHECK(ended == first);
    }
    SECTION("an entry removed during an outage of the store, at the end of the grace time")
    {
        fleet.destroy_target(entry.instance, start, start + seconds(3));
        fleet.expire_targets(start + seconds(1));
        CHECK(ended.empty());
        fleet.expire_targets(start + seconds(3));
        CHECK(ended == first);
    }
    SECTION("another life at the same address")
    {
        entry.started_ms = 2;
        fleet.update_target(entry, start);
        CHECK(ended == first);
    }
    SECTION("the same life at another address")
    {
        entry.address.port = 81;
        fleet.update_target(entry, start);
        CHECK(ended == first);
    }
}

TEST_CASE("daemons that were replaced are forgotten", "[gateway][fleet_state]")
{
    // Guards against a small fleet that counts as a large one, with rare reports, after its daemons have been
    // replaced some hundred times, and against the memory that their last reports take.
    constexpr int replacements = 400;
    constexpr std::chrono::minutes between{5};
    fleet_state fleet(daemon_id("d0"));
    fleet.update_peer(daemon_id("neighbour"), {});
    auto now = start;
    auto heavy = report("neighbour", 1, true);
    heavy.in_flight[instance_id("a")] = 2;
    heavy.unread_tokens[instance_id("a")] = 100;

    SECTION("however many there were")
    {
        std::size_t most = 0;
        for (int i = 0; i < replacements; ++i, now += between) {
            const daemon_id replaced("r" + std::to_string(i));
            fleet.update_peer(replaced, {});
            heavy.daemon = replaced;
            CHECK(fleet.accept_report(heavy, now));
            fleet.destroy_peer(replaced);
            fleet.expire_peers(now + seconds(30));
            most = std::max(most, fleet.peers().size());
        }
        CHECK(most <= 4);
        CHECK(fleet.peers().count(daemon_id("neighbour")) == 1);
        CHECK(fleet.others_in_flight(instance_id("a"), now) == 0);
        CHECK(fleet.unread_tokens(instance_id("a"), now) == 0);
    }
    SECTION("but not one that is only cut off from the store and keeps reporting")
    {
        fleet.destroy_peer(daemon_id("neighbour"));
        for (std::uint64_t i = 1; i <= 1000; ++i, now += seconds(1)) {
            CHECK(fleet.accept_report(report("neighbour", i, true), now));
            fleet.expire_peers(now);
        }
        CHECK(fleet.peers().size() == 1);
    }
    SECTION("nor one that returns within some minutes, whose reports count at once")
    {
        CHECK(fleet.accept_report(report("neighbour", 1, true), now));
        fleet.destroy_peer(daemon_id("neighbour"));
        fleet.expire_peers(now + seconds(30));
        fleet.expire_peers(now + seconds(60));
        CHECK(fleet.accept_report(report("neighbour", 2, true), now + seconds(90)));
        fleet.expire_peers(now + seconds(90));
        fleet.expire_peers(now + seconds(660));
        CHECK(fleet.peers().size() == 1);
        fleet.expire_peers(now + seconds(1300));
        CHECK(fleet.peers().empty());
    }
}
