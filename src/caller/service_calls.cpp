#include "caller/service_calls.hpp"

#include "base/limits.hpp"
#include "base/log.hpp"
#include "caller/request_id.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>
#include <variant>

namespace rml::caller {

namespace {

constexpr std::string_view services_prefix = "/services/";

milliseconds since(time_point start)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
}

bool plain_segment(std::string_view segment)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._~-";
    return !segment.empty() && segment != "." && segment != ".." &&
           segment.find_first_not_of(allowed) == std::string_view::npos;
}

void pause(milliseconds time, yield_context yield)
{
    if (time.count() > 0) {
        boost::system::error_code ignored;
        boost::asio::steady_timer timer(http::executor_of(yield), time);
        timer.async_wait(yield[ignored]);
    }
}

claim_write_reply write_claim(claim_store& store, const std::string& key, const claim_write& write,
                              time_point deadline, yield_context yield)
{
    return write.expect == 0 ? store.create(key, write.document, deadline, yield)
                             : store.update(key, write.document, write.expect, deadline, yield);
}

/// Executes the reads and writes of a settlement until it is finished.
void settle(claim_store& store, const std::string& key, claim_settlement& settlement,
            claim_settlement::step next, yield_context yield)
{
    while (!std::holds_alternative<claim_settlement::finished>(next)) {
        if (const auto* read = std::get_if<claim_read>(&next)) {
            pause(read->wait, yield);
            next =
                settlement.on_read(store.read(key, steady_clock::now() + limits::store_call_timeout, yield));
            continue;
        }
        const auto write = std::get<claim_write>(next);
        next = settlement.on_write(
            write_claim(store, key, write, steady_clock::now() + limits::store_call_timeout, yield));
    }
    if (!std::get<claim_settlement::finished>(next).settled) {
        log(log_level::warning,
            "failed to write the final state of a claim; the claim stays until it expires", {{"key", key}});
    }
}

/// One call of a service with all its attempts.
class service_request
{
public:
    service_request(boost::asio::io_context& context, serving_state& state, target::service_client& services,
                    request_metrics& metrics, const request_context& request,
                    const office_service_object& service, const service_path& path, std::size_t first_address)
        : context(context), state(state), services(services), metrics(metrics), request(request),
          service(service), path(path), first_address(first_address),
          deadline(std::min(request.deadline, request.arrival + service.timeout))
    {
    }

    void run()
    {
        auto admitted = this->state.acquire_admission(
            {this->request.account->name, {}, this->path.service, 0, this->deadline}, this->request.yield);
        if (const auto* refused = std::get_if<admission_refusal>(&admitted)) {
            this->refuse({refused->reason, outcome::not_run, refused->retry_after, 0});
        } else if (is_once_only(this->service, this->path.path)) {
            this->run_once();
        } else {
            this->run_repeatable();
        }
    }

private:
    void run_repeatable()
    {
        const auto count = this->service.addresses.size();
        target::service_report report;
        report.reason = {failure_kind::unavailable, "service has no address"};
        bool sent = false;
        for (std::size_t i = 0; i < count && steady_clock::now() < this->deadline; ++i) {
            if (sent) {
                if (!this->state.take_retry_token()) {
                    this->metrics.retry_denied.add();
                    break;
                }
                this->metrics.retries.add();
            }
            report = this->call(i, {});
            if (report.end == target::service_end::answered) {
                return this->answer(report.answer);
            }
            sent = sent || report.end != target::service_end::not_sent;
        }
        this->refuse_after(report);
    }

    /// Handles a once-only call: claims the key, sends the request and stores the answer.
    void run_once()
    {
        const auto key = http::find_header(this->request.message.headers, "idempotency-key");
        if (!key || key->empty() || key->size() > limits::idempotency_key_bytes) {
            return this->refuse(
                {{failure_kind::malformed, "Idempotency-Key required, up to 256 bytes"}, {}, {}, 0});
        }
        this->store_key = claim_key(this->request.account->name, *key);
        claim_attempt claim(create_random_id(),
                            claim_body_hash(this->request.message.method,
                                            this->path.service.str() + this->path.target,
                                            this->request.message.body),
                            this->deadline);
        if (this->acquire_claim(claim)) {
            this->send_claimed(claim, *key);
        }
    }

