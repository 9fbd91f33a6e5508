#include "load/load_run.hpp"

#include "http/client.hpp"
#include "http/executor.hpp"
#include "model/token_stream.hpp"
#include "target/event_stream.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace rml::load {

namespace {

constexpr milliseconds address_timeout{2000};
constexpr milliseconds address_retry{500};
constexpr milliseconds flying_poll{20};
constexpr std::size_t entry_tries = 3;
constexpr std::size_t coroutine_stack = 128 * 1024;

void wait_until(time_point when, http::yield_context yield)
{
    boost::asio::steady_timer timer(http::executor_of(yield), when);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

std::string header_of(const http::response& answer, const char* name)
{
    return http::find_header(answer.headers, name).value_or("");
}

std::string prompt_of(const arrival& request)
{
    return render_prompt({{"user", request.content}});
}

} // namespace

/// A request to one entry on a connection of its own.
class entry_call
{
public:
    entry_call(boost::asio::io_context& owner, time_point until) : context(owner), deadline(until) {}

    /// Connects, writes the request and reads the head of the answer.
    result<http::response> open(const endpoint& entry, http::request message, http::yield_context yield)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(this->deadline - steady_clock::now());
        message.headers.push_back(
            {"x-rml-deadline-ms", std::to_string(std::max<std::int64_t>(left.count(), 1))});
        auto created = http::client_connection::create(this->context, entry, this->deadline, yield);
        if (failed(created)) {
            return error(created);
        }
        this->connection = value(std::move(created));
        this->sent = true;
        if (const auto written = this->connection->write_request(message, this->deadline, yield);
            failed(written)) {
            return error(written);
        }
        return this->connection->read_head(this->deadline, yield);
    }

    result<std::optional<std::string>> read_part(http::yield_context yield)
    {
        return this->connection->read_body_part(this->deadline, yield);
    }

    result<std::string> read_rest(http::yield_context yield)
    {
        std::string body;
        while (true) {
            auto part = this->read_part(yield);
            if (failed(part)) {
                return error(part);
            }
            if (!value(part)) {
                return body;
            }
            body += *value(part);
        }
    }

    bool was_sent() const { return this->sent; }

private:
    boost::asio::io_context& context;
    time_point deadline;
    std::unique_ptr<http::client_connection> connection;
    bool sent{false};
};

load_run::load_run(boost::asio::io_context& owner, run_options wanted, recorder& records)
    : context(owner), options(std::move(wanted)), results(records)
{
}

status load_run::run()
{
    boost::asio::spawn(
        this->context, [this](yield_context yield) { this->send_arrivals(yield); },
        boost::coroutines::attributes(coroutine_stack));
    this->context.run();
    return this->outcome;
}

void load_run::send_arrivals(yield_context yield)
{
    if (!this->update_addresses(yield)) {
        this->outcome = failure{failure_kind::unavailable, "no entry answers GET /v1/entries"};
        return;
    }
    boost::asio::spawn(this->context, [this](yield_context inner) { this->keep_addresses(inner); });
    const auto arrivals = create_schedule(this->options.schedule);
    const auto started = steady_clock::now();
    for (const auto& next : arrivals) {
        const auto intended = started + next.at;
        wait_until(intended, yield);
        this->start(next, intended);
    }
    while (this->flying > 0) {
        wait_until(steady_clock::now() + flying_poll, yield);
    }
    this->sending = false;
    this->check_service(yield);
    this->context.stop();
}

void load_run::start(const arrival& next, time_point intended)
{
    const bool is_call = next.kind == arrival_kind::call;
    if (this->flying >= this->options.in_flight) {
        this->results.record(next.at, is_call, verdict::not_sent);
        return;
    }
    const auto launch = [this](auto body) {
        ++this->flying;
        boost::asio::spawn(
            this->context,
            [this, body = std::move(body)](yield_context yield) {
                body(yield);
                --this->flying;
            },
            boost::coroutines::attributes(coroutine_stack));
    };
    if (!is_call) {
        launch([this, next, intended](yield_context yield) { this->generate(next, intended, yield); });
        return;
    }
    const auto key = this->options.key_prefix + "-" + std::to_string(next.number);
    for (int send = 0; send < (next.twice ? 2 : 1); ++send) {
        const auto entry = this->next_entry();
        launch([this, next, key, entry](yield_context yield) { this->call_once(next, key, entry, yield); });
    }
}

std::size_t load_run::next_entry()
{
    return this->turn++;
}

endpoint load_run::entry_at(std::size_t index) const
{
    return this->addresses[index % this->addresses.size()];
}

void load_run::note_error(int status, const std::string& body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    std::string kind = "without a kind";
    if (document.is_object() && document.contains("error") && document["error"].is_object()) {
        kind = document["error"].value("kind", kind);
    }
    this->results.record_refusal(status, kind);
}

