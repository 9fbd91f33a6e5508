#include "decision/prompt_load.hpp"

#include "decision/target_choice.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

const reading_profile large_model{10000, 512, milliseconds(20), milliseconds(1)};

milliseconds time_at(const prompt_queue& queue, std::uint64_t tokens = 1000)
{
    const auto out = first_token_time(large_model, queue, tokens);
    REQUIRE(out);
    return std::chrono::duration_cast<milliseconds>(*out);
}

target_candidate candidate(const std::string& name, std::uint32_t requests)
{
    target_candidate out;
    out.instance = instance_id(name);
    out.own = requests;
    out.slots = 25;
    return out;
}

} // namespace

TEST_CASE("the first token waits for the prompts that the target has still to read", "[prompt_load]")
{
    SECTION("reading 1,000 tokens takes 100 ms and two steps at an idle target")
    {
        CHECK(time_at({}) == milliseconds(142));
    }
    SECTION("each unread prompt delays it")
    {
        CHECK(time_at({4000, 2, 1}) > 4 * time_at({0, 2, 1}));
    }
    SECTION("so do requests that are decoded, and a slow target")
    {
        CHECK(time_at({0, 20, 1}) > time_at({0, 2, 1}));
        CHECK(time_at({0, 2, 2}) >= 2 * time_at({0, 2, 1}));
    }
    SECTION("a prompt of unknown size takes a step")
    {
        CHECK(time_at({}, 0) == milliseconds(21));
    }
    SECTION("nothing is known without a reading rate")
    {
        CHECK_FALSE(first_token_time({}, {4000, 2, 1}, 1000));
    }
}

TEST_CASE("a daemon counts the prompts that it has sent until they are read", "[prompt_load]")
{
    // Guards against a target that looks busy for ever, or idle while it reads.
    unread_prompts unread;
    const instance_id target("e0");
    unread.begin(target, 1500);
    unread.begin(target, 500);
    CHECK(unread.at(target) == 2000);
    unread.end(target, 1500);
    CHECK(unread.at(target) == 500);
    unread.end(target, 500);
    CHECK(unread.all().empty());
    unread.begin(target, 0);
    CHECK(unread.all().empty());

    SECTION("a stated size is bounded")
    {
        CHECK(counted_prompt(1960) == 1960);
        CHECK(counted_prompt(1e18) <= 200'000);
    }
}

TEST_CASE("the target with the earlier first token is chosen", "[prompt_load][target_choice]")
{
    const std::vector<target_candidate> list{candidate("reading", 2), candidate("decoding", 8)};
    const auto unread_at = [](const target_candidate& at) {
        return at.instance.str() == "reading" ? 6000U : 0U;
    };

    SECTION("also if it has more requests")
    {
        const first_token_estimate estimate = [&](const target_candidate& at) {
            return first_token_time(large_model, {unread_at(at), at.own, 1}, 1000);
        };
        CHECK(choose_target(list, 0, estimate) == 1U);
        CHECK(choose_target(list, 1, estimate) == 1U);
    }
    SECTION("the load decides where the time is not known")
    {
        const first_token_estimate unknown = [](const target_candidate&) { return std::nullopt; };
        CHECK(choose_target(list, 0, unknown) == 0U);
        CHECK(choose_target(list, 1) == 0U);
    }
}
