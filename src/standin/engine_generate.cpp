#include "http/executor.hpp"
#include "model/token_stream.hpp"
#include "standin/engine_node.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rml::standin::detail {

namespace {

constexpr std::size_t most_tokens = 100000;
constexpr std::size_t garbage_bytes = 64;

http::response not_run(int status, const char* reason)
{
    auto answer = http::json_response(status, nlohmann::json{{"error", reason}}.dump());
    answer.headers.push_back({"x-not-run", "true"});
    return answer;
}

std::string data_event(const std::string& content)
{
    return "data: " + content + "\n\n";
}

std::string token_event(const std::string& prompt, std::size_t index)
{
    return data_event(nlohmann::json{{"index", index}, {"token", token_at(prompt, index)}}.dump());
}

} // namespace

std::optional<http::response> engine_node::refusal()
{
    const char* reason = this->group.empty()                                      ? "not assigned"
                         : this->rank != 0                                        ? "not rank 0"
                         : this->leaving                                          ? "leaving"
                         : !this->loaded                                          ? "loading"
                         : this->faults.member_missing                            ? "member missing"
                         : this->options.member_check && !this->members_present() ? "member missing"
                                                                                  : nullptr;
    if (reason != nullptr) {
        return not_run(503, reason);
    }
    if (this->queued.size() >= this->options.queue && this->running.size() >= this->options.batch) {
        return not_run(429, "queue full");
    }
    return std::nullopt;
}

result<engine_node::run_pointer> engine_node::read_run(const http::request& message, yield_context yield)
{
    try {
        const auto body = nlohmann::json::parse(message.body);
        const auto run = std::make_shared<engine_run>(http::executor_of(yield));
        run->request_id = http::find_header(message.headers, "x-request-id").value_or("");
        run->prompt = body.at("prompt").get<std::string>();
        run->wanted = body.at("max_tokens").get<std::size_t>();
        run->priority = body.value("priority", std::int64_t{0});
        const auto resume = body.value("resume_tokens", std::vector<std::string>());
        for (std::size_t index = 0; index < resume.size(); ++index) {
            this->counters.wrong_resume_tokens += resume[index] == token_at(run->prompt, index) ? 0 : 1;
        }
        run->first = resume.size();
        run->available = run->first;
        if (run->wanted == 0 || run->wanted > most_tokens) {
            return failure{failure_kind::malformed, "max_tokens"};
        }
        if (const auto left = number_or(http::find_header(message.headers, "x-rml-deadline-ms"), 0);
            left > 0) {
            run->deadline = steady_clock::now() + milliseconds(left);
        }
        return run;
    } catch (const nlohmann::json::exception& e) {
        return failure{failure_kind::malformed, e.what()};
    }
}

void engine_node::generate(const http::request& message, http::response_writer& writer, yield_context yield)
{
    ++this->counters.received;
    const auto read = this->read_run(message, yield);
    if (failed(read)) {
        writer.send(not_run(400, "malformed request"));
        return;
    }
    const auto& run = value(read);
    if (auto refused = this->refusal()) {
        ++this->counters.refused;
        refused->headers.push_back({"x-request-id", run->request_id});
        writer.send(*refused);
        return;
    }
    if (run->available >= run->wanted) {
        run->phase = run_phase::finished;
        run->group = this->group.str() + "@" + std::to_string(this->epoch);
    } else {
        this->admit(run);
    }
    this->relay(run, writer, yield);
    // A caller that has gone leaves its request behind.
    this->end_run(*run, run->phase);
    this->promote();
    this->note_load();
}

void engine_node::wait_for(engine_run& run, yield_context yield)
{
    run.wake.expires_at(run.deadline);
    boost::system::error_code ignored;
    run.wake.async_wait(yield[ignored]);
    const bool alive = run.phase == run_phase::queued || run.phase == run_phase::running;
    if (alive && run.deadline <= steady_clock::now()) {
        this->end_run(run, run_phase::expired);
    }
}

bool engine_node::send_tokens(const engine_run& run, std::size_t& sent, const std::string& fault,
                              http::response_writer& writer)
{
    const auto middle = run.first + (run.wanted - run.first) / 2;
    while (sent < run.available) {
        const auto index = sent++;
        auto event = token_event(run.answer_prompt, index);
        if (index == middle) {
            if (fault == "truncated") {
                writer.abort();
                return false;
            }
            if (fault == "ended_early") {
                writer.finish();
                return false;
            }
            if (fault == "garbage") {
                event = "data: {\"index\":" + std::string(garbage_bytes, '\xfe') + "\n\n";
            } else if (fault == "skipped") {
                continue;
            }
        }
        if (fault == "doubled") {
            event += event;
        }
        if (failed(writer.write(event))) {
            return false;
        }
    }
    return true;
}

void engine_node::relay(const run_pointer& run, http::response_writer& writer, yield_context yield)
{
    std::string fault;
    if (!this->faults.answer.empty() && this->faults.answers.strike()) {
        fault = this->faults.answer;
        ++this->counters.faulty_answers;
    }
    while (run->phase == run_phase::queued) {
        this->wait_for(*run, yield);
    }
    if (run->phase == run_phase::lost) {
        writer.abort();
        return;
    }
    if (run->phase == run_phase::cancelled || run->phase == run_phase::expired) {
        writer.send(not_run(503, run->phase == run_phase::cancelled ? "cancelled" : "deadline"));
        return;
    }
    if (fault == "late") {
        sleep_for(this->faults.answer_delay, yield);
    }
    auto echoed = run->request_id;
    run->answer_prompt = run->prompt;
    if (fault == "crossed") {
        const bool same = this->last_request_id == run->request_id;
        echoed = same ? "another-request" : this->last_request_id;
        run->answer_prompt = same ? "another prompt" : this->last_prompt;
    }
    const auto started = writer.start({200,
                                       {{"content-type", "text/event-stream"},
                                        {"x-request-id", echoed},
                                        {"x-group", run->group},
                                        {"x-incarnation", std::to_string(this->incarnation)}},
                                       {}});
    std::size_t sent = run->first;
    while (succeeded(started)) {
        if (run->phase == run_phase::lost) {
            writer.abort();
            return;
        }
        if (!this->send_tokens(*run, sent, fault, writer)) {
            return;
        }
        if (run->phase != run_phase::running || sent < run->available) {
            if (sent >= run->available) {
                break;
            }
            continue;
        }
        this->wait_for(*run, yield);
    }
    if (run->phase == run_phase::finished) {
        writer.write(data_event("[DONE]"));
        this->last_prompt = run->prompt;
        this->last_request_id = run->request_id;
    } else if (run->phase == run_phase::cancelled || run->phase == run_phase::expired) {
        writer.write(data_event(R"({"error":"not completed"})"));
    } else {
        return;
    }
    writer.finish();
}

http::response engine_node::cancel(std::string_view request_id)
{
    std::vector<run_pointer> found;
    for (const auto* list : {&this->queued, &this->running}) {
        std::copy_if(list->begin(), list->end(), std::back_inserter(found),
                     [&](const run_pointer& run) { return run->request_id == request_id; });
    }
    for (const auto& run : found) {
        ++this->counters.cancelled;
        this->end_run(*run, run_phase::cancelled);
    }
    this->promote();
    this->note_load();
    return http::json_response(found.empty() ? 404 : 200, "{}");
}

} // namespace rml::standin::detail
