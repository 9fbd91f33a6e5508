#include "decode.hpp"

#include "decision/random_source.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace rml;
using nlohmann::json;

namespace {

json registry_entry()
{
    return {{"service", "pool"},
            {"address", "10.0.0.9:8080"},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", 26},
            {"phase", "ready"},
            {"coldRemainingMs", 1200},
            {"sequence", 4},
            {"born", 1769596947059},
            {"stage", "both"},
            {"domain", "a-d0"},
            {"staged", {"m1"}},
            {"models", {{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}}},
            {"group", {{"name", "g7"}, {"epoch", 12}, {"rank", 1}, {"phase", "ready"}}}};
}

json configuration()
{
    return json::parse(R"({"version":7,
        "routes":[{"name":"r1","hostname":"h.example","prefix":"/a/","type":"streaming","timeoutMs":8000,
                   "targetLatencyMs":500,"priority":1,"trafficSplit":[{"service":"pool","weight":90},
                   {"service":"office","weight":10}],"maxAttempts":2,"public":false,"sticky":true,
                   "resumable":true,"gapAimMs":300},
                  {"name":"r2","hostname":"h.example","prefix":"/a/b/","type":"unsafe","timeoutMs":1200,
                   "service":"office"}],
        "services":[{"name":"pool","healthPath":"/health","maxConnections":464,"coldStartS":3.0,"coldPerS":36.0,
                     "engine":{"slots":26,"stride":5,"step_ms":6.07,"per_seq_ms":0.241,"read_per_s":46000.0,
                     "chunk":2048,"loadsPerS":4.0,"loads_at_once":6,"formMs":300.0,
                     "models":[{"name":"m0","size":4,"share":0.67,"pace":1.0,"loadS":16.0,"warmS":1.6}]}},
                    {"name":"office","healthPath":"/health","maxConnections":96,"coldStartS":0.0,"coldPerS":0.0}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
        "tenants":[{"name":"branch","apiKeys":["k1","k2"],"priority":1}]})");
}

std::string nested(const std::string& open, const std::string& close = "")
{
    constexpr int levels = 100000;
    std::string text;
    for (int i = 0; i < levels; ++i) {
        text += open;
    }
    text += close.empty() ? "" : "1";
    for (int i = 0; i < levels; ++i) {
        text += close;
    }
    return text;
}

/// Text of the document with the value at the path replaced by text, which need not be JSON.
std::string with(json document, const char* path, const std::string& text)
{
    const std::string mark = "replaced here";
    document[json::json_pointer(path)] = mark;
    auto out = document.dump();
    return out.replace(out.find('"' + mark + '"'), mark.size() + 2, text);
}

const std::vector<std::string> too_deep{nested("["), nested("[", "]"), nested("{\"a\":"),
                                        nested("{\"a\":", "}"), nested("[{\"a\":", "}]")};
/// Texts that are no whole number from 0 which a double holds exactly.
const std::vector<std::string> not_whole{"1e999",
                                         "-1e999",
                                         "1e308",
                                         "1e19",
                                         "18446744073709551615",
                                         "18446744073709551616",
                                         "-1",
                                         "-9223372036854775808",
                                         "0.5",
                                         "2.5",
                                         "1e-300",
                                         "NaN",
                                         "Infinity",
                                         "\"NaN\"",
                                         "\"1\"",
                                         "null",
                                         "true",
                                         "[1]",
                                         "1" + std::string(400000, '0')};

} // namespace

TEST_CASE("documents nested too deeply are refused before they exhaust the stack", "[adapter][decode]")
{
    const auto decoder = site_wire::create_decoder();
    for (const auto& deep : too_deep) {
        CAPTURE(deep.substr(0, 5), deep.size());
        CHECK(failed(decoder->decode_target("i-1", deep)));
        CHECK(failed(decoder->decode_config(deep)));
        CHECK(failed(site_wire::decode_report(deep)));

        // Also in a field that is otherwise ignored.
        CHECK(failed(decoder->decode_target("i-1", with(registry_entry(), "/colour", deep))));
        CHECK(failed(decoder->decode_config(with(configuration(), "/colour", deep))));
        CHECK(failed(site_wire::decode_report(with(json::object(), "/colour", deep))));
    }
}

