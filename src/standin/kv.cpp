#include "standin/kv.hpp"

#include "base/limits.hpp"
#include "http/executor.hpp"
#include "standin/standin.hpp"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <nlohmann/json.hpp>

namespace rml::standin {

namespace {

namespace asio = boost::asio;

/// Bounds a hung watch whose client has gone without being noticed.
constexpr milliseconds hung_watch_limit{600000};
constexpr milliseconds longest_wait{60000};

struct stored_value
{
    std::string content;
    std::uint64_t revision{0}; ///< of the last change, also of a deletion
    bool present{false};
    std::uint64_t lease{0};
};

struct lease_state
{
    milliseconds lifetime{0};
    std::unique_ptr<asio::steady_timer> timer;
};

struct kv_faults
{
    bool down{false};         ///< every connection is dropped before the call is applied
    bool unavailable{false};  ///< 503 before the call is applied
    bool hang_watches{false}; ///< watches neither answer nor end
    milliseconds slow{0};
    fault_count lose_replies; ///< writes are applied and their connection is dropped
    fault_count garbled;      ///< answers lack the revision and hold a broken body
    std::string prefix;       ///< lose_replies and garbled strike only keys with this prefix
};

http::response with_revision(int status, std::uint64_t revision, std::string body = {})
{
    return {status,
            {{"content-type", "application/octet-stream"}, {"x-revision", std::to_string(revision)}},
            std::move(body)};
}

bool starts_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

} // namespace

struct kv_server::state final : http::handler, std::enable_shared_from_this<kv_server::state>
{
    explicit state(asio::io_context& owner) : context(owner) {}

    void handle(const http::request& message, http::response_writer& writer, yield_context yield) override;

    http::response control(const http::request& message, std::string_view path);
    http::response read(const std::string& key);
    http::response list(const std::string& prefix) const;
    http::response put(const http::request& message, const std::string& key);
    http::response destroy(const http::request& message, const std::string& key);
    http::response watch(const http::request& message, const std::string& key, yield_context yield);
    http::response change_lease(const http::request& message, std::string_view path);
    http::response create_lease(const http::request& message);
    void schedule_lapse(std::uint64_t id);
    void drop_lease(std::uint64_t id);
    void remove(stored_value& entry);
    void wake_watches();
    std::string encode_stats() const;

