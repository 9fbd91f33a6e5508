#include "base/bounded_cbor.hpp"

#include "base/json_reader.hpp"
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

TEST_CASE("nested strings of indefinite length are refused before they exhaust the stack", "[cbor]")
{
    // Guards against a datagram that ends the process: the parser recurses once per string.
    constexpr std::size_t datagram_bytes = 65507;
    constexpr std::size_t large_frame_bytes = 1024 * 1024;
    for (const char head : {'\x7f', '\x5f'}) {
        for (const auto bytes : {datagram_bytes, large_frame_bytes}) {
            const std::string nested(bytes, head);
            CAPTURE(static_cast<int>(head), bytes);
            CHECK(decode_bounded_cbor(nested).is_discarded());
            CHECK(decode_bounded_cbor("\xa1" + nested).is_discarded());
            CHECK(decode_bounded_cbor("\xa1\x61k" + nested).is_discarded());
            CHECK(decode_bounded_cbor("\x82\x18\xff" + nested).is_discarded());
            CHECK(failed(parse_cbor(nested)));
            CHECK(failed(parse_cbor("\xa1\x61k" + nested)));
        }
    }
    SECTION("strings and numbers that contain the same bytes are accepted")
    {
        const nlohmann::json document{{std::string(300, '\x7f'), 0x7f7f7f7f},
                                      {"b", nlohmann::json::binary({0x5f, 0x7f, 0x5f})},
                                      {"f", 1.5},
                                      {"t", std::string(70000, '\x5f')}};
        CHECK(decode_bounded_cbor(to_cbor_bytes(document)) == document);
    }
    SECTION("a length beyond the end of the frame is refused")
    {
        const std::string end("\x7b\xff\xff\xff\xff\xff\xff\xff\xff\x61", 10);
        CHECK(decode_bounded_cbor(end).is_discarded());
        CHECK(decode_bounded_cbor(end.substr(0, 4)).is_discarded());
    }
}