TEST_CASE("numbers that do not fit their field make the document malformed", "[adapter][decode]")
{
    // Guards against undefined conversions, and against entries that state half a slot.
    const auto decoder = site_wire::create_decoder();
    for (const auto& number : not_whole) {
        CAPTURE(number.substr(0, 30));
        for (const auto* path : {"/slots", "/sequence", "/born", "/group/epoch", "/group/rank"}) {
            CAPTURE(path);
            CHECK(failed(decoder->decode_target("i-1", with(registry_entry(), path, number))));
        }
        for (const auto* path : {"/version", "/services/0/engine/slots", "/services/0/engine/stride",
                                 "/services/0/engine/models/0/size", "/limits/maxBodyBytes"}) {
            CAPTURE(path);
            CHECK(failed(decoder->decode_config(with(configuration(), path, number))));
        }
        CHECK(failed(site_wire::decode_report(with(json::object(), "/active", number))));
    }
    SECTION("times and rates may be fractions, but not endless")
    {
        for (const auto* number : {"1e308", "1e19", "-1", "1e999"}) {
            CAPTURE(number);
            CHECK(failed(decoder->decode_target("i-1", with(registry_entry(), "/coldRemainingMs", number))));
            for (const auto* path :
                 {"/routes/0/timeoutMs", "/routes/0/trafficSplit/0/weight", "/services/0/coldStartS",
                  "/services/0/coldPerS", "/services/0/engine/formMs", "/services/0/engine/step_ms",
                  "/services/0/engine/per_seq_ms", "/services/0/engine/read_per_s",
                  "/services/0/engine/models/0/pace"}) {
                CAPTURE(path);
                CHECK(failed(decoder->decode_config(with(configuration(), path, number))));
            }
            CHECK(failed(site_wire::decode_report(with(json::object(), "/pace", number))));
        }
        CHECK(succeeded(decoder->decode_target("i-1", with(registry_entry(), "/coldRemainingMs", "0.5"))));
        CHECK(succeeded(decoder->decode_config(with(configuration(), "/services/0/engine/formMs", "2.5"))));
    }
    SECTION("whole numbers are read exactly, however they are written")
    {
        for (const auto* number : {"9007199254740992", "9007199254740992.0", "9007199254740992e0"}) {
            const auto entry = decoder->decode_target("i-1", with(registry_entry(), "/group/epoch", number));
            REQUIRE(succeeded(entry));
            CHECK(value(entry).membership->epoch == 9007199254740992U);
        }
    }
}

TEST_CASE("entries with an unusable address or key name no target", "[adapter][decode]")
{
    // Guards against requests to port 0, and against keys that would end a header line of a request.
    const auto decoder = site_wire::create_decoder();
    const auto address = [&](const std::string& text) {
        auto entry = registry_entry();
        entry["address"] = text;
        return decoder->decode_target("i-1", entry.dump());
    };
    for (const std::string text : {"10.0.0.9:0",
                                   "10.0.0.9:65536",
                                   "10.0.0.9:99999999999",
                                   "10.0.0.9:-1",
                                   "10.0.0.9:",
                                   ":80",
                                   "10.0.0.9",
                                   "",
                                   ":",
                                   "10.0.0.9:80 ",
                                   " 10.0.0.9:80",
                                   "10.0.0.9 :80",
                                   "10.0.0.9:+80",
                                   "10.0.0.9:8e1",
                                   "10.0.0.9:80\n",
                                   "\x01:80",
                                   "[]:80",
                                   "[10.0.0.9:80",
                                   "10.0.0.256:80",
                                   "host:80"}) {
        CAPTURE(text);
        CHECK(failed(address(text)));
    }
    CHECK(failed(address(std::string("10.0.0.9\0:80", 12))));
    CHECK(failed(address(std::string("10.0.0.9\0x:80", 13))));
    CHECK(failed(address(std::string(1024 * 1024, '1') + ":80")));
    CHECK(succeeded(address("[::1]:80")));
    CHECK(succeeded(address("10.0.0.9:65535")));

    const auto bytes = registry_entry().dump();
    for (const std::string key : {"", "a\r\nb", "a\tb", " ", "a b", "\x7f"}) {
        CAPTURE(key);
        CHECK(failed(decoder->decode_target(key, bytes)));
    }
    CHECK(failed(decoder->decode_target(std::string("a\0b", 3), bytes)));
    CHECK(succeeded(decoder->decode_target("a/b", bytes)));
    CHECK(succeeded(decoder->decode_target(std::string(200, '~'), bytes)));
}

