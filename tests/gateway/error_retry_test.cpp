#include "gateway/forwarding_site.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using namespace rml::test;

namespace {

/// The first choice of each request answers with an error.
class failing_site : public forwarding_site
{
public:
    explicit failing_site(answering_target& other) : other(other)
    {
        this->add_target("failing", this->failing.address());
        this->add_target("other", this->other.address());
        this->make_last_choice("other");
    }

    answering_target failing{"500 Error", "x-signature: f\r\n", "out of order"};
    answering_target& other;
};

} // namespace

TEST_CASE("a request that may run twice does not end with the first target's error", "[gateway][error_retry]")
{
    // Guards against errors that reach callers although another target of the pool answers.
    SECTION("another target answers: the caller gets its answer")
    {
        auto sound = sound_target();
        failing_site site(sound);
        const auto& caller = site.send("/stock/1", "A");
        CHECK(caller.answer.status == 200);
        CHECK(caller.answer.body == "body");
        CHECK(site.failing.requests() == 1);
        CHECK(sound.requests() == 1);
    }
    SECTION("the other target fails too: the caller gets a target's error with its signature")
    {
        answering_target failing_too("500 Error", "x-signature: g\r\n", "out of order too");
        failing_site site(failing_too);
        const auto& caller = site.send("/stock/1", "A");
        CHECK(caller.answer.status == 500);
        CHECK(http::find_header(caller.answer.headers, "x-signature") == "g");
        CHECK(caller.answer.body == "out of order too");
        CHECK(failing_too.requests() == 1);
    }
    SECTION("the other target refuses: the caller gets the first target's error, not a refusal")
    {
        answering_target full("503 Unavailable", "x-not-executed: 1\r\n", "full");
        failing_site site(full);
        const auto& caller = site.send("/stock/1", "A");
        CHECK(caller.answer.status == 500);
        CHECK(http::find_header(caller.answer.headers, "x-signature") == "f");
        CHECK(caller.answer.body == "out of order");
        CHECK(caller.finished);
    }
    SECTION("no other target is left: the caller gets the error")
    {
        auto sound = sound_target();
        failing_site site(sound);
        site.fleet.destroy_target(instance_id("other"), steady_clock::now(), std::nullopt);
        const auto& caller = site.send("/stock/1", "A");
        CHECK(caller.answer.status == 500);
        CHECK(caller.answer.body == "out of order");
    }
    SECTION("no retry is left in the budget: the caller gets the error")
    {
        auto sound = sound_target();
        failing_site site(sound);
        site.settings.bounds.retry_slack = 0;
        site.settings.bounds.retry_share = 0;
        const auto& caller = site.send("/stock/1", "A");
        CHECK(caller.answer.status == 500);
        CHECK(sound.requests() == 0);
    }
}

TEST_CASE("a request that must run once keeps the first target's error", "[gateway][error_retry]")
{
    // Guards against the second execution of an order.
    auto sound = sound_target();
    failing_site site(sound);
    const auto& caller = site.send("/orders/1", "A");
    CHECK(caller.answer.status == 500);
    CHECK(caller.answer.body == "out of order");
    CHECK(site.failing.requests() == 1);
    CHECK(sound.requests() == 0);
}
