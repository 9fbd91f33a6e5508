#include "process/site.hpp"
#include "process/traffic.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using namespace rml::test;

TEST_CASE("a request that crashes its targets takes at most two groups", "[process][crash]")
{
    // Guards against a crashing request that is retried, and sent again by its caller through other entries,
    // until it has taken every group.
    site place(site_options{});
    REQUIRE(place.publish() == 0);
    for (const std::size_t daemon : {0, 1, 2}) {
        REQUIRE(place.wait_servable(daemon, 4));
    }
    traffic load(place, {0, 1, 2}, 3, 6);
    REQUIRE(site::wait_until([&] { return load.current().whole > 30; }));
    for (std::size_t daemon : {0, 1, 2, 0, 1, 2}) {
        const auto answer = place.generate(daemon, "crash-the-engine please", 8, "4000");
        REQUIRE(succeeded(answer));
        CHECK(value(answer).status != 200);
    }
    const auto before = load.current().whole;
    REQUIRE(site::wait_until([&] { return load.current().whole > before + 30; }));
    std::uint64_t crashes = 0;
    for (std::size_t domain = 0; domain < 2; ++domain) {
        for (std::size_t i = 0; i < 4; ++i) {
            crashes += site::stats(place.engine_address(domain, i)).at("crashes").get<std::uint64_t>();
        }
    }
    const auto counts = load.stop();
    INFO(describe(counts));
    CHECK(crashes >= 1);
    CHECK(crashes <= 2);
    CHECK(counts.wrong == 0);
}
