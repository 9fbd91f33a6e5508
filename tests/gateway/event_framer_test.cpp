#include "gateway/event_framer.hpp"

#include "base/limits.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using gateway::event_framer;

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) + "\n\n";
}

} // namespace

TEST_CASE("a stream is split at event boundaries", "[gateway][event_framer]")
{
    event_framer framer;

    SECTION("events that arrive in pieces are returned complete and unchanged")
    {
        const auto bytes = event(1) + event(2) + event(3);
        std::string out;
        for (std::size_t i = 0; i < bytes.size(); i += 7) {
            const auto complete = framer.append(std::string_view(bytes).substr(i, 7));
            REQUIRE(succeeded(complete));
            out += value(complete);
        }
        CHECK(out == bytes);
        CHECK_FALSE(framer.partial());
        CHECK(framer.last_id() == 3U);

        SECTION("and the stream continues at another target after the last complete event")
        {
            // Guards against joining bytes of a partial event with those of the next target.
            REQUIRE(succeeded(framer.append("id: 4\nda")));
            CHECK(framer.partial());
            framer.restart();
            const auto rest = framer.append(event(4));
            REQUIRE(succeeded(rest));
            CHECK(value(rest) == event(4));
        }
        SECTION("a gap is rejected")
        {
            CHECK(failed(framer.append(event(5))));
        }
        SECTION("a repeated event is rejected")
        {
            CHECK(failed(framer.append(event(3))));
        }
    }
    SECTION("an id that is not a number is rejected")
    {
        CHECK(failed(framer.append("id: x\ndata: a\n\n")));
    }
    SECTION("the head of another answer in place of an event is rejected")
    {
        REQUIRE(succeeded(framer.append(event(1))));
        CHECK(failed(framer.append(event(2) + "HTTP/1.1 503 Unavailable\r\n\r\n")));

        SECTION("and the event before it, which was not returned, is still due from the next target")
        {
            // Guards against a stream that continues without the events that arrived with malformed bytes.
            CHECK(framer.last_id() == 1U);
            framer.restart();
            const auto rest = framer.append(event(2));
            REQUIRE(succeeded(rest));
            CHECK(value(rest) == event(2));
        }
    }
    SECTION("events without ids are accepted")
    {
        const auto complete = framer.append("data: a\r\n\r\n");
        REQUIRE(succeeded(complete));
        CHECK(value(complete) == "data: a\r\n\r\n");
    }
    SECTION("an event that never ends is limited")
    {
        CHECK(failed(framer.append(std::string(limits::event_bytes + 1, 'x'))));
    }
}
