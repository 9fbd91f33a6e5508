#include "standin/engine_node.hpp"

#include "http/client.hpp"

#include <nlohmann/json.hpp>

namespace rml::standin::detail {

namespace {

constexpr std::string_view request_path = "/v1/requests/";
constexpr std::string_view kv_path = "/kv/";
constexpr milliseconds pause_poll{20};
constexpr milliseconds weight_call_timeout{60000};
constexpr milliseconds weight_retry{200};

bool starts_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

std::string kv_content(const std::string& prefix, std::size_t bytes)
{
    auto content = "kv " + prefix + " ";
    content.resize(std::max(bytes, content.size()), '.');
    return content;
}

} // namespace

engine_node::engine_node(boost::asio::io_context& owner, engine_options wanted,
                         std::shared_ptr<engine_registry> known)
    : context(owner), options(std::move(wanted)), registry(std::move(known)),
      incarnation(this->options.incarnation), step_timer(owner),
      cache(this->options.cache_entries, this->options.cache_event_gap)
{
    (*this->registry)[this->options.instance] = this;
}

status engine_node::listen(const endpoint& address)
{
    auto created = http::server::create(this->context, address, *this);
    if (failed(created)) {
        return error(created);
    }
    this->server = value(std::move(created));
    return success();
}

endpoint engine_node::local() const
{
    return this->server->local();
}

void engine_node::stop()
{
    this->server->stop();
}

void engine_node::detach()
{
    this->registry->erase(this->options.instance);
    this->step_timer.cancel();
    this->server.reset();
}

void engine_node::handle(const http::request& message, http::response_writer& writer, yield_context yield)
{
    const auto self = this->shared_from_this();
    const auto path = http::path_of(message.target);
    if (path == "/faults" || path == "/stats") {
        writer.send(this->control(message, path));
        return;
    }
    while (this->faults.paused && !this->faults.down) {
        sleep_for(pause_poll, yield);
    }
    if (this->faults.down || steady_clock::now() < this->down_until) {
        writer.abort();
        return;
    }
    if (path == "/v1/generate" && message.method == "POST") {
        this->generate(message, writer, yield);
    } else if (path == "/status") {
        writer.send(this->read_status());
    } else if (path == "/assign" && message.method == "POST") {
        const auto answer = this->assign(message, yield);
        if (this->faults.lose_order_replies.strike()) {
            writer.abort();
            return;
        }
        writer.send(answer);
    } else if (starts_with(path, request_path) && message.method == "DELETE") {
        writer.send(this->cancel(path.substr(request_path.size())));
    } else if (path == "/cache-events") {
        writer.send(this->read_cache_events(message));
    } else if (starts_with(path, kv_path)) {
        writer.send(this->exchange_kv(message, path));
    } else {
        writer.send(http::json_response(404, "{}"));
    }
}

http::response engine_node::read_status()
{
    if (this->faults.garbled_status.strike()) {
        return http::json_response(200, "{\"instance\":");
    }
    this->note_load();
    const auto& load = this->load_samples.front();
    engine_status report;
    report.instance = this->options.instance;
    report.incarnation = this->incarnation;
    report.group = this->group;
    report.group_epoch = this->epoch;
    report.rank = this->rank;
    report.model = this->model;
    report.version = this->version;
    report.loaded = this->loaded;
    report.leaving = this->leaving;
    report.running = load.running;
    report.queued = load.queued;
    report.warm_slots = this->options.reports_warm_slots ? static_cast<std::uint32_t>(this->borne()) : 0;
    report.fencing = this->fencing;
    return http::json_response(200, encode_engine_status(report));
}

http::response engine_node::assign(const http::request& message, yield_context yield)
{
    const auto started_as = this->incarnation;
    sleep_for(this->faults.order_delay, yield);
    if (this->incarnation != started_as) {
        return http::json_response(503, R"({"error":"restarted"})");
    }
    try {
        const auto order = nlohmann::json::parse(message.body);
        const group_id new_group(order.at("group").get<std::string>());
        const auto number = order.at("fencing").get<std::uint64_t>();
        if (this->options.fenced && number < this->fencing) {
            ++this->counters.orders_refused;
            return http::json_response(409, this->read_status().body);
        }
        const auto new_epoch = new_group.empty() ? 0 : order.at("group_epoch").get<std::uint64_t>();
        const auto new_rank = new_group.empty() ? 0 : order.at("rank").get<std::uint32_t>();
        const model_id new_model(new_group.empty() ? "" : order.at("model").get<std::string>());
        const auto new_version = new_group.empty() ? std::string() : order.at("version").get<std::string>();
        std::vector<instance_id> new_members;
        for (const auto& member : order.value("members", nlohmann::json::array())) {
            new_members.emplace_back(member.get<std::string>());
        }
        ++this->counters.orders_accepted;
        this->fencing = this->options.fenced ? number : std::max(this->fencing, number);
        if (new_group != this->group || new_epoch != this->epoch || new_rank != this->rank) {
            this->end_all(run_phase::lost);
            this->announce_loss();
        }
        this->group = new_group;
        this->epoch = new_epoch;
        this->rank = new_rank;
        this->members = new_members;
        // A released engine keeps its weights, so that its next group may reuse them.
        if (!new_group.empty() && (new_model != this->model || new_version != this->version)) {
            this->model = new_model;
            this->version = new_version;
            this->start_load();
        }
        return this->read_status();
    } catch (const nlohmann::json::exception&) {
        return http::json_response(400, "{}");
    }
}

void engine_node::start_load()
{
    this->loaded = false;
    this->cache.clear();
    ++this->counters.loads;
    boost::asio::spawn(this->context, [self = this->shared_from_this(), number = ++this->load_number](
                                          yield_context yield) { self->load(number, yield); });
}

void engine_node::load(std::uint64_t number, yield_context yield)
{
    if (!this->options.weights) {
        sleep_for(this->options.load, yield);
    }
    while (this->options.weights && number == this->load_number) {
        const auto deadline = steady_clock::now() + weight_call_timeout;
        auto connection =
            http::client_connection::create(this->context, *this->options.weights, deadline, yield);
        milliseconds pause = weight_retry;
        if (succeeded(connection)) {
            const auto answer =
                value(connection)
                    ->exchange({"GET", "/v1/weights/" + this->model.str() + "/" + this->version, {}, {}},
                               deadline, yield);
            if (succeeded(answer) && value(answer).status == 200) {
                break;
            }
            if (succeeded(answer)) {
                pause = milliseconds(
                    number_or(http::find_header(value(answer).headers, "retry-after-ms"), pause.count()));
            }
        }
        sleep_for(pause, yield);
    }
    if (number == this->load_number) {
        this->loaded = true;
        this->warm_since = steady_clock::now();
    }
}

http::response engine_node::read_cache_events(const http::request& message) const
{
    const auto since = static_cast<std::uint64_t>(number_or(http::query_value(message.target, "since"), 0));
    const auto now = steady_clock::now();
    auto events = nlohmann::json::array();
    for (const auto& event : this->cache.events(since, this->options.cache_event_delay, now)) {
        events.push_back({{"seq", event.seq},
                          {"kind", event.added ? "added" : "evicted"},
                          {"prefix", std::to_string(event.prefix)}});
    }
    const auto next = this->cache.next(this->options.cache_event_delay, now);
    return http::json_response(200, nlohmann::json{{"next", next}, {"events", std::move(events)}}.dump());
}

http::response engine_node::exchange_kv(const http::request& message, std::string_view path)
{
    const std::string name(path.substr(kv_path.size()));
    std::uint64_t prefix = 0;
    try {
        prefix = std::stoull(name);
    } catch (const std::logic_error&) {
        return http::json_response(400, "{}");
    }
    const auto content = kv_content(name, this->options.kv_bytes);
    if (message.method == "PUT") {
        if (message.body != content) {
            return http::json_response(400, R"({"error":"not an export of this prefix"})");
        }
        this->cache.use(prefix, steady_clock::now());
        return http::json_response(200, "{}");
    }
    if (!this->cache.contains(prefix)) {
        return http::json_response(404, "{}");
    }
    return {200, {{"content-type", "application/octet-stream"}}, content};
}

http::response engine_node::control(const http::request& message, std::string_view path)
{
    if (path == "/stats") {
        return http::json_response(200, this->encode_stats());
    }
    const auto object = read_object(message.body);
    if (failed(object)) {
        return control_answer(error(object));
    }
    const bool was_down = this->faults.down;
    bool restart_now = false;
    bool cold_now = false;
    fault_reader reader(value(object));
    reader.take("down", this->faults.down);
    reader.take("paused", this->faults.paused);
    reader.take("restart", restart_now);
    reader.take("cold", cold_now);
    reader.take("leaving", this->leaving);
    reader.take("member_missing", this->faults.member_missing);
    reader.take("slow_factor", this->faults.slow_factor);
    reader.take("order_delay_ms", this->faults.order_delay);
    reader.take("lose_order_replies", this->faults.lose_order_replies);
    reader.take("garbled_status", this->faults.garbled_status);
    reader.take("answer", this->faults.answer);
    reader.take("answers", this->faults.answers);
    reader.take("answer_delay_ms", this->faults.answer_delay);
    if (restart_now || (this->faults.down && !was_down)) {
        this->restart();
    }
    if (cold_now) {
        this->warm_since = steady_clock::now();
    }
    return control_answer(reader.finish());
}

std::string engine_node::encode_stats() const
{
    const auto& now = this->counters;
    return nlohmann::json{{"received", now.received},
                          {"started", now.started},
                          {"completed", now.completed},
                          {"cancelled", now.cancelled},
                          {"lost", now.lost},
                          {"refused", now.refused},
                          {"tokens", now.tokens},
                          {"overloads_while_cold", now.overloads_while_cold},
                          {"crashes", now.crashes},
                          {"restarts", now.restarts},
                          {"most_running", now.most_running},
                          {"started_with_missing_member", now.started_with_missing_member},
                          {"wrong_resume_tokens", now.wrong_resume_tokens},
                          {"orders_accepted", now.orders_accepted},
                          {"orders_refused", now.orders_refused},
                          {"loads", now.loads},
                          {"cache_hits", now.cache_hits},
                          {"cached_prefixes", this->cache.size()},
                          {"faulty_answers", now.faulty_answers},
                          {"running", this->running.size()},
                          {"queued", this->queued.size()}}
        .dump();
}

} // namespace rml::standin::detail
