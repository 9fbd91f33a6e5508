#include "decision/membership.hpp"

#include "base/limits.hpp"
#include "decision/config_tracker.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace rml;

namespace {

member_record make_member(int number, const char* region = "hu-central")
{
    member_record record;
    record.id = daemon_id("entry-" + std::to_string(number));
    record.incarnation = 1;
    record.region = region_id(region);
    record.failure_domain = failure_domain_id("budapest-a");
    record.peer_address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
    record.caller_address = {"127.0.0.1", static_cast<std::uint16_t>(2000 + number)};
    return record;
}

membership make_view(int self, int count)
{
    membership view(make_member(self));
    for (int i = 0; i < count; ++i) {
        if (i != self) {
            view.receive(encode_member(make_member(i)), time_point{});
        }
    }
    return view;
}

bool is_live(const membership& view, int number)
{
    const auto* found = view.find(make_member(number).id);
    return found != nullptr && found->state != member_state::dead;
}

} // namespace

TEST_CASE("two neighbours declare a daemon dead, and the daemon refutes a false suspicion", "[membership]")
{
    const time_point start{std::chrono::hours(1)};
    auto first = make_view(0, 5);
    auto second = make_view(1, 5);

    SECTION("one suspicion does not declare the daemon dead")
    {
        const auto published = first.raise_suspicion(make_member(4).id, start);
        CHECK(published.size() == 1);
        CHECK(is_live(first, 4));

        SECTION("a second suspicion within the window does")
        {
            second.receive(published.front(), start);
            const auto death_report = second.raise_suspicion(make_member(4).id, start + seconds(1));
            REQUIRE(death_report.size() == 2);
            CHECK_FALSE(is_live(second, 4));

            SECTION("the daemon refutes with a higher incarnation and is live again")
            {
                auto suspected = make_view(4, 5);
                const auto refutation = suspected.receive(death_report.back(), start + seconds(1));
                REQUIRE(refutation.size() == 1);
                second.receive(refutation.front(), start + seconds(2));
                CHECK(is_live(second, 4));
                CHECK(second.find(make_member(4).id)->incarnation == 2);
            }
        }
        SECTION("a second suspicion after the window does not")
        {
            second.receive(published.front(), start);
            const auto late = start + limits::suspicion_window + milliseconds(1);
            CHECK(second.raise_suspicion(make_member(4).id, late).size() == 1);
            CHECK(is_live(second, 4));
        }
        SECTION("a second suspicion by the same neighbour does not")
        {
            first.raise_suspicion(make_member(4).id, start + seconds(1));
            CHECK(is_live(first, 4));
        }
    }
    SECTION("an old record does not revive a dead member")
    {
        second.receive(first.raise_suspicion(make_member(4).id, start).front(), start);
        second.raise_suspicion(make_member(4).id, start);
        second.receive(encode_member(make_member(4)), start);
        CHECK_FALSE(is_live(second, 4));
        CHECK(second.retry_candidate(7) != nullptr);
    }
    SECTION("a leaving daemon is not listed to callers but stays a member")
    {
        auto leaving = make_view(3, 5);
        first.receive(leaving.leave(), start);
        CHECK(first.live().size() == 5);
        CHECK(first.entries().size() == 4);
    }
}

TEST_CASE("the links that daemons open connect all of them", "[membership]")
{
    // Guards against a link graph of several components, between which items are never replicated.
    rc::prop("the link graph is connected and has about four links per daemon", [] {
        const auto count = *rc::gen::inRange(2, 40);
        const auto regions = *rc::gen::inRange(1, 4);
        std::vector<member_record> members;
        for (int i = 0; i < count; ++i) {
            members.push_back(make_member(i, (std::string("region-") + std::to_string(i % regions)).c_str()));
        }
        std::map<daemon_id, std::set<daemon_id>> links;
        std::size_t opened = 0;
        for (const auto& self : members) {
            membership view(self);
            for (const auto& other : members) {
                view.receive(encode_member(other), time_point{});
            }
            for (const auto& other : view.links_to_open()) {
                links[self.id].insert(other.id);
                links[other.id].insert(self.id);
                ++opened;
            }
        }
        RC_ASSERT(opened <= 2 * members.size());
        std::set<daemon_id> reached{members.front().id};
        std::vector<daemon_id> unvisited{members.front().id};
        while (!unvisited.empty()) {
            const auto current = unvisited.back();
            unvisited.pop_back();
            for (const auto& next : links[current]) {
                if (reached.insert(next).second) {
                    unvisited.push_back(next);
                }
            }
        }
        RC_ASSERT(reached.size() == members.size());
    });
}

