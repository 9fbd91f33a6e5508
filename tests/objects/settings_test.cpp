#include "objects/settings.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

const std::string complete = R"({
  "daemon": "entry-1", "region": "hu-central", "failure_domain": "budapest-a",
  "listen": {"caller": "127.0.0.1:8080", "peer": "127.0.0.1:8081", "operator": "127.0.0.1:8082"},
  "platform": {"store": "127.0.0.1:7000", "instances": "127.0.0.1:7001", "weights": "127.0.0.1:7002"},
  "peer_secret": "long enough", "operator_token": "long enough",
  "workers": 2, // threads
  "log": {"level": "warning", "file": ""}
})";

std::string replaced(const std::string& from, const std::string& to)
{
    auto text = complete;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

// Guards against a daemon that ignores or misreads an invalid setting.
TEST_CASE("settings are read strictly", "[settings]")
{
    const auto parsed = parse_settings(complete);
    REQUIRE(succeeded(parsed));
    CHECK(value(parsed).daemon == daemon_id("entry-1"));
    CHECK(value(parsed).listen.operators == endpoint{"127.0.0.1", 8082});
    CHECK(value(parsed).platform.weights == endpoint{"127.0.0.1", 7002});
    CHECK(value(parsed).workers == 2);
    CHECK(value(parsed).log.level == log_level::warning);

    struct invalid_case
    {
        std::string text;
        std::string expected_error; ///< substring of the error
    };
    const std::vector<invalid_case> invalid_cases{
        {"", "parse error"},
        {"[]", ": found [], allowed an object"},
        {replaced("\"workers\"", "\"worker\""),
         "worker: found worker, allowed daemon, failure_domain, listen, log,"},
        {replaced("\"store\"", "\"stores\""), "platform.store: found nothing"},
        {replaced("\"workers\": 2", "\"workers\": -2"), "workers: found -2"},
        {replaced("\"workers\": 2", "\"workers\": 2.5"), "workers: found 2.5"},
        {replaced("\"workers\": 2", "\"daemon\": \"x\""), "duplicate key \"daemon\""},
        {replaced("127.0.0.1:8081", "localhost:8081"), "listen.peer: found \"localhost:8081\""},
        {replaced("\"warning\"", "\"loud\""), "log.level: found \"loud\""},
        {replaced("\"entry-1\"", "\"\""), "daemon"},
        {replaced("\"long enough\"", "\"short\""), "peer_secret"},
        {replaced("{\"level\": \"warning\", \"file\": \"\"}", "3"), "log: found 3, allowed an object"},
    };
    for (const auto& each : invalid_cases) {
        INFO(each.text);
        const auto refused = parse_settings(each.text);
        REQUIRE(failed(refused));
        CHECK(error(refused).kind == failure_kind::invalid_settings);
        CHECK_THAT(error(refused).context, Catch::Contains(each.expected_error));
    }

    SECTION("all invalid fields are reported at once")
    {
        const auto refused = parse_settings(R"({"daemon": "entry-1", "workers": -2, "extra": 1})");
        REQUIRE(failed(refused));
        for (const char* each : {"workers: found -2", "extra: found extra", "listen.caller: found nothing"}) {
            CHECK_THAT(error(refused).context, Catch::Contains(each));
        }
    }
}
