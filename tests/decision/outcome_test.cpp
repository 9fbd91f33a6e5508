#include "decision/outcome.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace rml;

namespace {

enum class event
{
    send,
    refused,
    completed,
    lost,
};

void apply(attempt_outcome& attempt, event next)
{
    switch (next) {
    case event::send:
        return attempt.on_send();
    case event::refused:
        return attempt.on_refused();
    case event::completed:
        return attempt.on_completed();
    case event::lost:
        return attempt.on_lost();
    }
}

rc::Gen<std::vector<event>> any_events()
{
    return rc::gen::container<std::vector<event>>(
        rc::gen::element(event::send, event::refused, event::completed, event::lost));
}

/// Reference: derives the outcome from the whole history of events.
outcome naive_outcome(const std::vector<event>& events)
{
    bool sent = false;
    for (const auto next : events) {
        if (next == event::lost) {
            return sent ? outcome::unknown : outcome::not_run;
        }
        if (sent && next == event::refused) {
            return outcome::not_run;
        }
        if (sent && next == event::completed) {
            return outcome::completed;
        }
        sent = sent || next == event::send;
    }
    return sent ? outcome::unknown : outcome::not_run;
}

} // namespace

// Guards against the outcome not-run for a request that a target may have run.
TEST_CASE("only requests that no target ran have the outcome not-run", "[outcome]")
{
    SECTION("the outcome of an attempt matches the reference for every order of events")
    {
        REQUIRE(rc::check("attempt", [] {
            const auto events = *any_events();
            attempt_outcome attempt;
            for (const auto next : events) {
                apply(attempt, next);
            }
            RC_ASSERT(attempt.current() == naive_outcome(events));
        }));
    }

    SECTION("the combined outcome never hides an unknown or a completed attempt")
    {
        REQUIRE(rc::check("request", [] {
            const auto histories = *rc::gen::container<std::vector<std::vector<event>>>(any_events());
            request_outcome total;
            bool completed = false;
            bool unknown = false;
            for (const auto& events : histories) {
                attempt_outcome attempt;
                for (const auto next : events) {
                    apply(attempt, next);
                }
                attempt.on_lost();
                completed = completed || attempt.current() == outcome::completed;
                unknown = unknown || attempt.current() == outcome::unknown;
                total.on_attempt(attempt);
            }
            const auto expected =
                completed ? outcome::completed : (unknown ? outcome::unknown : outcome::not_run);
            RC_ASSERT(total.current() == expected);
        }));
    }

    SECTION("the names are the values of x-rml-outcome")
    {
        CHECK(to_string(outcome::not_run) == "not-run");
        CHECK(to_string(outcome::completed) == "completed");
        CHECK(to_string(outcome::unknown) == "unknown");
    }
}
