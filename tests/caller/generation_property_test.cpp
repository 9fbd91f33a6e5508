#include "running_daemon.hpp"

#include <algorithm>
#include <rapidcheck.h>

using namespace rml;
using namespace rml::test;

namespace {

/// Response of an engine to its only generate request.
enum class behaviour
{
    whole,
    cut,             ///< the connection closes after `cut` bytes of the answer
    refused,         ///< refused without running
    wrong_request,   ///< the answer carries another request id
    wrong_group,     ///< the answer carries an earlier group epoch
    duplicate_token, ///< the first token is sent twice
    unreachable,
};

struct engine_plan
{
    behaviour action{behaviour::whole};
    std::size_t cut{0}; ///< bytes of the answer that are sent, modulo its length
};

std::ostream& operator<<(std::ostream& out, const engine_plan& plan)
{
    return out << "behaviour " << static_cast<int>(plan.action) << " cut " << plan.cut;
}

rc::Gen<engine_plan> any_plan()
{
    return rc::gen::build<engine_plan>(
        rc::gen::set(&engine_plan::action,
                     rc::gen::element(behaviour::whole, behaviour::cut, behaviour::cut, behaviour::refused,
                                      behaviour::wrong_request, behaviour::wrong_group,
                                      behaviour::duplicate_token, behaviour::unreachable)),
        rc::gen::set(&engine_plan::cut, rc::gen::inRange<std::size_t>(0, 1000)));
}

/// Tokens of another request, with the indexes that this request expects.
std::string tokens_of_another_request(const http::request& message)
{
    std::string out;
    for (auto i = nlohmann::json::parse(message.body).at("resume_tokens").size(); i < 4; ++i) {
        out += token_chunk(i, "foreign ");
    }
    return out;
}

/// Bytes of the answer that the plan describes.
std::string answer_of(const engine_plan& plan, const http::request& message, const std::string& group)
{
    const auto id = request_id_of(message);
    const auto tokens = correct_tokens(message, 4);
    switch (plan.action) {
    case behaviour::refused:
        return not_run_answer(message);
    case behaviour::wrong_request:
        return stream_head("another", group + "@7") + tokens_of_another_request(message) + done_chunk();
    case behaviour::wrong_group:
        return stream_head(id, group + "@6") + tokens_of_another_request(message) + done_chunk();
    case behaviour::duplicate_token:
        return stream_head(id, group + "@7") + tokens.substr(0, tokens.find("\n\n\r\n") + 4) + tokens +
               done_chunk();
    case behaviour::cut: {
        const auto all = stream_head(id, group + "@7") + tokens + done_chunk();
        return all.substr(0, plan.cut % all.size());
    }
    case behaviour::whole:
    case behaviour::unreachable:
        break;
    }
    return stream_head(id, group + "@7") + tokens + done_chunk();
}

void check_generation(const std::vector<engine_plan>& plans, bool stream, int retry_tokens)
{
    const closed_address closed;
    std::vector<std::unique_ptr<scripted_engine>> engines;
    running_daemon daemon;
    daemon.state.retry_tokens = retry_tokens;
    bool may_have_run = false;
    for (std::size_t i = 0; i < plans.size(); ++i) {
        const auto group = "g" + std::to_string(i + 1);
        const auto plan = plans[i];
        engines.push_back(std::make_unique<scripted_engine>(
            [plan, group](const http::request& message, raw_connection& connection) {
                connection.send(answer_of(plan, message, group));
                return plan.action != behaviour::cut;
            },
            group));
        daemon.add_group(*engines.back(), group);
        if (plan.action == behaviour::unreachable) {
            daemon.state.permits.back().engine = closed.address();
        }
    }
    const auto answer = daemon.generate(stream);
    for (std::size_t i = 0; i < plans.size(); ++i) {
        may_have_run = may_have_run || (engines[i]->generations > 0 && plans[i].action != behaviour::refused);
    }

    const std::string all = "t0 t1 t2 t3 ";
    if (answer.status == 200) {
        const auto content = content_of(answer);
        const bool complete = stream ? is_done(answer) : outcome_of(answer) == "completed";
        RC_ASSERT(all.substr(0, content.size()) == content);
        RC_ASSERT(complete == (content == all));
        RC_ASSERT(complete || answer.body.find("\"error\"") != std::string::npos);
    } else {
        RC_ASSERT(outcome_of(answer) == (may_have_run ? "unknown" : "not-run"));
    }
    RC_ASSERT(daemon.state.open_permits == 0);
    const auto sent = std::count_if(engines.begin(), engines.end(),
                                    [](const auto& engine) { return engine->generations > 0; });
    RC_ASSERT(sent <= 1 + retry_tokens);
    for (const auto& engine : engines) {
        RC_ASSERT(engine->generations <= 1);
    }
}

} // namespace

// Guards against tokens that are missing, duplicated or of another request, against a not-run outcome
// although an engine may have run the request, and against retries above the budget. Up to four groups fail
// in random ways.
TEST_CASE("a caller gets a complete answer or an error with the correct outcome", "[caller]")
{
    REQUIRE(rc::check("misbehaving groups", [] {
        const auto plans =
            *rc::gen::container<std::vector<engine_plan>>(*rc::gen::inRange<std::size_t>(1, 5), any_plan());
        check_generation(plans, *rc::gen::arbitrary<bool>(), *rc::gen::inRange(0, 5));
    }));
}
