#include "decision/shared_risk.hpp"

#include "base/limits.hpp"
#include "store_model.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using test::at;

TEST_CASE("instances that fail together get a weight", "[shared_risk]")
{
    shared_risk risk;
    const instance_id a("a");
    const instance_id b("b");
    const auto lose_both = [&](std::int64_t ms) {
        risk.record_loss(a, at(ms));
        risk.record_loss(b, at(ms + 1500));
    };
    lose_both(0);
    SECTION("one coincidence has no effect")
    {
        CHECK(risk.weight(a, b, at(2000)) == 0);
    }
    SECTION("losses that are further apart than the window are no coincidence")
    {
        risk.record_loss(a, at(10000));
        risk.record_loss(b, at(12001));
        CHECK(risk.weight(a, b, at(13000)) == 0);
    }
    SECTION("the same loss reported twice counts once")
    {
        risk.record_loss(b, at(1600));
        CHECK(risk.weight(a, b, at(2000)) == 0);
    }
    SECTION("two coincidences give a weight, which decays with the half-life and is capped")
    {
        lose_both(10000);
        const auto weight = risk.weight(b, a, at(12000));
        CHECK(weight == Approx(2 * limits::risk_step).epsilon(0.01));
        CHECK(risk.weight(a, b, at(12000) + limits::risk_half_life) == Approx(weight / 2).epsilon(0.01));
        for (int i = 2; i < 20; ++i) {
            lose_both(i * 10000);
        }
        CHECK(risk.weight(a, b, at(200000)) == limits::risk_cap);
    }
    SECTION("the number of pairs is bounded")
    {
        for (int i = 0; i < 250; ++i) {
            risk.record_loss(instance_id("x" + std::to_string(i)), at(20000));
        }
        CHECK(risk.stats().pairs <= limits::risk_pairs);
        CHECK(risk.stats().dropped_pairs > 0);
    }
}
