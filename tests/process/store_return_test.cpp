#include "gateway/store_mirror.hpp"
#include "process/gateway_site.hpp"

using namespace rml;
using test::gateway_site;

TEST_CASE("daemons outlast a return of the store from an older copy", "[process][gateway][store_position]")
{
    // Guards against daemons that follow the copy: they would stop to serve, or take an old key for valid.
    gateway_site site;
    const auto metric = [&](std::uint32_t daemon, const std::string& line) {
        const auto answer = http::call(site.address(daemon, "metrics"), {"GET", "/metrics", {}, {}},
                                       test::gateway_call_limit);
        return succeeded(answer) && value(answer).body.find("\n" + line + "\n") != std::string::npos;
    };
    const auto status = [&](std::uint32_t daemon, const std::string& key) {
        auto request = site.request("GET", "/stock/1");
        request.headers.back().value = "Bearer " + key;
        return site.send(daemon, request).status;
    };
    const auto in_store = [&](const std::string& key) {
        return site.on_site([&] { return site.site->store->find(key).has_value(); });
    };
    site.on_site([&] {
        site.site->store->save_copy();
        site.site->config["tenants"][0]["apiKeys"] = {"key-1", "key-2"};
        site.site->publish();
    });
    for (std::uint32_t daemon = 0; daemon < 2; ++daemon) {
        REQUIRE(site.eventually([&] { return status(daemon, "key-2") == 200; }));
    }
    for (int era = 1; era <= 2; ++era) {
        site.on_site([&] { site.site->store->return_to_copy(); });
        for (std::uint32_t daemon = 0; daemon < 2; ++daemon) {
            REQUIRE(site.eventually([&] { return metric(daemon, "rml_store_era " + std::to_string(era)); }));
            CHECK(status(daemon, "key-2") == 200);
        }
        site.on_site([&] {
            for (const auto& engine : site.site->engines) {
                engine->update_entry();
            }
            site.site->store->put(site_wire::key_config, site.site->config.dump());
        });
        REQUIRE(site.eventually([&] {
            return in_store(gateway::own_keys::manager) &&
                   in_store(std::string(gateway::own_keys::daemons_prefix) + "daemon-0") &&
                   in_store(std::string(gateway::own_keys::daemons_prefix) + "daemon-1");
        }));
    }
    // The manager of the last era forms groups anew.
    site.on_site([&] {
        for (const auto& engine : site.site->engines) {
            engine->restart();
        }
    });
    for (std::uint32_t daemon = 0; daemon < 2; ++daemon) {
        CHECK(site.eventually([&] { return site.stream(daemon, 3).status == 200; }));
        CHECK(status(daemon, "key-2") == 200);
    }
    CHECK(site.on_site([&] { return site.site->fleet.violations.empty(); }));
}
