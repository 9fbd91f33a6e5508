#include "gateway/settings.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rml;

namespace {

nlohmann::json complete()
{
    return {{"daemon", "d1"},
            {"region", "r1"},
            {"failure_domain", "a"},
            {"listen",
             {{"caller", "127.0.0.1:1"},
              {"readiness", "127.0.0.1:2"},
              {"entries", "127.0.0.1:3"},
              {"metrics", "127.0.0.1:4"},
              {"peer", "127.0.0.1:5"}}},
            {"store",
             {{"address", "127.0.0.1:6"},
              {"writes_per_s", 400},
              {"reads_per_s", 2000},
              {"shortest_lease_ms", 1000}}},
            {"bounds", {{"stop_grace_s", 2.5}, {"retry_slack", 130}}}};
}

} // namespace

TEST_CASE("the settings of the gateway daemon are validated", "[gateway][settings]")
{
    SECTION("complete settings are read, including fractions of seconds")
    {
        const auto read = gateway::parse_gateway_settings(complete().dump());
        REQUIRE(succeeded(read));
        CHECK(value(read).bounds.stop_grace == milliseconds(2500));
        CHECK(value(read).listen.peer.port == 5);
    }
    SECTION("the limits of the machine are optional")
    {
        CHECK_FALSE(value(gateway::parse_gateway_settings(complete().dump())).memory_mb);
        auto document = complete();
        document["memory_mb"] = 160;
        document["max_fds"] = 4100;
        const auto read = gateway::parse_gateway_settings(document.dump());
        REQUIRE(succeeded(read));
        CHECK(value(read).memory_mb == 160);
        CHECK(value(read).max_fds == 4100);
        document["max_fds"] = 3;
        CHECK(failed(gateway::parse_gateway_settings(document.dump())));
    }
    SECTION("the error names a misspelt field")
    {
        auto document = complete();
        document["bounds"]["retry_slak"] = 1;
        const auto read = gateway::parse_gateway_settings(document.dump());
        REQUIRE(failed(read));
        CHECK(error(read).context.find("bounds.retry_slak") != std::string::npos);
    }
    SECTION("the error names a missing address")
    {
        auto document = complete();
        document["listen"].erase("peer");
        const auto read = gateway::parse_gateway_settings(document.dump());
        REQUIRE(failed(read));
        CHECK(error(read).context.find("listen.peer") != std::string::npos);
    }
}