    /// True when the claim is held and the request may be sent; otherwise the answer to the caller was sent.
    bool acquire_claim(claim_attempt& claim)
    {
        auto& store = this->state.claims();
        auto step = claim.start(steady_clock::now());
        while (true) {
            if (const auto* write = std::get_if<claim_write>(&step)) {
                const auto reply =
                    write_claim(store, this->store_key, *write, this->deadline, this->request.yield);
                step = claim.on_write(reply, steady_clock::now());
            } else if (const auto* read = std::get_if<claim_read>(&step)) {
                pause(read->wait, this->request.yield);
                const auto reply = store.read(this->store_key, this->deadline, this->request.yield);
                step = claim.on_read(reply, steady_clock::now());
            } else {
                return this->on_claim(claim, step);
            }
        }
    }

    bool on_claim(const claim_attempt& claim, const claim_step& step)
    {
        if (std::holds_alternative<claim_send>(step)) {
            return true;
        }
        if (const auto* refused = std::get_if<claim_refuse>(&step)) {
            if (refused->release_claim) {
                this->settle_in_background(claim.release());
            }
            this->refuse({refused->reason, outcome::not_run, {}, 0});
        } else if (const auto* unknown = std::get_if<claim_unknown>(&step)) {
            if (unknown->release_claim) {
                this->settle_in_background(claim.release());
            }
            this->refuse({unknown->reason, outcome::unknown, {}, 0});
        } else if (const auto* replay = std::get_if<claim_replay>(&step)) {
            this->replay(replay->answer);
        }
        return false;
    }

    void send_claimed(const claim_attempt& claim, const std::string& key)
    {
        target::service_report report;
        report.reason = {failure_kind::unavailable, "service has no address"};
        for (std::size_t i = 0; i < this->service.addresses.size(); ++i) {
            if (const auto step = claim.before_send(steady_clock::now());
                !std::holds_alternative<claim_send>(step)) {
                report.reason = std::get<claim_refuse>(step).reason;
                break;
            }
            report = this->call(i, key);
            if (report.end != target::service_end::not_sent) {
                break;
            }
        }
        if (report.end == target::service_end::answered) {
            this->store_answer(claim, report.answer);
            this->answer(report.answer);
            return;
        }
        // The settlement starts before the refusal is sent: a daemon that is stopped in between must still
        // count the settlement as open and wait for it.
        if (this->total_outcome.current() == outcome::not_run) {
            this->settle_in_background(claim.release());
        }
        this->refuse_after(report);
    }

    /// Stores the answer before it is sent to the caller, so that a repeated request finds it. When the write
    /// fails, settlement continues in the background and the answer is sent without further delay.
    void store_answer(const claim_attempt& claim, const http::response& answer)
    {
        const auto type = http::find_header(answer.headers, "content-type").value_or("");
        const bool kept = answer.body.size() <= limits::claim_answer_bytes;
        auto settlement = claim.store_answer({answer.status, type, kept ? answer.body : std::string{}, kept});
        const auto write = std::get<claim_write>(settlement.start());
        auto next = settlement.on_write(write_claim(this->state.claims(), this->store_key, write,
                                                    steady_clock::now() + limits::store_call_timeout,
                                                    this->request.yield));
        if (!std::holds_alternative<claim_settlement::finished>(next)) {
            this->settle_in_background(std::move(settlement), std::move(next));
        }
    }

    void settle_in_background(claim_settlement settlement)
    {
        auto first = settlement.start();
        this->settle_in_background(std::move(settlement), std::move(first));
    }

    void settle_in_background(claim_settlement settlement, claim_settlement::step next)
    {
        this->metrics.settling.add(1);
        boost::asio::spawn(this->context, [&store = this->state.claims(), &settling = this->metrics.settling,
                                           name = this->store_key, settlement = std::move(settlement),
                                           next = std::move(next)](yield_context yield) mutable {
            settle(store, name, settlement, std::move(next), yield);
            settling.add(-1);
        });
    }

