#include "gateway/change_notice.hpp"

#include "base/bounded_cbor.hpp"
#include "decision/random_source.hpp"

#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace rml;
using gateway::change_notice;
using gateway::store_event;

namespace {

result<change_notice> decode(std::string_view bytes)
{
    const auto message = decode_bounded_cbor(bytes);
    return gateway::is_notice(message) ? gateway::decode_notice(message)
                                       : failure{failure_kind::malformed, "not a notice"};
}

store_event event(std::uint64_t revision, std::size_t bytes)
{
    return {"targets/i" + std::to_string(revision), std::string(bytes, 'x'), revision};
}

} // namespace

TEST_CASE("changes are split into consecutive notices", "[gateway][change_notice]")
{
    SECTION("without a gap while each of them fits")
    {
        std::vector<store_event> events;
        for (std::uint64_t revision = 11; revision < 41; ++revision) {
            events.push_back(event(revision, 400));
        }
        const auto notices = gateway::split_changes(10, 45, events);
        CHECK(notices.size() > 1);
        std::uint64_t known = 10;
        std::size_t covered = 0;
        for (const auto& notice : notices) {
            CHECK(notice.after == known);
            known = notice.revision;
            covered += notice.events.size();
            CHECK(gateway::encode_notice(notice).size() < 6000);
        }
        CHECK(known == 45);
        CHECK(covered == events.size());
    }
    SECTION("a change that is too large leaves a gap, so that receivers read the store")
    {
        // Guards against receivers that consider a configuration known although no notice contained it.
        const auto notices =
            gateway::split_changes(10, 13, {event(11, 400), event(12, 50000), event(13, 400)});
        REQUIRE(notices.size() == 2);
        CHECK(notices[0].revision == 11);
        CHECK(notices[1].after == 12);
        CHECK(notices[1].events.size() == 1);
    }
    SECTION("changes of one revision stay together")
    {
        auto second = event(11, 2500);
        second.key += "b";
        const auto notices = gateway::split_changes(9, 11, {event(10, 2500), event(11, 1000), second});
        REQUIRE(notices.size() == 2);
        CHECK(notices[1].events.size() == 2);
    }
    SECTION("without changes one notice carries the known store revision")
    {
        const auto notices = gateway::split_changes(10, 12, {});
        REQUIRE(notices.size() == 1);
        CHECK(notices[0].after == 10);
        CHECK(notices[0].revision == 12);
    }
}

TEST_CASE("notices round-trip, and damaged ones are handled", "[gateway][change_notice]")
{
    // Guards against a datagram that crashes a daemon, and against loss of values that are not text.
    const bool held = rc::check("round trip, then damage", [] {
        random_source random;
        change_notice notice;
        notice.daemon = daemon_id("d" + std::to_string(random.below(100)));
        notice.after = random.bits();
        notice.revision = random.bits();
        notice.age = milliseconds(random.below(2000));
        for (std::size_t i = random.below(10); i > 0; --i) {
            store_event entry{"targets/" + std::to_string(i), std::nullopt, random.bits()};
            if (random.one_in(2)) {
                entry.value = std::string(random.below(50), static_cast<char>(random.bits()));
            }
            notice.events.push_back(std::move(entry));
        }
        const auto bytes = gateway::encode_notice(notice);
        const auto back = decode(bytes);
        RC_ASSERT(succeeded(back));
        RC_ASSERT(gateway::encode_notice(value(back)) == bytes);
        for (int i = 0; i < 40; ++i) {
            auto damaged = bytes;
            if (random.one_in(3)) {
                damaged.resize(random.below(damaged.size()));
            } else {
                damaged[random.below(damaged.size())] = static_cast<char>(random.bits());
            }
            (void)decode(damaged); // a failure or a notice, never an exception
        }
    });
    CHECK(held);
}

TEST_CASE("a notice with a number that does not fit its field is refused", "[gateway][change_notice]")
{
    // Guards against a store contact in the future: a negative age hides that the store is unreachable.
    const auto refused = [](const char* field, const nlohmann::json& number) {
        auto document = nlohmann::json::from_cbor(gateway::encode_notice({daemon_id("d"), 1, 2, {}, {}}));
        document[field] = number;
        const auto bytes = nlohmann::json::to_cbor(document);
        return failed(decode(std::string(bytes.begin(), bytes.end())));
    };
    for (const auto& number : {nlohmann::json(-1), nlohmann::json(1e308), nlohmann::json(0.5),
                               nlohmann::json(std::numeric_limits<std::int64_t>::min())}) {
        for (const auto* field : {"a", "r", "t"}) {
            CAPTURE(field, number.dump());
            CHECK(refused(field, number));
        }
    }
    CHECK(refused("t", std::numeric_limits<std::int64_t>::max()));
    CHECK_FALSE(refused("t", 1200));
}

TEST_CASE("a notice with a key that is not UTF-8 is refused", "[gateway][change_notice]")
{
    // Guards against an exception that ends the process when an order to engines names such a key.
    change_notice notice{daemon_id("d"), 1, 2, {}, {}};
    notice.events.push_back({"targets/\xff", std::nullopt, 2});
    CHECK(failed(decode(gateway::encode_notice(notice))));
    notice.events.front().key = "targets/\xc3\xa9";
    CHECK(succeeded(decode(gateway::encode_notice(notice))));
}

TEST_CASE("each daemon is in exactly one slice of a relayed notice", "[gateway][change_notice]")
{
    // Guards against daemons of a large fleet that get no notices, and watch the store themselves.
    constexpr std::uint32_t slices = 7;
    std::vector<std::size_t> sizes(slices);
    for (int i = 0; i < 300; ++i) {
        const daemon_id daemon("front-" + std::to_string(i));
        std::size_t containing = 0;
        for (std::uint32_t index = 0; index < slices; ++index) {
            const bool in = gateway::notice_slice{index, slices}.contains(daemon);
            containing += in ? 1 : 0;
            sizes[index] += in ? 1 : 0;
        }
        CHECK(containing == 1);
    }
    for (const auto size : sizes) {
        CHECK(size > 0);
    }
    SECTION("and the slice is part of the message")
    {
        change_notice notice{daemon_id("d"), 1, 2, milliseconds(3), {}, {}};
        CHECK_FALSE(value(decode(gateway::encode_notice(notice))).slice);
        notice.slice = gateway::notice_slice{2, 5};
        const auto back = value(decode(gateway::encode_notice(notice))).slice;
        REQUIRE(back);
        CHECK(back->index == 2);
        CHECK(back->count == 5);
        notice.slice = gateway::notice_slice{5, 5};
        CHECK(failed(decode(gateway::encode_notice(notice))));
    }
}
