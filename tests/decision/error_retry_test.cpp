#include "decision/error_retry.hpp"

#include <catch2/catch.hpp>

using namespace rml;

TEST_CASE("a server error is retried only where that can help and do no harm", "[decision][error_retry]")
{
    // Guards against a second execution of a request that must run once, and against repeats that cannot end
    // in time.
    answered_attempt attempt;
    attempt.status = 500;
    attempt.idempotent = true;
    attempt.sends = 1;
    attempt.max_attempts = 2;
    attempt.took = milliseconds(60);
    attempt.until_deadline = milliseconds(2000);
    CHECK(retries_after_error(attempt));
    SECTION("a request that must run once keeps its answer")
    {
        attempt.idempotent = false;
        CHECK_FALSE(retries_after_error(attempt));
    }
    SECTION("an error of the caller is the answer")
    {
        attempt.status = 404;
        CHECK_FALSE(retries_after_error(attempt));
    }
    SECTION("a success is the answer")
    {
        attempt.status = 200;
        CHECK_FALSE(retries_after_error(attempt));
    }
    SECTION("a caller that has a part of an answer gets no other one")
    {
        attempt.answer_started = true;
        CHECK_FALSE(retries_after_error(attempt));
    }
    SECTION("the attempts of the route are used up")
    {
        attempt.sends = 2;
        CHECK_FALSE(retries_after_error(attempt));
    }
    SECTION("the deadline is too near for another run")
    {
        attempt.until_deadline = milliseconds(119);
        CHECK_FALSE(retries_after_error(attempt));
        attempt.until_deadline = milliseconds(120);
        CHECK(retries_after_error(attempt));
    }
}
