#include "caller/generation.hpp"

#include "base/limits.hpp"
#include "base/log.hpp"
#include "caller/request_id.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace rml::caller {

namespace {

milliseconds between(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

/// Buffers the tokens for a resumption and, for a stream, relays each token to the caller.
class caller_sink final : public target::token_sink
{
public:
    caller_sink(const request_context& request, bool stream, request_metrics& metrics)
        : request(request), stream(stream), metrics(metrics)
    {
    }

    status on_token(const std::string& token) override
    {
        const auto now = steady_clock::now();
        this->measure(now);
        this->tokens.push_back(token);
        if (!this->stream) {
            return success();
        }
        if (!this->request.writer.started()) {
            if (auto started = this->start(); failed(started)) {
                return started;
            }
        }
        return this->request.writer.write(make_token_event(this->request.request_id, token));
    }

    bool closed() const override { return this->request.writer.disconnected(); }

    /// Sends the end of a stream, or the whole answer of a non-streamed request.
    status complete()
    {
        if (!this->stream) {
            std::string content;
            for (const auto& token : this->tokens) {
                content += token;
            }
            return this->request.writer.send(make_completion(this->request.request_id, content));
        }
        if (!this->request.writer.started()) {
            if (auto started = this->start(); failed(started)) {
                return started;
            }
        }
        if (auto written = this->request.writer.write(make_end_events(this->request.request_id));
            failed(written)) {
            return written;
        }
        return this->request.writer.finish();
    }

    /// Ends a started stream with an error event.
    void end_with_error(const refusal& refused)
    {
        if (succeeded(this->request.writer.write(make_error_event(refused)))) {
            this->request.writer.finish();
        }
    }

    const std::vector<std::string>& received() const { return this->tokens; }

    milliseconds first_token() const
    {
        return this->tokens.empty() ? milliseconds{0} : between(this->request.arrival, this->first);
    }

    milliseconds between_tokens() const
    {
        if (this->tokens.size() < 2) {
            return milliseconds{0};
        }
        return between(this->first, this->last) / static_cast<std::int64_t>(this->tokens.size() - 1);
    }

private:
    status start()
    {
        http::response head{200, {{"content-type", "text/event-stream"}, {"cache-control", "no-cache"}}, {}};
        // The head is sent before the outcome is known; [DONE] or the error event reports the outcome.
        add_outcome(head, outcome::unknown, this->request.request_id);
        return this->request.writer.start(head);
    }

    void measure(time_point now)
    {
        if (this->tokens.empty()) {
            this->first = now;
            this->metrics.first_token.record(
                std::chrono::duration_cast<microseconds>(now - this->request.arrival));
        } else {
            this->metrics.between_tokens.record(std::chrono::duration_cast<microseconds>(now - this->last));
        }
        this->last = now;
    }

    const request_context& request;
    bool stream;
    request_metrics& metrics;
    std::vector<std::string> tokens;
    time_point first;
    time_point last;
};

permit_end permit_end_of(target::generate_end end)
{
    switch (end) {
    case target::generate_end::completed:
        return permit_end::completed;
    case target::generate_end::not_sent:
        return permit_end::not_sent;
    case target::generate_end::refused:
        return permit_end::refused_not_run;
    case target::generate_end::failed:
        return permit_end::target_lost;
    case target::generate_end::timed_out:
        return permit_end::timeout;
    case target::generate_end::sink_closed:
        break;
    }
    return permit_end::caller_disconnected;
}

/// HTTP status of the answer after a failed last attempt; 0: derived from the kind of the failure.
int status_after(const target::generate_report& report)
{
    switch (report.end) {
    case target::generate_end::failed:
        return 502;
    case target::generate_end::not_sent:
        return report.reason.kind == failure_kind::timeout ? 504 : 503;
    default:
        return 0;
    }
}

/// HTTP status of the answer when no group was chosen. A failure kind that comes from a skipped group, such
/// as one in a drained failure domain, must not be reported as missing rights of the account.
int status_without_group(failure_kind kind)
{
    switch (kind) {
    case failure_kind::not_found:
    case failure_kind::rate_limited:
    case failure_kind::timeout:
        return status_of(kind);
    default:
        return 503;
    }
}

/// One generation request with all its attempts.
class generation
{
public:
    generation(serving_state& state, target::engine_client& engines, request_metrics& metrics,
               const request_context& request, const chat_request& chat)
        : state(state), engines(engines), metrics(metrics), request(request), chat(chat),
          sink(request, chat.stream, metrics)
    {
    }

    void run()
    {
        auto admitted = this->state.acquire_admission(
            {this->request.account->name, this->chat.pool, {}, this->chat.priority, this->request.deadline},
            this->request.yield);
        if (const auto* refused = std::get_if<admission_refusal>(&admitted)) {
            this->incomplete_reason = refusal{refused->reason, outcome::not_run, refused->retry_after, 0};
        } else {
            this->try_groups();
        }
        this->answer();
    }

private:
    void try_groups()
    {
        for (std::uint32_t count = 0; count < limits::generation_attempts; ++count) {
            if (!this->may_retry() || !this->attempt()) {
                return;
            }
            if (steady_clock::now() >= this->request.deadline) {
                this->incomplete_reason = refusal{{failure_kind::timeout, "deadline passed"}, {}, {}, 0};
                return;
            }
        }
    }

    /// True when a further attempt is permitted. Consumes a retry token if an earlier attempt was sent.
    bool may_retry()
    {
        if (!this->sent) {
            return true;
        }
        if (!this->state.take_retry_token()) {
            this->metrics.retry_denied.add();
            return false;
        }
        this->metrics.retries.add();
        return true;
    }

    /// Makes one attempt. Returns true when another attempt may follow.
    bool attempt()
    {
        auto acquired = this->state.acquire_permit(this->make_dispatch_request(), this->request.yield);
        if (failed(acquired)) {
            // After earlier attempts the answer reports the failure of the last one, not the lack of a group.
            if (this->tried.empty()) {
                this->incomplete_reason =
                    refusal{error(acquired), {}, {}, status_without_group(error(acquired).kind)};
            }
            return false;
        }
        const auto& permit = value(acquired);
        const auto report = this->generate(permit);
        this->state.finish_permit(
            permit, {permit_end_of(report.end), report.first_token, report.tokens, report.total});
        this->total_outcome.on_attempt(report.outcome);
        this->tried.push_back(permit.group);
        this->sent = this->sent || report.end != target::generate_end::not_sent;
        this->incomplete_reason.reset();
        this->caller_disconnected = report.end == target::generate_end::sink_closed;
        if (report.end == target::generate_end::completed || this->caller_disconnected) {
            return false;
        }
        this->log_failure(permit, report);
        if (this->sink.received().size() >= this->chat.max_tokens) {
            // The attempt failed after the last token and before the end of the answer.
            this->all_tokens_received = true;
            return false;
        }
        this->incomplete_reason = refusal{report.reason, {}, {}, status_after(report)};
        return true;
    }

    dispatch_request make_dispatch_request() const
    {
        return {this->request.request_id,
                this->request.account->name,
                this->chat.pool,
                prompt_prefix(this->chat.prompt),
                this->request.fingerprint,
                this->tried,
                this->sent,
                this->request.deadline};
    }

    target::generate_report generate(const dispatch_permit& permit)
    {
        if (!this->sink.received().empty()) {
            this->metrics.resumes.add();
        }
        // Callers may reuse request ids; the id sent to the engine must be unique.
        const target::generate_request call{create_random_id(), this->chat.prompt, this->chat.max_tokens,
                                            this->chat.priority, this->sink.received()};
        const target::engine_target target{permit.engine, permit.group, permit.epoch, permit.incarnation};
        return this->engines.generate(target, call, this->sink, this->request.deadline, this->request.yield);
    }

    void log_failure(const dispatch_permit& permit, const target::generate_report& report) const
    {
        log(log_level::warning, "generation attempt failed",
            {{"request", this->request.request_id},
             {"account", this->request.account->name.str()},
             {"group", permit.group.str()},
             {"epoch", static_cast<std::int64_t>(permit.epoch)},
             {"tokens", static_cast<std::int64_t>(report.tokens)},
             kind_field(report.reason),
             context_field(report.reason)});
    }

    void answer()
    {
        auto result = this->all_tokens_received ? outcome::completed : this->total_outcome.current();
        if (this->caller_disconnected) {
            this->request.writer.abort();
        } else if (this->incomplete_reason) {
            this->incomplete_reason->result = result;
            if (this->request.writer.started()) {
                this->sink.end_with_error(*this->incomplete_reason);
            } else {
                this->request.writer.send(make_error(*this->incomplete_reason, this->request.request_id));
            }
        } else {
            this->caller_disconnected = failed(this->sink.complete());
        }
        if (this->caller_disconnected) {
            this->metrics.callers_disconnected.add();
        }
        this->metrics.count(result);
        this->state.record({this->request.account->name,
                            this->chat.pool,
                            {},
                            result,
                            this->caller_disconnected,
                            this->sink.first_token(),
                            this->sink.between_tokens(),
                            between(this->request.arrival, steady_clock::now())});
    }

    serving_state& state;
    target::engine_client& engines;
    request_metrics& metrics;
    const request_context& request;
    const chat_request& chat;
    caller_sink sink;
    request_outcome total_outcome;
    std::vector<group_id> tried;
    std::optional<refusal> incomplete_reason; ///< why the answer is not complete
    bool sent{false};
    bool all_tokens_received{false};
    bool caller_disconnected{false};
};

} // namespace

void generation_relay::run(const request_context& request, const chat_request& chat)
{
    generation(this->state, this->engines, this->metrics, request, chat).run();
}

} // namespace rml::caller