    asio::io_context& context;
    std::map<std::string, stored_value> values;
    std::map<std::uint64_t, lease_state> leases;
    std::list<asio::steady_timer*> waiting;
    std::uint64_t revision{0};
    std::uint64_t next_lease{1};
    kv_faults faults;
    kv_stats stats;
};

namespace {

constexpr std::string_view key_path = "/v1/kv/";
constexpr std::string_view watch_path = "/v1/watch/";
constexpr std::string_view lease_path = "/v1/leases";

} // namespace

void kv_server::state::handle(const http::request& message, http::response_writer& writer,
                              yield_context yield)
{
    const auto self = this->shared_from_this();
    const auto path = http::path_of(message.target);
    if (path == "/faults" || path == "/stats") {
        writer.send(this->control(message, path));
        return;
    }
    const bool on_key = starts_with(path, key_path);
    const bool on_watch = starts_with(path, watch_path);
    const bool writes = message.method != "GET";
    ++(writes ? this->stats.writes : on_watch ? this->stats.watches : this->stats.reads);
    sleep_for(this->faults.slow, yield);
    if (this->faults.down) {
        writer.abort();
        return;
    }
    if (this->faults.unavailable) {
        writer.send(http::json_response(503, "{}"));
        return;
    }
    const std::string key(on_key     ? path.substr(key_path.size())
                          : on_watch ? path.substr(watch_path.size())
                                     : std::string_view{});
    http::response answer{404, {}, {}};
    if (on_watch) {
        answer = this->watch(message, key, yield);
    } else if (path == "/v1/kv") {
        answer = this->list(http::query_value(message.target, "prefix").value_or(""));
    } else if (on_key) {
        answer = message.method == "PUT"      ? this->put(message, key)
                 : message.method == "DELETE" ? this->destroy(message, key)
                                              : this->read(key);
    } else if (starts_with(path, lease_path)) {
        answer = this->change_lease(message, path);
    }
    const bool struck = starts_with(key, this->faults.prefix);
    if (struck && writes && this->faults.lose_replies.strike()) {
        ++this->stats.lost_replies;
        writer.abort();
        return;
    }
    if (struck && this->faults.garbled.strike()) {
        answer = {200, {}, "{\"keys\":["};
    }
    writer.send(answer);
}

http::response kv_server::state::control(const http::request& message, std::string_view path)
{
    if (path == "/stats") {
        return http::json_response(200, this->encode_stats());
    }
    const auto object = read_object(message.body);
    if (failed(object)) {
        return control_answer(error(object));
    }
    fault_reader reader(value(object));
    reader.take("down", this->faults.down);
    reader.take("unavailable", this->faults.unavailable);
    reader.take("hang_watches", this->faults.hang_watches);
    reader.take("slow_ms", this->faults.slow);
    reader.take("lose_replies", this->faults.lose_replies);
    reader.take("garbled", this->faults.garbled);
    reader.take("prefix", this->faults.prefix);
    this->wake_watches();
    return control_answer(reader.finish());
}

http::response kv_server::state::read(const std::string& key)
{
    const auto found = this->values.find(key);
    if (found == this->values.end() || !found->second.present) {
        return with_revision(404, found == this->values.end() ? 0 : found->second.revision);
    }
    return with_revision(200, found->second.revision, found->second.content);
}

http::response kv_server::state::list(const std::string& prefix) const
{
    auto keys = nlohmann::json::array();
    for (auto entry = this->values.lower_bound(prefix);
         entry != this->values.end() && starts_with(entry->first, prefix); ++entry) {
        if (entry->second.present) {
            keys.push_back({{"key", entry->first}, {"revision", entry->second.revision}});
        }
    }
    return http::json_response(200, nlohmann::json{{"keys", std::move(keys)}}.dump());
}

http::response kv_server::state::put(const http::request& message, const std::string& key)
{
    const auto expected = number_or(http::query_value(message.target, "expect"), -1);
    const auto lease = number_or(http::query_value(message.target, "lease"), 0);
    if (expected < 0 || key.empty()) {
        return {400, {}, {}};
    }
    if (message.body.size() > limits::store_value_bytes) {
        return {413, {}, {}};
    }
    const auto holder = this->leases.find(static_cast<std::uint64_t>(lease));
    if (lease != 0 && holder == this->leases.end()) {
        return {404, {}, {}};
    }
    const auto found = this->values.find(key);
    const auto current =
        found != this->values.end() && found->second.present ? found->second.revision : std::uint64_t{0};
    if (current != static_cast<std::uint64_t>(expected)) {
        ++this->stats.conflicts;
        return with_revision(409, current);
    }
    auto& entry = this->values[key];
    entry = {message.body, ++this->revision, true, static_cast<std::uint64_t>(lease)};
    this->wake_watches();
    return with_revision(200, entry.revision);
}

http::response kv_server::state::destroy(const http::request& message, const std::string& key)
{
    const auto expected = number_or(http::query_value(message.target, "expect"), -1);
    const auto found = this->values.find(key);
    const auto current =
        found != this->values.end() && found->second.present ? found->second.revision : std::uint64_t{0};
    if (expected <= 0 || current != static_cast<std::uint64_t>(expected)) {
        ++this->stats.conflicts;
        return with_revision(409, current);
    }
    this->remove(found->second);
    this->wake_watches();
    return with_revision(200, this->revision);
}

void kv_server::state::remove(stored_value& entry)
{
    entry = {{}, ++this->revision, false, 0};
}

http::response kv_server::state::watch(const http::request& message, const std::string& key,
                                       yield_context yield)
{
    const auto after = static_cast<std::uint64_t>(number_or(http::query_value(message.target, "after"), 0));
    const milliseconds asked(number_or(http::query_value(message.target, "wait_ms"), 0));
    const auto started = steady_clock::now();
    const auto ends = started + std::min(asked, longest_wait);
    asio::steady_timer timer(http::executor_of(yield));
    const auto place = this->waiting.insert(this->waiting.end(), &timer);
    ++this->stats.watches_waiting;
    const std::shared_ptr<void> leave(nullptr, [this, place](void*) {
        this->waiting.erase(place);
        --this->stats.watches_waiting;
    });
    while (true) {
        const bool hung = this->faults.hang_watches;
        const auto limit = hung ? started + hung_watch_limit : ends;
        if (const auto found = this->values.find(key);
            !hung && found != this->values.end() && found->second.revision > after) {
            return this->read(key);
        }
        if (steady_clock::now() >= limit) {
            return {204, {}, {}};
        }
        timer.expires_at(limit);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
}

void kv_server::state::wake_watches()
{
    for (auto* timer : this->waiting) {
        timer->cancel();
    }
}

void kv_server::state::drop_lease(std::uint64_t id)
{
    this->leases.erase(id);
    for (auto& entry : this->values) {
        if (entry.second.present && entry.second.lease == id) {
            this->remove(entry.second);
        }
    }
    this->wake_watches();
}

void kv_server::state::schedule_lapse(std::uint64_t id)
{
    auto& lease = this->leases.at(id);
    lease.timer->expires_after(lease.lifetime);
    lease.timer->async_wait([weak = this->weak_from_this(), id,
                             timer = lease.timer.get()](const boost::system::error_code& code) {
        const auto self = weak.lock();
        // A renewal that came after the timer fired has moved the expiry.
        if (code || !self || self->leases.count(id) == 0 || timer->expiry() > steady_clock::now()) {
            return;
        }
        ++self->stats.lapsed_leases;
        self->drop_lease(id);
    });
}

http::response kv_server::state::create_lease(const http::request& message)
{
    const milliseconds lifetime(number_or(http::query_value(message.target, "ttl_ms"), 0));
    if (lifetime <= milliseconds::zero()) {
        return {400, {}, {}};
    }
    const auto id = this->next_lease++;
    this->leases[id] = {lifetime, std::make_unique<asio::steady_timer>(this->context)};
    this->schedule_lapse(id);
    return http::json_response(200, nlohmann::json{{"lease", std::to_string(id)}}.dump());
}

http::response kv_server::state::change_lease(const http::request& message, std::string_view path)
{
    if (path == lease_path) {
        return message.method == "POST" ? this->create_lease(message) : http::response{405, {}, {}};
    }
    auto rest = path.substr(lease_path.size() + 1);
    const auto slash = rest.find('/');
    const auto id = static_cast<std::uint64_t>(number_or(std::string(rest.substr(0, slash)), 0));
    const bool renews = slash != std::string_view::npos && rest.substr(slash) == "/renew";
    if (this->leases.count(id) == 0) {
        return {404, {}, {}};
    }
    if (message.method == "POST" && renews) {
        this->schedule_lapse(id);
        return http::json_response(200, "{}");
    }
    if (message.method == "DELETE" && slash == std::string_view::npos) {
        this->drop_lease(id);
        return http::json_response(200, "{}");
    }
    return {405, {}, {}};
}

std::string kv_server::state::encode_stats() const
{
    std::uint64_t keys = 0;
    std::uint64_t bytes = 0;
    for (const auto& entry : this->values) {
        keys += entry.second.present ? 1 : 0;
        bytes += entry.second.content.size();
    }
    return nlohmann::json{{"reads", this->stats.reads},
                          {"writes", this->stats.writes},
                          {"watches", this->stats.watches},
                          {"watches_waiting", this->stats.watches_waiting},
                          {"conflicts", this->stats.conflicts},
                          {"leases", this->leases.size()},
                          {"lapsed_leases", this->stats.lapsed_leases},
                          {"lost_replies", this->stats.lost_replies},
                          {"keys", keys},
                          {"value_bytes", bytes}}
        .dump();
}

kv_server::kv_server(const std::shared_ptr<state>& initial) : served_standin(initial), inner(initial) {}

kv_server::~kv_server()
{
    this->close();
    this->inner->leases.clear();
}

result<std::unique_ptr<kv_server>> kv_server::create(asio::io_context& context, const endpoint& address)
{
    const auto initial_state = std::make_shared<state>(context);
    auto created = std::unique_ptr<kv_server>(new kv_server(initial_state));
    if (const auto listening = created->listen(context, address); failed(listening)) {
        return error(listening);
    }
    return created;
}

std::string kv_server::fault_help()
{
    return R"(
Faults (POST /faults, a JSON object; keys that are left out stay as they are):
  down          bool       drop the connection of every call before it is applied
  unavailable   bool       answer 503 to every call
  slow_ms       number     delay every call before it is applied
  lose_replies  bool or n  apply writes, then drop the connection (the next n writes)
  garbled       bool or n  answer with a broken body and without a revision (the next n answers)
  prefix        text       lose_replies and garbled strike only keys with this prefix
  hang_watches  bool       watches neither answer nor end
GET /stats counts calls.
)";
}

} // namespace rml::standin