TEST_CASE("damaged member items are rejected", "[membership]")
{
    rc::prop("a changed byte yields a record or a typed failure, never a crash", [] {
        auto entry = encode_member(make_member(3));
        const auto position = *rc::gen::inRange<std::size_t>(0, entry.payload.size());
        entry.payload[position] = static_cast<char>(*rc::gen::inRange(0, 256));
        const auto decoded = decode_member(entry);
        // RC_ASSERT does not short-circuit, so the condition is computed first.
        const bool typed = succeeded(decoded) || error(decoded).kind == failure_kind::malformed;
        RC_ASSERT(typed);
        membership view(make_member(0));
        view.receive(entry, time_point{});
    });
}

TEST_CASE("a daemon detects that it is isolated", "[membership]")
{
    isolation_detector detector;
    const time_point start{std::chrono::hours(1)};
    detector.update_links(4, 4, start);
    SECTION("half of the links prevent isolation")
    {
        detector.update_links(4, 2, start + seconds(10));
        CHECK_FALSE(detector.isolated(start + seconds(10)));
    }
    SECTION("without links it is isolated after the limit")
    {
        detector.update_links(4, 1, start + seconds(1));
        CHECK_FALSE(detector.isolated(start + limits::isolation_limit));
        CHECK(detector.isolated(start + limits::isolation_limit + milliseconds(1)));

        SECTION("an answer of the store ends the isolation")
        {
            detector.update_store_answer(start + seconds(20));
            CHECK_FALSE(detector.isolated(start + seconds(20)));
        }
    }
    SECTION("a daemon without other members is never isolated")
    {
        detector.update_links(0, 0, start + seconds(60));
        CHECK_FALSE(detector.isolated(start + seconds(60)));
    }
}

TEST_CASE("the configuration generation never decreases", "[config_tracker]")
{
    // Guards against a store or peer that answers with an old generation, also after a restart of the daemon.
    rc::prop("the generation in force never decreases, whichever source reports which generation", [] {
        config_tracker tracker;
        std::uint64_t highest = 0;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            const auto generation = *rc::gen::inRange<std::uint64_t>(0, 10);
            const auto source = static_cast<config_source>(*rc::gen::inRange(0, 3));
            const auto before = tracker.generation();
            const auto decision = tracker.receive(generation, source);
            highest = std::max(highest, generation);
            RC_ASSERT(tracker.generation() >= before);
            RC_ASSERT(tracker.generation() == highest);
            RC_ASSERT((decision == config_decision::accepted) == (generation > before));
        }
    });

    config_tracker tracker;
    tracker.update_known_peers(3);
    SECTION("one old peer does not make a restarted daemon ready")
    {
        tracker.receive(4, config_source::peer);
        tracker.update_peer_answer(daemon_id("entry-1"), 4);
        CHECK_FALSE(tracker.ready());

        SECTION("a second peer with a newer generation delays readiness until that generation is received")
        {
            tracker.update_peer_answer(daemon_id("entry-2"), 5);
            CHECK_FALSE(tracker.ready());
            tracker.receive(5, config_source::peer);
            CHECK(tracker.ready());
        }
    }
    SECTION("the store alone is enough")
    {
        tracker.update_store_answer(6);
        CHECK_FALSE(tracker.ready());
        tracker.receive(6, config_source::store);
        CHECK(tracker.ready());
    }
}
