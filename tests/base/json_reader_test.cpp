#include "base/json_reader.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

std::vector<std::string> to_strings(const std::vector<field_problem>& problems)
{
    std::vector<std::string> all;
    for (const auto& problem : problems) {
        all.push_back(to_string(problem));
    }
    return all;
}

} // namespace

// Guards against silently ignored settings whose key, type or unit is wrong.
TEST_CASE("a strict reader reports every problem with its path", "[json]")
{
    const auto document = parse_json(R"({
        "daemon": "entry-1", // the name
        "listen": {"caller": "127.0.0.1:80", "pear": "127.0.0.1:81"},
        "ramp_step_s": 5, /* wrong unit */
        "wait_ms": 2.5, "workers": -1, "level": "loud", "names": ["a", "b c"]
    })");
    REQUIRE(succeeded(document));
    std::vector<field_problem> problems;
    object_reader reader(value(document), "", problems);

    std::string daemon;
    milliseconds ramp{7};
    milliseconds wait{8};
    std::uint32_t workers = 9;
    int level = 0;
    std::vector<instance_id> names;
    endpoint caller;
    endpoint peer;
    reader.required("daemon", daemon, not_empty);
    auto listen = reader.child("listen");
    listen.required("caller", caller);
    listen.required("peer", peer);
    listen.finish();
    reader.optional("ramp_step_ms", ramp);
    reader.required("wait_ms", wait);
    reader.required("workers", workers, field_rule{0, 64});
    reader.required_choice<int>("level", level, {{"info", 1}, {"error", 2}});
    reader.required("names", names);
    reader.finish();

    CHECK(daemon == "entry-1");
    CHECK(caller == endpoint{"127.0.0.1", 80});
    CHECK(ramp == milliseconds(7));
    CHECK(wait == milliseconds(8));
    CHECK(workers == 9);
    CHECK(names.empty());
    CHECK(to_strings(problems) ==
          std::vector<std::string>{
              "listen.peer: found nothing, allowed a value, since the field is required",
              "listen.pear: found pear, allowed caller, peer",
              "wait_ms: found 2.5, allowed a whole number of milliseconds of at least 0",
              "workers: found -1, allowed a whole number from 0 to 64",
              "level: found \"loud\", allowed info | error",
              "names: found [\"a\",\"b c\"], allowed a list, each element 1 to 64 letters, digits, dots, "
              "underscores and hyphens",
              "ramp_step_s: found ramp_step_s, allowed ramp_step_ms",
          });
    CHECK(problems.back().kind == field_problem_kind::wrong_unit);
}

// Guards against a second key that silently overrides the first.
TEST_CASE("ambiguous or invalid documents are malformed", "[json]")
{
    for (const char* text :
         {"", "{", "{\"a\":1,\"a\":2}", "{\"a\":{\"b\":1,\"b\":1}}", "[1] 2", "{\"a\":1,}"}) {
        INFO(text);
        const auto parsed = parse_json(text);
        REQUIRE(failed(parsed));
        CHECK(error(parsed).kind == failure_kind::malformed);
    }
    CHECK(succeeded(parse_json("[{\"a\":1},{\"a\":2}]")));
    CHECK(failed(parse_cbor(to_cbor_bytes(nlohmann::json::binary({1, 2})))));
}
