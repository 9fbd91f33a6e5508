#include "gateway/forwarding_site.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using namespace rml::test;

namespace {

struct route_case
{
    std::string path;
    bool idempotent{false};
};

/// A status of a target, and whether its answer is marked as one to a request that did not run.
struct answer_case
{
    int status{0};
    bool marked{false};

    /// The target may have run the request: only the mark and 421 state that it has not.
    bool may_have_run() const { return !this->marked && this->status != 421; }
    bool promises() const { return promise_of(this->status); }
    static bool promise_of(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }
};

const std::vector<route_case> routes{
    {"/orders/1", false}, {"/streams/1", false}, {"/stock/1", true}, {"/resumable/1", true}};

std::vector<answer_case> all_answers()
{
    std::vector<answer_case> out;
    for (const auto status : {400, 408, 409, 421, 429, 500, 502, 503, 504}) {
        out.push_back({status, false});
        out.push_back({status, true});
    }
    return out;
}

answering_target target_with(const answer_case& answer)
{
    return {std::to_string(answer.status) + " Failed",
            std::string("x-signature: s\r\nRetry-After: 0.2\r\n") +
                (answer.marked ? "x-not-executed: 1\r\n" : ""),
            "answer of the target"};
}

/// What the caller may conclude from the answer that it got.
void check_conclusion(const route_case& route, const answer_case& answer, const http::response& got)
{
    const auto signature = http::find_header(got.headers, "x-signature");
    if (!answer.may_have_run()) {
        CHECK(got.status == 503);
        CHECK(!signature);
        CHECK(http::find_header(got.headers, "Retry-After"));
    } else if (answer.promises() && !route.idempotent) {
        CHECK(got.status == 502);
        CHECK(!signature);
        CHECK(!http::find_header(got.headers, "Retry-After"));
        CHECK(got.body != "answer of the target");
    } else {
        CHECK(got.status == answer.status);
        CHECK(signature == "s");
        CHECK(got.body == "answer of the target");
    }
}

} // namespace

TEST_CASE("a status that promises that a request has not run reaches its caller only if that is known",
          "[gateway][answer_promise]")
{
    // Guards against a 503 of a target that has run an order: its caller would order again.
    for (const auto& route : routes) {
        for (const auto& answer : all_answers()) {
            CAPTURE(route.path, answer.status, answer.marked);
            SECTION("the only attempt: " + route.path + " " + std::to_string(answer.status) +
                    (answer.marked ? " marked" : ""))
            {
                auto target = target_with(answer);
                forwarding_site site;
                site.add_target("only", target.address());
                check_conclusion(route, answer, site.send(route.path, "A").answer);
                CHECK(target.requests() == 1);
            }
            SECTION("after a target that refused: " + route.path + " " + std::to_string(answer.status) +
                    (answer.marked ? " marked" : ""))
            {
                auto refusing = target_with({503, true});
                auto target = target_with(answer);
                forwarding_site site;
                site.add_target("refusing", refusing.address());
                site.add_target("other", target.address());
                site.make_last_choice("other");
                check_conclusion(route, answer, site.send(route.path, "A").answer);
                CHECK(refusing.requests() == 1);
                CHECK(target.requests() == 1);
            }
        }
    }
}

TEST_CASE("a request that may run twice goes to another target after any failure of the first",
          "[gateway][answer_promise]")
{
    // Guards against statuses below 500 that are taken for the answer although the target has only failed.
    const auto status = GENERATE(408, 429, 500, 503);
    CAPTURE(status);
    auto failing = target_with({status, false});
    auto sound = sound_target();
    forwarding_site site;
    site.add_target("failing", failing.address());
    site.add_target("other", sound.address());
    site.make_last_choice("other");
    CHECK(site.send("/stock/1", "A").answer.status == 200);
    CHECK(failing.requests() == 1);
    CHECK(sound.requests() == 1);
}

TEST_CASE("a success that is marked as not executed is no success", "[gateway][answer_promise]")
{
    // Guards against a confirmed order that nobody has carried out.
    auto contradicting = target_with({200, true});
    auto sound = sound_target();
    forwarding_site site;
    site.add_target("contradicting", contradicting.address());
    site.add_target("other", sound.address());
    site.make_last_choice("other");
    SECTION("a request that must run once may have run: it is not repeated")
    {
        CHECK(site.send("/orders/1", "A").answer.status == 502);
        CHECK(sound.requests() == 0);
    }
    SECTION("a request that may run twice is repeated")
    {
        const auto& caller = site.send("/stock/1", "A");
        CHECK(caller.answer.status == 200);
        CHECK(caller.answer.body == "body");
    }
}

TEST_CASE("a target that fails does not answer in place of one that is only silent",
          "[gateway][answer_promise]")
{
    // Guards against a 429 of the second target that ends the request while the first one still works on it.
    raw_server silent([](const http::request& message, raw_connection& connection) {
        std::this_thread::sleep_for(milliseconds(2300)); // the stall limit of plain services is 2 s
        connection.send(real_answer(run_record::id_of(message)));
        return true;
    });
    auto failing = target_with({429, false});
    forwarding_site site;
    site.ticks = true;
    site.add_target("silent", silent.address());
    site.add_target("failing", failing.address());
    site.make_last_choice("failing");
    const auto& got = site.send("/stock/1", "A");
    CHECK(got.answer.status == 200);
    CHECK(got.answer.body == "answer to A");
    CHECK(failing.requests() == 1);
}
