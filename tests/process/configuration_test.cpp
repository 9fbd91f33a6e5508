#include "process/site.hpp"
#include "process/traffic.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using namespace rml::test;

namespace {

std::uint64_t generation(const site& place, std::size_t daemon)
{
    return place.status(daemon).value("generation", std::uint64_t{0});
}

} // namespace

TEST_CASE("a drained failure domain receives no new work and comes back", "[process][drain]")
{
    // Guards invariant 4.
    site place(site_options{});
    REQUIRE(place.publish() == 0);
    for (const std::size_t daemon : {0, 1, 2}) {
        REQUIRE(place.wait_servable(daemon, 4));
    }
    traffic load(place, {0, 1, 2}, 6, 8);
    REQUIRE(site::wait_until([&] { return place.domain_requests(0) > 10 && place.domain_requests(1) > 10; }));

    SECTION("all daemons take the drain over")
    {
        REQUIRE(place.publish("drained") == 0);
        REQUIRE(site::wait_until([&] {
            return generation(place, 0) == 2 && generation(place, 1) == 2 && generation(place, 2) == 2;
        }));
        const auto before = place.domain_requests(0);
        const auto whole = load.current().whole;
        REQUIRE(site::wait_until([&] { return load.current().whole > whole + 80; }));
        CHECK(place.domain_requests(0) == before);

        SECTION("and the domain serves again after its return")
        {
            REQUIRE(place.publish("in_service") == 0);
            CHECK(site::wait_until([&] { return place.domain_requests(0) > before + 10; }));
        }
    }
    SECTION("a daemon that was frozen during the drain stops within seconds")
    {
        place.daemon(2).freeze();
        REQUIRE(place.publish("drained") == 0);
        REQUIRE(site::wait_until([&] { return generation(place, 0) == 2 && generation(place, 1) == 2; }));
        place.daemon(2).resume();
        REQUIRE(site::wait_until([&] { return generation(place, 2) == 2; }));
        const auto before = place.domain_requests(0);
        const auto whole = load.current().whole;
        REQUIRE(site::wait_until([&] { return load.current().whole > whole + 80; }));
        CHECK(place.domain_requests(0) == before);
    }
    const auto counts = load.stop();
    INFO(describe(counts));
    CHECK(counts.wrong == 0);
}

TEST_CASE("an accepted configuration stays in force", "[process][configuration]")
{
    // Guards invariant 10.
    site place(site_options{});
    REQUIRE(place.publish() == 0);
    REQUIRE(place.publish("in_service", "drained") == 0);
    REQUIRE(site::wait_until(
        [&] { return generation(place, 0) == 2 && generation(place, 1) == 2 && generation(place, 2) == 2; }));

    SECTION("the store goes down and a daemon starts meanwhile: it takes the generation from its peers")
    {
        site::set_faults(place.store().address(), {{"down", true}});
        const auto fresh = place.start_daemon();
        CHECK(site::wait_until(
            [&] { return generation(place, fresh) == 2 && place.status(fresh).value("ready", false); }));
        SECTION("and keeps it when the store answers again")
        {
            site::set_faults(place.store().address(), {{"down", false}});
            REQUIRE(place.publish() == 0);
            CHECK(site::wait_until([&] { return generation(place, fresh) == 3; }));
        }
    }
    SECTION("watches hang without an error: the poll still finds the next generation")
    {
        site::set_faults(place.store().address(), {{"hang_watches", true}});
        REQUIRE(place.publish() == 0);
        CHECK(site::wait_until([&] {
            return generation(place, 0) == 3 && generation(place, 1) == 3 && generation(place, 2) == 3;
        }));
    }
    SECTION("the reply to the publication is lost")
    {
        site::set_faults(place.store().address(), {{"lose_replies", 1}, {"prefix", "config/"}});
        CHECK(place.publish() == 0);
        CHECK(site::wait_until([&] {
            return generation(place, 0) == 3 && generation(place, 1) == 3 && generation(place, 2) == 3;
        }));
    }
}