TEST_CASE("entries that are no object or no text are refused", "[adapter][decode]")
{
    const auto decoder = site_wire::create_decoder();
    for (const std::string& bytes :
         {std::string(), std::string(" "), std::string("1"), std::string("null"), std::string("\"x\""),
          std::string("[]"), std::string("{}"), std::string("{"), std::string("\xff\xfe"),
          std::string(1024 * 1024, '\0'), registry_entry().dump() + std::string(1, '\0'),
          registry_entry().dump() + "{}", with(registry_entry(), "/service", "\"\xff\""),
          with(registry_entry(), "/service", "\"\\ud800\""),
          R"({"slots":1,)" + registry_entry().dump().substr(1)}) {
        CAPTURE(bytes.substr(0, 40));
        CHECK(failed(decoder->decode_target("i-1", bytes)));
        CHECK(failed(decoder->decode_config(bytes)));
    }
    CHECK(succeeded(decoder->decode_target(
        "i-1", with(registry_entry(), "/zone", '"' + std::string(1024 * 1024, 'z') + '"'))));
}

TEST_CASE("registry entries are decoded, and malformed ones are rejected", "[adapter][decode]")
{
    const auto decoder = site_wire::create_decoder();
    const auto decode = [&](const json& entry) { return decoder->decode_target("i-1", entry.dump()); };

    SECTION("a valid entry")
    {
        const auto decoded = decode(registry_entry());
        REQUIRE(succeeded(decoded));
        const auto& entry = value(decoded);
        CHECK(entry.instance == instance_id("i-1"));
        CHECK(entry.address == endpoint{"10.0.0.9", 8080});
        CHECK(entry.cold_remaining == milliseconds(1200));
        CHECK(entry.model == model_id("m0"));
        CHECK(entry.staged == std::vector<model_id>{model_id("m1")});
        REQUIRE(entry.membership);
        CHECK(entry.membership->epoch == 12);
        CHECK(entry.membership->phase == gateway::group_phase::ready);
    }
    SECTION("each required field missing or of another type")
    {
        for (const auto* field :
             {"service", "address", "zone", "slots", "phase", "coldRemainingMs", "sequence"}) {
            auto missing = registry_entry();
            missing.erase(field);
            CHECK(failed(decode(missing)));
            auto wrong = registry_entry();
            wrong[field] = json::array({1});
            CHECK(failed(decode(wrong)));
        }
    }
    SECTION("an unknown state, an unknown group phase and an invalid address")
    {
        auto entry = registry_entry();
        entry["phase"] = "resting";
        CHECK(failed(decode(entry)));
        entry = registry_entry();
        entry["group"]["phase"] = "half";
        CHECK(failed(decode(entry)));
        entry = registry_entry();
        entry["address"] = "somewhere:80";
        CHECK(failed(decode(entry)));
    }
    SECTION("new fields are ignored")
    {
        auto entry = registry_entry();
        entry["colour"] = "green";
        CHECK(succeeded(decode(entry)));
    }
    SECTION("arbitrary bytes give a failure or an entry, never an exception")
    {
        const bool held = rc::check("damaged entries", [&] {
            random_source random;
            auto bytes = registry_entry().dump();
            for (std::size_t i = 1 + random.below(4); i > 0; --i) {
                bytes[random.below(bytes.size())] = static_cast<char>(random.bits());
            }
            (void)decoder->decode_target("i-1", bytes);
            (void)decoder->decode_config(bytes);
            (void)site_wire::decode_report(bytes);
        });
        CHECK(held);
    }
}

