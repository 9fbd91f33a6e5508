#include "decision/target_pause.hpp"

#include "base/limits.hpp"
#include "decision/send_right.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace rml;

namespace {

const time_point start{seconds(1000)};

} // namespace

// Guards against a target whose Retry-After is misread: requests during its pause, or none for ever.
TEST_CASE("the length of a pause is read from Retry-After", "[decision][target_pause]")
{
    SECTION("whole and fractional seconds")
    {
        CHECK(parse_pause("2") == seconds(2));
        CHECK(parse_pause("0.25") == milliseconds(250));
        CHECK(parse_pause("1.5") == milliseconds(1500));
        CHECK(parse_pause("0.0019") == milliseconds(1));
        CHECK(parse_pause("0") == milliseconds(0));
        CHECK(parse_pause("007") == seconds(7));
    }
    SECTION("a huge value is bounded")
    {
        CHECK(parse_pause("600") == milliseconds(limits::max_target_pause));
        CHECK(parse_pause("99999") == milliseconds(limits::max_target_pause));
        CHECK(parse_pause("123456789012345678901234567890") == milliseconds(limits::max_target_pause));
        CHECK(parse_pause("9223372036854775807.5") == milliseconds(limits::max_target_pause));
    }
    SECTION("everything else is unreadable")
    {
        for (const auto* text : {"", "-1", "-0.5", "+1", "soon", "1s", "1e3", ".5", "1.", "1.5.2", " 1", "1 ",
                                 "Sat, 05 Dec 2026 14:00:00 GMT", "nan", "inf", "0x10", "1,5"}) {
            INFO(text);
            CHECK_FALSE(parse_pause(text));
        }
    }
    SECTION("no text ends the daemon or gives a time outside the bounds")
    {
        CHECK(rc::check([](const std::string& text) {
            const auto pause = parse_pause(text);
            RC_ASSERT(!pause ||
                      (*pause >= milliseconds(0) && *pause <= milliseconds(limits::max_target_pause)));
        }));
    }
}

TEST_CASE("a target that asked for a pause gets its requests back gradually", "[decision][target_pause]")
{
    target_pause pause;
    CHECK(pause.until() <= start);
    CHECK_FALSE(pause.in_flight_limit());

    pause.extend(seconds(4), 0, start);
    CHECK(pause.until() == start + seconds(4));

    SECTION("a shorter pause does not end a longer one, and a longer one extends it")
    {
        pause.extend(seconds(1), 0, start + seconds(1));
        CHECK(pause.until() == start + seconds(4));
        pause.extend(seconds(5), 0, start + seconds(1));
        CHECK(pause.until() == start + seconds(6));
    }
    SECTION("no pause of no length")
    {
        target_pause none;
        none.extend(milliseconds(0), 0.5, start);
        CHECK(none.until() <= start);
        CHECK_FALSE(none.in_flight_limit());
    }
    SECTION("the daemons begin again at different times, never before the end")
    {
        // Guards against all daemons sending at the end of the pause.
        target_pause other;
        other.extend(seconds(4), 1, start);
        CHECK(other.until() == start + seconds(5));
        CHECK(rc::check([] {
            target_pause any;
            const auto spread = *rc::gen::inRange(0, 1001) / 1000.0;
            const auto length = milliseconds(*rc::gen::inRange(1, 600'000));
            any.extend(length, spread, start);
            RC_ASSERT(any.until() >= start + length);
            RC_ASSERT(any.until() <= start + length + seconds(1));
        }));
    }
    SECTION("one request in flight at first, twice as many after each answer")
    {
        CHECK(pause.in_flight_limit() == 1U);
        // An answer to a request that was sent before the pause says nothing about the time after it.
        pause.record_answer(start - seconds(1));
        CHECK(pause.in_flight_limit() == 1U);
        pause.record_answer(start + seconds(4));
        CHECK(pause.in_flight_limit() == 2U);
        for (int i = 0; i < 4; ++i) {
            pause.record_answer(start + seconds(5));
        }
        CHECK_FALSE(pause.in_flight_limit());
        pause.extend(seconds(1), 0, start + seconds(6));
        CHECK(pause.in_flight_limit() == 1U);
    }
}

TEST_CASE("one decision joins all that is known of a target", "[decision][send_right]")
{
    target_standing standing;
    CHECK(send_right_of(standing, start) == send_right::allowed);
    standing.ejected_until = start + seconds(1);
    CHECK(send_right_of(standing, start) == send_right::last_resort);
    CHECK(send_right_of(standing, start + seconds(1)) == send_right::allowed);
    standing.paused_until = start + seconds(2);
    CHECK(send_right_of(standing, start) == send_right::paused);
    CHECK(send_right_of(standing, start + seconds(2)) == send_right::allowed);

    SECTION("a target that leaves, or whose failure domain is drained, gets nothing more")
    {
        auto leaving = standing;
        leaving.leaving = true;
        CHECK(send_right_of(leaving, start + seconds(3)) == send_right::withdrawn);
        standing.domain_drained = true;
        CHECK(send_right_of(standing, start + seconds(3)) == send_right::withdrawn);
    }
    SECTION("only allowed and last_resort permit a request")
    {
        CHECK(may_send(send_right::allowed));
        CHECK(may_send(send_right::last_resort));
        CHECK_FALSE(may_send(send_right::paused));
        CHECK_FALSE(may_send(send_right::withdrawn));
    }
}