void load_run::generate(const arrival& request, time_point intended, yield_context yield)
{
    const auto& schedule = this->options.schedule;
    const nlohmann::json body{{"model", schedule.pools[request.pool]},
                              {"messages", {{{"role", "user"}, {"content", request.content}}}},
                              {"max_tokens", request.tokens},
                              {"stream", request.stream}};
    const http::request message{"POST",
                                "/v1/chat/completions",
                                {{"authorization", "Bearer " + schedule.accounts[request.account].token},
                                 {"content-type", "application/json"}},
                                body.dump()};
    const auto deadline = intended + this->options.deadline;
    verdict end = verdict::no_connection;
    const auto first = this->next_entry();
    for (std::size_t tried = 0; tried < entry_tries && end == verdict::no_connection; ++tried) {
        entry_call call(this->context, deadline);
        if (tried > 0) {
            this->results.record_other_entry();
        }
        const auto head = call.open(this->entry_at(first + tried), message, yield);
        if (failed(head)) {
            end = check_failure(error(head), call.was_sent(), false);
            continue;
        }
        if (value(head).status == 200 && request.stream) {
            end = this->read_stream(call, request, intended, yield);
            continue;
        }
        const auto rest = call.read_rest(yield);
        if (failed(rest)) {
            end = check_failure(error(rest), true, false);
        } else if (value(head).status == 200) {
            end = check_completion(prompt_of(request), request.tokens, value(rest));
        } else {
            this->note_error(value(head).status, value(rest));
            end = check_refusal(header_of(value(head), "x-rml-outcome"));
        }
    }
    if (end == verdict::answered) {
        this->results.record_whole(steady_clock::now() - intended);
    }
    this->results.record(request.at, false, end);
}

verdict load_run::read_stream(entry_call& call, const arrival& request, time_point intended,
                              yield_context yield)
{
    target::event_reader events;
    std::string text;
    std::optional<time_point> last;
    while (true) {
        const auto part = call.read_part(yield);
        if (failed(part)) {
            return check_failure(error(part), true, false);
        }
        if (!value(part)) {
            return verdict::broken;
        }
        events.append(*value(part));
        while (true) {
            auto event = events.next();
            if (failed(event)) {
                return verdict::failed;
            }
            if (!value(event)) {
                break;
            }
            if (*value(event) == "[DONE]") {
                return check_text(prompt_of(request), request.tokens, text);
            }
            const auto document = nlohmann::json::parse(*value(event), nullptr, false);
            if (!document.is_object()) {
                return verdict::failed;
            }
            if (document.contains("error")) {
                return verdict::broken;
            }
            const auto content = document.value("/choices/0/delta/content"_json_pointer, std::string());
            if (content.empty()) {
                continue;
            }
            const auto now = steady_clock::now();
            if (last) {
                this->results.record_between_tokens(now - *last);
            } else {
                this->results.record_first_token(now - intended);
            }
            last = now;
            text += content;
        }
    }
}

void load_run::call_once(const arrival& request, const std::string& key, std::size_t entry,
                         yield_context yield)
{
    const auto& token = this->options.schedule.accounts[request.account].token;
    const http::request message{"POST",
                                "/services/" + this->options.call_path,
                                {{"authorization", "Bearer " + token}, {"idempotency-key", key}},
                                request.content};
    entry_call call(this->context, steady_clock::now() + this->options.deadline);
    verdict end = verdict::failed;
    const auto head = call.open(this->entry_at(entry), message, yield);
    if (failed(head)) {
        end = check_failure(error(head), call.was_sent(), true);
    } else if (const auto rest = call.read_rest(yield); failed(rest)) {
        end = check_failure(error(rest), true, true);
    } else if (value(head).status == 200) {
        end = check_call(key, request.content, value(rest));
    } else {
        this->note_error(value(head).status, value(rest));
        end = check_refusal(header_of(value(head), "x-rml-outcome"));
    }
    this->results.record_key(key, end);
    this->results.record(request.at, true, end);
}

bool load_run::update_addresses(yield_context yield)
{
    auto asked = this->addresses;
    asked.insert(asked.end(), this->options.entries.begin(), this->options.entries.end());
    for (const auto& entry : asked) {
        entry_call call(this->context, steady_clock::now() + address_timeout);
        const auto& token = this->options.schedule.accounts.front().token;
        const auto head =
            call.open(entry, {"GET", "/v1/entries", {{"authorization", "Bearer " + token}}, {}}, yield);
        if (failed(head) || value(head).status != 200) {
            continue;
        }
        const auto body = call.read_rest(yield);
        const auto document =
            succeeded(body) ? nlohmann::json::parse(value(body), nullptr, false) : nlohmann::json();
        if (!document.is_object() || !document.contains("entries") || !document["entries"].is_array()) {
            continue;
        }
        std::vector<endpoint> listed;
        for (const auto& text : document["entries"]) {
            if (auto parsed = parse_endpoint(text.is_string() ? text.get<std::string>() : "");
                succeeded(parsed)) {
                listed.push_back(value(parsed));
            }
        }
        if (!listed.empty()) {
            this->addresses = std::move(listed);
            this->lifetime = milliseconds(document.value("lifetime_ms", address_retry.count()));
            this->results.record_address_update();
            return true;
        }
    }
    return false;
}

void load_run::keep_addresses(yield_context yield)
{
    while (this->sending) {
        wait_until(steady_clock::now() + std::max(this->lifetime, address_retry), yield);
        // Without an answer the old addresses stay in use; the next try comes after a pause.
        if (!this->update_addresses(yield)) {
            this->lifetime = address_retry;
        }
    }
}

void load_run::check_service(yield_context yield)
{
    if (!this->options.service_stats) {
        return;
    }
    entry_call call(this->context, steady_clock::now() + address_timeout);
    const auto head = call.open(*this->options.service_stats, {"GET", "/stats", {}, {}}, yield);
    const auto body = succeeded(head) ? call.read_rest(yield) : result<std::string>(error(head));
    if (failed(body)) {
        this->outcome = failure{failure_kind::unavailable, "stats of the service: " + error(body).context};
        return;
    }
    const auto document = nlohmann::json::parse(value(body), nullptr, false);
    if (!document.is_object() || !document.contains("runs_of_key")) {
        this->outcome = failure{failure_kind::malformed, "stats of the service"};
        return;
    }
    this->results.update_once_only(check_keys(
        this->results.keys(), document["runs_of_key"].get<std::map<std::string, std::uint64_t>>()));
}

} // namespace rml::load