TEST_CASE("a request for the entry addresses names the failure domain of its caller", "[adapter][decode]")
{
    const auto decoder = site_wire::create_decoder();
    CHECK(decoder->caller_domain("/resolve?name=x&region=r&zone=a") == failure_domain_id("a"));
    CHECK_FALSE(decoder->caller_domain("/resolve?name=x&zone="));
    CHECK_FALSE(decoder->caller_domain("/resolve"));
}

TEST_CASE("a configuration is decoded into routes, services and accounts", "[adapter][decode]")
{
    const auto decoder = site_wire::create_decoder();
    const auto decoded = decoder->decode_config(configuration().dump());
    REQUIRE(succeeded(decoded));
    const auto& config = *value(decoded);
    CHECK(config.version() == 7);

    SECTION("the longest prefix of a host wins")
    {
        REQUIRE(config.find_route("h.example", "/a/b/c") != nullptr);
        CHECK(config.find_route("h.example", "/a/b/c")->name == "r2");
        CHECK(config.find_route("h.example", "/a/x")->name == "r1");
        CHECK(config.find_route("h.example", "/b/") == nullptr);
        CHECK(config.find_route("other.example", "/a/x") == nullptr);
    }
    SECTION("the route kind decides whether a request may be repeated")
    {
        CHECK(config.find_route("h.example", "/a/x")->idempotent());
        CHECK_FALSE(config.find_route("h.example", "/a/b/")->idempotent());
        CHECK(config.find_route("h.example", "/a/b/")->max_attempts == 1);
    }
    SECTION("a service with models has engines, another is plain")
    {
        const auto* pool = config.find_service(service_id("pool"));
        REQUIRE(pool != nullptr);
        REQUIRE(pool->engines);
        CHECK(pool->engines->find(model_id("m0"))->load == seconds(16));
        CHECK_FALSE(config.find_service(service_id("office"))->engines);
    }
    SECTION("the delays that a service states hold for the others too")
    {
        auto stated = configuration();
        stated["/services/0/engine/delays"_json_pointer] = {
            {{"from", "a"}, {"targetVersion", "b"}, {"delay_ms", 3.5}}};
        const auto with_delays = decoder->decode_config(stated.dump());
        REQUIRE(succeeded(with_delays));
        const failure_domain_id a("a");
        const failure_domain_id b("b");
        for (const auto& [name, service] : value(with_delays)->services()) {
            CHECK(value(with_delays)->delays_of(service).between(b, a) == duration(microseconds(3500)));
        }
        CHECK(config.delays().empty());
        stated["/services/0/engine/delays/0/delay_ms"_json_pointer] = -1;
        CHECK(failed(decoder->decode_config(stated.dump())));
    }
    SECTION("an API key identifies its account")
    {
        REQUIRE(config.find_account("k2") != nullptr);
        CHECK(config.find_account("k2")->name == account_id("branch"));
        CHECK(config.find_account("k3") == nullptr);
    }
    SECTION("a configuration with an invalid field is rejected as a whole")
    {
        for (const auto* path : {"/routes/0/type", "/routes/1/service", "/services/0/engine/models/0/name",
                                 "/version", "/tenants/0/apiKeys", "/limits/maxBodyBytes"}) {
            auto wrong = configuration();
            wrong[json::json_pointer(path)] = json::object();
            INFO(path);
            CHECK(failed(decoder->decode_config(wrong.dump())));
        }
    }
}
