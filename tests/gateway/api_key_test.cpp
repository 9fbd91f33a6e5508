#include "decode.hpp"
#include "gateway/forwarding_site.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rml;
using namespace rml::test;
using nlohmann::json;

namespace {

/// A configuration with a public and another route to the plain service.
json configuration(std::uint64_t version)
{
    const auto route = [](const char* prefix, bool is_public) {
        return json{{"name", prefix},     {"hostname", "site.example"}, {"prefix", prefix},
                    {"type", "unsafe"},   {"timeoutMs", 4000},          {"service", "shop"},
                    {"public", is_public}};
    };
    return {{"version", version},
            {"routes", {route("/orders/", false), route("/hours/", true)}},
            {"services", {{{"name", "shop"}}}}};
}

void publish(forwarding_site& site, const json& document)
{
    auto decoded = site_wire::create_decoder()->decode_config(document.dump());
    REQUIRE(succeeded(decoded));
    REQUIRE(site.fleet.update_config(value(std::move(decoded))));
}

struct deployment
{
    std::string name;
    json tenants; ///< null: not stated
    int with_key;
    int with_unknown_key;
    int without_key;
};

} // namespace

// Guards against daemons that serve everybody when the last API key of the configuration has been taken away.
TEST_CASE("a request needs a key wherever the configuration states accounts", "[gateway][api_key]")
{
    const std::vector<deployment> deployments{
        {"no accounts stated", nullptr, 200, 200, 200},
        {"an empty list of accounts", json::array(), 401, 401, 401},
        {"accounts without a key", {{{"name", "branch"}, {"apiKeys", json::array()}}}, 401, 401, 401},
        {"an account without a list of keys", {{{"name", "branch"}}}, 401, 401, 401},
        {"accounts with keys", {{{"name", "branch"}, {"apiKeys", {"key-1"}}}}, 200, 401, 401},
    };
    auto target = sound_target();
    forwarding_site site;
    site.add_target("a", target.address());
    auto earlier = configuration(2);
    earlier["tenants"] = {{{"name", "branch"}, {"apiKeys", {"key-1"}}}};
    publish(site, earlier);
    for (const auto& [name, tenants, with_key, with_unknown_key, without_key] : deployments) {
        DYNAMIC_SECTION(name)
        {
            auto document = configuration(3);
            if (!tenants.is_null()) {
                document["tenants"] = tenants;
            }
            publish(site, document);
            int served = 0;
            const auto status_of = [&](const std::string& path, const std::string& key) {
                site.key = key;
                const auto status = site.send(path, path + key).answer.status;
                served += status == 200 ? 1 : 0;
                return status;
            };
            CHECK(status_of("/orders/1", "key-1") == with_key);
            CHECK(status_of("/orders/1", "key-2") == with_unknown_key);
            CHECK(status_of("/orders/1", "") == without_key);
            CHECK(status_of("/hours/1", "") == 200);
            CHECK(target.requests() == served);
        }
    }
}

// Guards against a malformed list of accounts that is read as none.
TEST_CASE("a configuration whose accounts cannot be read is rejected", "[gateway][api_key]")
{
    for (const auto& tenants :
         {json(nullptr), json("branch"), json::object(), json{1}, json{{{"apiKeys", {"k"}}}},
          json{{{"name", "branch"}, {"apiKeys", nullptr}}}, json{{{"name", "branch"}, {"apiKeys", {1}}}}}) {
        CAPTURE(tenants.dump());
        auto document = configuration(2);
        document["tenants"] = tenants;
        CHECK(failed(site_wire::create_decoder()->decode_config(document.dump())));
    }
}
