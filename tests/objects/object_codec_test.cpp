#include "objects/object_codec.hpp"

#include "base/json_reader.hpp"
#include "base/limits.hpp"
#include "objects/object_check.hpp"
#include "objects/object_diff.hpp"
#include "objects/object_generator.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using rml::testing::arbitrary_set;
using rml::testing::mutate;
using rml::testing::mutate_fields;

namespace {

/// True when every problem states the value found and the values allowed.
bool all_described(const std::vector<object_problem>& problems)
{
    return std::all_of(problems.begin(), problems.end(), [](const object_problem& problem) {
        return !problem.found.empty() && !problem.allowed.empty();
    });
}

/// Messages become log lines and JSON, which require valid UTF-8; ASCII is a subset.
bool is_ascii(const std::string& text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

} // namespace

// Guards against a field that is encoded but not decoded, and against several encodings of one set.
TEST_CASE("random sets round-trip through encoding", "[objects][property]")
{
    CHECK(rc::check("CBOR and JSON give the set back", [] {
        const auto set = arbitrary_set();
        RC_ASSERT(!has_errors(check_objects(set)));
        const auto bytes = encode_objects(set);
        RC_ASSERT(succeeded(bytes));
        const auto decoded = decode_objects(value(bytes));
        RC_ASSERT(succeeded(decoded));
        RC_ASSERT(value(decoded).generation == set.generation);
        RC_ASSERT(value(encode_objects(value(decoded))) == value(bytes));
        RC_ASSERT(object_set_digest(value(decoded)) == object_set_digest(set));

        const auto read = load_objects({{"set.json", encode_objects_json(set)}});
        RC_ASSERT(!has_errors(read.problems));
        RC_ASSERT(encode_objects_json(read.set) == encode_objects_json(set));

        const auto delivered = decode_delivery(encode_delivery(set));
        RC_ASSERT(succeeded(delivered));
        RC_ASSERT(encode_objects_json(value(delivered)) == encode_objects_json(set));
    }));
    CHECK(rc::check("the order of objects in a set does not matter", [] {
        auto set = arbitrary_set();
        const auto digest = object_set_digest(set);
        std::reverse(set.engines.begin(), set.engines.end());
        std::reverse(set.failure_domains.begin(), set.failure_domains.end());
        RC_ASSERT(object_set_digest(set) == digest);
    }));
}

// Guards against changes applied to another generation, and against changes that lose an object.
TEST_CASE("encoded changes turn one set into another", "[objects][property]")
{
    CHECK(rc::check("applied changes give the new set", [] {
        const auto from = arbitrary_set();
        auto to = arbitrary_set();
        to.generation = from.generation + 1;
        const auto bytes = encode_changes(from, to);
        const auto applied = apply_changes(from, bytes);
        RC_ASSERT(succeeded(applied));
        RC_ASSERT(encode_objects_json(value(applied)) == encode_objects_json(to));
        RC_ASSERT(diff_objects(value(applied), to).empty());

        auto other = from;
        other.generation = from.generation + 7;
        const auto refused = apply_changes(other, bytes);
        RC_ASSERT(failed(refused));
        RC_ASSERT(error(refused).kind == failure_kind::stale);
    }));
}

TEST_CASE("a diff lists created, updated and destroyed objects", "[objects]")
{
    object_set from;
    from.regions = {{region_id("a")}, {region_id("b")}};
    from.failure_domains = {{failure_domain_id("d"), region_id("a"), service_state::in_service}};
    auto to = from;
    to.regions[1].name = region_id("c");
    to.failure_domains[0].state = service_state::drained;
    const auto changes = diff_objects(from, to);
    REQUIRE(changes.size() == 3);
    CHECK(changes[0].kind == object_change_kind::destroyed);
    CHECK(to_string(changes[0].object) == "region b");
    CHECK(changes[1].kind == object_change_kind::created);
    CHECK(changes[2].kind == object_change_kind::updated);
    REQUIRE(changes[2].fields.size() == 1);
    CHECK(changes[2].fields[0].before == "\"in_service\"");
    CHECK(changes[2].fields[0].after == "\"drained\"");
}

// Guards against a crash, an exception or an unbounded allocation on invalid input from the store, a peer or
// a file.
TEST_CASE("arbitrary bytes give a typed failure", "[objects][property]")
{
    CHECK(rc::check("random bytes", [] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        const auto decoded = decode_objects(bytes);
        RC_ASSERT(failed(decoded));
        RC_ASSERT(failed(decode_delivery(bytes)));
        RC_ASSERT(failed(apply_changes({}, bytes)));
        const auto parsed = load_objects({{"x", bytes}});
        RC_ASSERT(has_errors(parsed.problems));
        RC_ASSERT(all_described(parsed.problems));
    }));
    CHECK(rc::check("mutated documents", [] {
        const auto set = arbitrary_set();
        const auto decoded = decode_objects(mutate(value(encode_objects(set))));
        if (failed(decoded)) {
            const auto kind = error(decoded).kind;
            RC_ASSERT(kind == failure_kind::malformed || kind == failure_kind::invalid_settings);
        }
        auto next = arbitrary_set();
        next.generation = set.generation + 1;
        const auto applied = apply_changes(set, mutate(encode_changes(set, next)));
        RC_ASSERT((succeeded(applied) || !error(applied).context.empty()));
        const auto parsed = load_objects({{"x", mutate(encode_objects_json(set))}});
        RC_ASSERT(all_described(parsed.problems));
    }));
    CHECK(rc::check("documents with fields of wrong types, names and encodings", [] {
        const auto set = arbitrary_set();
        auto document = value(parse_cbor(value(encode_objects(set))));
        mutate_fields(document["objects"]);
        const auto decoded = decode_objects(to_cbor_bytes(document));
        if (succeeded(decoded)) {
            RC_ASSERT(succeeded(encode_objects(value(decoded))));
        } else {
            RC_ASSERT(error(decoded).kind == failure_kind::invalid_settings);
            RC_ASSERT(is_ascii(error(decoded).context));
        }
        parsed_objects parsed;
        parse_object_list(document["objects"], "file", parsed);
        const auto problems = check_objects(parsed.set, parsed.origins);
        parsed.problems.insert(parsed.problems.end(), problems.begin(), problems.end());
        RC_ASSERT(all_described(parsed.problems));
        RC_ASSERT(has_errors(parsed.problems) == failed(decoded));
    }));
}

// Guards against input whose size alone would exhaust stack or memory.
TEST_CASE("deep and large documents give a typed failure", "[objects]")
{
    SECTION("a document nested a million levels deep does not exhaust the stack")
    {
        const auto decoded = decode_objects(std::string(1000000, '\x81'));
        REQUIRE(failed(decoded));
        CHECK(error(decoded).kind == failure_kind::malformed);
        CHECK(has_errors(load_objects({{"x", std::string(1000000, '[')}}).problems));
    }
    SECTION("a set above the size of a store value is refused on both sides")
    {
        object_set set;
        for (int i = 0; i < 30000; ++i) {
            set.regions.push_back({region_id("region-with-a-long-name-" + std::to_string(i))});
        }
        const auto encoded = encode_objects(set);
        REQUIRE(failed(encoded));
        CHECK(error(encoded).kind == failure_kind::too_large);
        const auto decoded = decode_objects(std::string(limits::store_value_bytes + 1, 'x'));
        REQUIRE(failed(decoded));
        CHECK(error(decoded).kind == failure_kind::too_large);
    }
}
