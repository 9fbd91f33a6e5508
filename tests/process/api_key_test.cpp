#include "process/gateway_site.hpp"

using namespace rml;
using rml::test::gateway_site;
using rml::test::json;

namespace {

constexpr std::uint32_t daemons = 2;

http::request order_with(gateway_site& site, const std::string& credentials)
{
    auto message = site.request("POST", "/orders/1", "two planks");
    auto& headers = message.headers;
    headers.erase(std::remove_if(headers.begin(), headers.end(),
                                 [](const auto& header) { return header.name == "Authorization"; }),
                  headers.end());
    if (!credentials.empty()) {
        headers.push_back({"Authorization", credentials});
    }
    return message;
}

/// Orders with the key that was taken away, with one that never was, and without any.
void check_rejected(gateway_site& site, std::uint32_t daemon)
{
    for (const auto* credentials : {"Bearer key-1", "Bearer key-that-never-was", ""}) {
        CAPTURE(daemon, credentials);
        const auto order = order_with(site, credentials);
        CHECK(site.send(daemon, order).status == 401);
        CHECK(site.runs(order) == 0);
    }
}

} // namespace

// Guards against daemons that serve everybody after the last API key was taken away.
TEST_CASE("nobody is served after the last API key was taken away", "[process][gateway]")
{
    gateway_site site(daemons);
    const auto before = order_with(site, "Bearer key-1");
    REQUIRE(site.send(0, before).status == 200);
    REQUIRE(site.send(0, order_with(site, "Bearer key-that-never-was")).status == 401);
    site.on_site([&site] {
        site.site->config["tenants"][0]["apiKeys"] = json::array();
        site.site->publish();
    });
    for (std::uint32_t i = 0; i < daemons; ++i) {
        REQUIRE(site.eventually([&] { return site.get(i, "/stock/1").status == 401; }));
        check_rejected(site, i);
    }

    SECTION("nor by a daemon that starts after the change")
    {
        site.daemons[0]->kill_now();
        site.start(0);
        REQUIRE(site.eventually([&] { return site.ready(0); }));
        check_rejected(site, 0);
    }
    SECTION("nor by one that starts while the store is away and knows no configuration")
    {
        site.on_site([&site] { site.site->store->faults.down = true; });
        site.daemons[0]->kill_now();
        site.start(0);
        const auto order = order_with(site, "");
        REQUIRE(site.eventually([&] { return site.send(0, order).status == 503; }));
        CHECK_FALSE(site.ready(0));
        CHECK(site.runs(order) == 0);
        check_rejected(site, 1);
    }
    SECTION("and a key that is given out again is valid at once")
    {
        site.on_site([&site] {
            site.site->config["tenants"][0]["apiKeys"] = {"key-2"};
            site.site->publish();
        });
        const auto order = order_with(site, "Bearer key-2");
        REQUIRE(site.eventually([&] { return site.send(0, order).status == 200; }));
        CHECK(site.runs(order) == 1);
        check_rejected(site, 0);
    }
}
