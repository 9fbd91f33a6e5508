#include "base/bounded_cbor.hpp"

#include "model/plan.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rml;

TEST_CASE("deeply nested CBOR is refused before it exhausts the stack", "[cbor]")
{
    // Guards against a peer, possibly not authenticated, that sends a megabyte of nested arrays.
    const std::string nested(1024 * 1024, static_cast<char>(0x81)); // each byte opens an array of one element
    CHECK(decode_bounded_cbor(nested).is_discarded());

    SECTION("a document at the depth limit is accepted, a deeper one is refused")
    {
        const auto document_of = [](int depth) {
            return std::string(static_cast<std::size_t>(depth), static_cast<char>(0x81)) + '\x01';
        };
        CHECK_FALSE(decode_bounded_cbor(document_of(max_cbor_depth)).is_discarded());
        CHECK(decode_bounded_cbor(document_of(max_cbor_depth + 1)).is_discarded());
    }
    SECTION("a plan document nested too deeply is malformed")
    {
        const auto plan = decode_plan(nested, 1);
        REQUIRE(failed(plan));
        CHECK(error(plan).kind == failure_kind::malformed);
    }
}