    target::service_report call(std::size_t number, const std::string& key)
    {
        const auto& addresses = this->service.addresses;
        const auto& address = addresses[(this->first_address + number) % addresses.size()];
        const auto& message = this->request.message;
        const target::service_call call{create_random_id(),
                                        message.method,
                                        this->path.target,
                                        http::find_header(message.headers, "content-type").value_or(""),
                                        key,
                                        message.body,
                                        !key.empty()};
        auto report = this->services.call(address, call, this->deadline, this->request.yield);
        this->total_outcome.on_attempt(report.outcome);
        this->metrics.service_time.record(report.total);
        if (!key.empty() && report.end != target::service_end::not_sent) {
            this->metrics.claims.add();
        }
        if (report.end != target::service_end::answered) {
            log(log_level::warning, "service call failed",
                {{"request", this->request.request_id},
                 {"account", this->request.account->name.str()},
                 {"service", this->path.service.str()},
                 kind_field(report.reason),
                 context_field(report.reason)});
        }
        return report;
    }

    void answer(const http::response& from)
    {
        http::response out{from.status, {}, from.body};
        if (const auto type = http::find_header(from.headers, "content-type")) {
            out.headers.push_back({"content-type", *type});
        }
        this->send(std::move(out));
    }

    void replay(const claim_answer& stored)
    {
        this->metrics.replays.add();
        if (!stored.body_kept) {
            return this->refuse(
                {{failure_kind::too_large, "completed earlier; the answer was too large to keep"},
                 outcome::completed,
                 {},
                 409});
        }
        http::response out{stored.status, {}, stored.body};
        if (!stored.content_type.empty()) {
            out.headers.push_back({"content-type", stored.content_type});
        }
        this->send(std::move(out));
    }

    void send(http::response answer)
    {
        add_outcome(answer, outcome::completed, this->request.request_id);
        this->metrics.count(outcome::completed);
        const bool caller_disconnected = failed(this->request.writer.send(answer));
        this->record(outcome::completed, caller_disconnected);
    }

    void refuse_after(const target::service_report& report)
    {
        int status = 0;
        if (report.end == target::service_end::failed) {
            status = 502;
        } else if (report.end == target::service_end::not_sent &&
                   report.reason.kind != failure_kind::timeout) {
            status = 503;
        }
        this->refuse({report.reason, this->total_outcome.current(), {}, status});
    }

    void refuse(const refusal& refused)
    {
        send_error(this->request, this->metrics, refused);
        this->record(refused.result, false);
    }

    void record(outcome result, bool caller_disconnected)
    {
        this->state.record({this->request.account->name,
                            {},
                            this->path.service,
                            result,
                            caller_disconnected,
                            milliseconds{0},
                            milliseconds{0},
                            since(this->request.arrival)});
    }

    boost::asio::io_context& context;
    serving_state& state;
    target::service_client& services;
    request_metrics& metrics;
    const request_context& request;
    const office_service_object& service;
    const service_path& path;
    std::size_t first_address;
    time_point deadline;
    std::string store_key;
    request_outcome total_outcome;
};

} // namespace

result<service_path> parse_service_path(std::string_view target)
{
    const failure malformed{failure_kind::malformed, "/services/<service>/<path> of plain segments expected"};
    auto path = http::path_of(target);
    if (path.substr(0, services_prefix.size()) != services_prefix) {
        return malformed;
    }
    path.remove_prefix(services_prefix.size());
    const auto slash = path.find('/');
    if (slash == std::string_view::npos || !plain_segment(path.substr(0, slash))) {
        return malformed;
    }
    service_path out;
    out.service = service_id(std::string(path.substr(0, slash)));
    out.path = std::string(path.substr(slash));
    auto rest = path.substr(slash);
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const auto end = rest.find('/');
        if (!plain_segment(rest.substr(0, end))) {
            return malformed;
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end);
    }
    out.target = out.path + std::string(target.substr(http::path_of(target).size()));
    return out;
}

bool is_once_only(const office_service_object& service, const std::string& path)
{
    return std::any_of(
        service.once_only_paths.begin(), service.once_only_paths.end(), [&](const std::string& listed) {
            return listed == path || (!listed.empty() && listed.front() != '/' && "/" + listed == path);
        });
}

void service_relay::run(const request_context& request, const office_service_object& service,
                        const service_path& path)
{
    service_request(this->context, this->state, this->services, this->metrics, request, service, path,
                    this->next_address++)
        .run();
}

} // namespace rml::caller
