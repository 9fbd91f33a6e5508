#include "base/limits.hpp"
#include "platform/platform.hpp"
#include "platform/service_connections.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace rml::platform {

namespace {

using detail::exchange_stage;
using detail::service_connections;

bool valid_key(std::string_view key)
{
    const auto allowed = [](unsigned char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
               c == '_' || c == '-' || c == '/';
    };
    return !key.empty() && std::all_of(key.begin(), key.end(), allowed);
}

std::optional<std::uint64_t> revision_of(const http::response& answer)
{
    const auto text = http::find_header(answer.headers, "x-revision");
    std::uint64_t revision = 0;
    if (!text || text->empty()) {
        return std::nullopt;
    }
    const auto* const last = text->data() + text->size();
    const auto [end, code] = std::from_chars(text->data(), last, revision);
    return code == std::errc() && end == last ? std::optional(revision) : std::nullopt;
}

/// Counters that all threads of the daemon increment.
struct store_counters
{
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> watches{0};
    std::atomic<std::uint64_t> conflicts{0};
    std::atomic<std::uint64_t> unavailable{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> malformed{0};
};

class http_store final : public key_value_store
{
public:
    http_store(boost::asio::io_context& context, const endpoint& remote) : pool(context, remote) {}

    result<std::optional<kv_record>> get(const std::string& key, time_point deadline,
                                         yield_context yield) override;
    result<std::vector<kv_key>> list(const std::string& prefix, time_point deadline,
                                     yield_context yield) override;
    result<std::uint64_t> create(const std::string& key, const std::string& value, const lease_id& lease,
                                 time_point deadline, yield_context yield) override;
    result<std::uint64_t> update(const std::string& key, const std::string& value, std::uint64_t expected,
                                 const lease_id& lease, time_point deadline, yield_context yield) override;
    status destroy(const std::string& key, std::uint64_t expected, time_point deadline,
                   yield_context yield) override;
    result<watch_result> watch(const std::string& key, std::uint64_t after, milliseconds wait,
                               time_point deadline, yield_context yield) override;
    result<lease_id> create_lease(milliseconds lifetime, time_point deadline, yield_context yield) override;
    status renew_lease(const lease_id& lease, time_point deadline, yield_context yield) override;
    status destroy_lease(const lease_id& lease, time_point deadline, yield_context yield) override;
    store_stats stats() const override;

private:
    result<http::response> read(const std::string& target, std::atomic<std::uint64_t>& counter,
                                time_point deadline, yield_context yield);
    result<http::response> write(const http::request& message, time_point deadline, yield_context yield);
    result<std::uint64_t> put(const std::string& key, const std::string& value, std::uint64_t expected,
                              const lease_id& lease, time_point deadline, yield_context yield);
    failure malformed(const std::string& context);
    failure unknown(const std::string& context);

    service_connections pool;
    store_counters counters;
};

failure http_store::malformed(const std::string& context)
{
    ++this->counters.malformed;
    return {failure_kind::malformed, "store answer to " + context};
}

failure http_store::unknown(const std::string& context)
{
    ++this->counters.unknown;
    return {failure_kind::outcome_unknown, "store " + context};
}

result<http::response> http_store::read(const std::string& target, std::atomic<std::uint64_t>& counter,
                                        time_point deadline, yield_context yield)
{
    ++counter;
    const http::request message{"GET", target, {}, {}};
    auto outcome = this->pool.exchange(message, deadline, false, yield);
    const bool broken =
        failed(outcome.answer) && error(outcome.answer).kind == failure_kind::connection_broken;
    if (broken && outcome.reused) {
        // The store may have closed the idle connection before the request arrived; a read may be repeated.
        ++counter;
        outcome = this->pool.exchange(message, deadline, true, yield);
    }
    if (failed(outcome.answer)) {
        const auto kind = error(outcome.answer).kind;
        this->counters.unavailable += kind == failure_kind::connection_refused ? 1 : 0;
        this->counters.malformed += kind == failure_kind::malformed ? 1 : 0;
        return failure{kind, "store GET " + target + ": " + error(outcome.answer).context};
    }
    if (value(outcome.answer).status == 503) {
        ++this->counters.unavailable;
        return failure{failure_kind::unavailable, "store GET " + target};
    }
    return std::move(outcome.answer);
}

result<http::response> http_store::write(const http::request& message, time_point deadline,
                                         yield_context yield)
{
    ++this->counters.writes;
    const std::string context = message.method + " " + message.target;
    auto outcome = this->pool.exchange(message, deadline, false, yield);
    if (failed(outcome.answer) && outcome.stage == exchange_stage::not_sent) {
        ++this->counters.unavailable;
        const bool refused = error(outcome.answer).kind == failure_kind::connection_refused;
        return failure{refused ? failure_kind::connection_refused : failure_kind::unavailable,
                       "store " + context};
    }
    if (failed(outcome.answer)) {
        return this->unknown(context + ": " + error(outcome.answer).context);
    }
    if (value(outcome.answer).status == 503) {
        ++this->counters.unavailable;
        return failure{failure_kind::unavailable, "store " + context};
    }
    return std::move(outcome.answer);
}

result<std::optional<kv_record>> http_store::get(const std::string& key, time_point deadline,
                                                 yield_context yield)
{
    if (!valid_key(key)) {
        return failure{failure_kind::refused, "store key '" + key + "'"};
    }
    auto read = this->read("/v1/kv/" + key, this->counters.reads, deadline, yield);
    if (failed(read)) {
        return error(read);
    }
    auto& answer = value(read);
    if (answer.status == 404) {
        return std::optional<kv_record>{};
    }
    const auto revision = revision_of(answer);
    if (answer.status != 200 || !revision) {
        return this->malformed("GET " + key);
    }
    return std::optional(kv_record{std::move(answer.body), *revision});
}

result<std::vector<kv_key>> http_store::list(const std::string& prefix, time_point deadline,
                                             yield_context yield)
{
    if (!prefix.empty() && !valid_key(prefix)) {
        return failure{failure_kind::refused, "store prefix '" + prefix + "'"};
    }
    auto read = this->read("/v1/kv?prefix=" + prefix, this->counters.reads, deadline, yield);
    if (failed(read)) {
        return error(read);
    }
    if (value(read).status != 200) {
        return this->malformed("list " + prefix);
    }
    try {
        const auto document = nlohmann::json::parse(value(read).body);
        std::vector<kv_key> keys;
        for (const auto& entry : document.at("keys")) {
            keys.push_back({entry.at("key").get<std::string>(), entry.at("revision").get<std::uint64_t>()});
        }
        return keys;
    } catch (const nlohmann::json::exception& e) {
        return this->malformed("list " + prefix + ": " + e.what());
    }
}

result<std::uint64_t> http_store::put(const std::string& key, const std::string& content,
                                      std::uint64_t expected, const lease_id& lease, time_point deadline,
                                      yield_context yield)
{
    if (!valid_key(key)) {
        return failure{failure_kind::refused, "store key '" + key + "'"};
    }
    if (content.size() > limits::store_value_bytes) {
        return failure{failure_kind::too_large, "store value of " + key};
    }
    auto target = "/v1/kv/" + key + "?expect=" + std::to_string(expected);
    if (!lease.empty()) {
        target += "&lease=" + lease.str();
    }
    auto written = this->write({"PUT", target, {}, content}, deadline, yield);
    if (failed(written)) {
        return error(written);
    }
    const auto& answer = value(written);
    if (answer.status == 409) {
        ++this->counters.conflicts;
        return failure{failure_kind::conflict, "store PUT " + target};
    }
    if (answer.status == 404 && !lease.empty()) {
        return failure{failure_kind::lapsed, "lease " + lease.str()};
    }
    const auto revision = revision_of(answer);
    if (answer.status != 200 || !revision) {
        // The store may have applied the write although its answer is malformed.
        ++this->counters.malformed;
        return this->unknown("PUT " + target + ": malformed answer " + std::to_string(answer.status));
    }
    return *revision;
}

result<std::uint64_t> http_store::create(const std::string& key, const std::string& content,
                                         const lease_id& lease, time_point deadline, yield_context yield)
{
    return this->put(key, content, 0, lease, deadline, yield);
}

result<std::uint64_t> http_store::update(const std::string& key, const std::string& content,
                                         std::uint64_t expected, const lease_id& lease, time_point deadline,
                                         yield_context yield)
{
    if (expected == 0) {
        return failure{failure_kind::refused, "store update of " + key + " without a revision"};
    }
    return this->put(key, content, expected, lease, deadline, yield);
}

status http_store::destroy(const std::string& key, std::uint64_t expected, time_point deadline,
                           yield_context yield)
{
    if (!valid_key(key)) {
        return failure{failure_kind::refused, "store key '" + key + "'"};
    }
    const auto target = "/v1/kv/" + key + "?expect=" + std::to_string(expected);
    auto written = this->write({"DELETE", target, {}, {}}, deadline, yield);
    if (failed(written)) {
        return error(written);
    }
    switch (value(written).status) {
    case 200:
        return success();
    case 409:
        ++this->counters.conflicts;
        return failure{failure_kind::conflict, "store DELETE " + target};
    default:
        ++this->counters.malformed;
        return this->unknown("DELETE " + target + ": malformed answer");
    }
}

result<watch_result> http_store::watch(const std::string& key, std::uint64_t after, milliseconds wait,
                                       time_point deadline, yield_context yield)
{
    if (!valid_key(key)) {
        return failure{failure_kind::refused, "store key '" + key + "'"};
    }
    const auto target =
        "/v1/watch/" + key + "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
    auto read = this->read(target, this->counters.watches, deadline, yield);
    if (failed(read)) {
        return error(read);
    }
    auto& answer = value(read);
    if (answer.status == 204) {
        return watch_result{};
    }
    const auto revision = revision_of(answer);
    if ((answer.status != 200 && answer.status != 404) || !revision || *revision <= after) {
        return this->malformed("watch " + key);
    }
    watch_result seen{true, std::nullopt, *revision};
    if (answer.status == 200) {
        seen.record = kv_record{std::move(answer.body), *revision};
    }
    return seen;
}

result<lease_id> http_store::create_lease(milliseconds lifetime, time_point deadline, yield_context yield)
{
    const auto target = "/v1/leases?ttl_ms=" + std::to_string(lifetime.count());
    auto written = this->write({"POST", target, {}, {}}, deadline, yield);
    if (failed(written)) {
        return error(written);
    }
    try {
        const auto document = nlohmann::json::parse(value(written).body);
        const auto& lease = document.at("lease");
        return lease_id(lease.is_string() ? lease.get<std::string>()
                                          : std::to_string(lease.get<std::uint64_t>()));
    } catch (const nlohmann::json::exception& e) {
        ++this->counters.malformed;
        return this->unknown(std::string("create lease: malformed answer: ") + e.what());
    }
}

status http_store::renew_lease(const lease_id& lease, time_point deadline, yield_context yield)
{
    auto written = this->write({"POST", "/v1/leases/" + lease.str() + "/renew", {}, {}}, deadline, yield);
    if (failed(written)) {
        return error(written);
    }
    switch (value(written).status) {
    case 200:
        return success();
    case 404:
        return failure{failure_kind::lapsed, "lease " + lease.str()};
    default:
        ++this->counters.malformed;
        return this->unknown("renew lease " + lease.str() + ": malformed answer");
    }
}

status http_store::destroy_lease(const lease_id& lease, time_point deadline, yield_context yield)
{
    auto written = this->write({"DELETE", "/v1/leases/" + lease.str(), {}, {}}, deadline, yield);
    if (failed(written)) {
        return error(written);
    }
    if (value(written).status != 200) {
        ++this->counters.malformed;
        return this->unknown("destroy lease " + lease.str() + ": malformed answer");
    }
    return success();
}

store_stats http_store::stats() const
{
    const auto& now = this->counters;
    return {now.reads,       now.writes,  now.watches,   now.conflicts,
            now.unavailable, now.unknown, now.malformed, this->pool.opened()};
}

} // namespace

std::unique_ptr<key_value_store> create_http_store(boost::asio::io_context& context, const endpoint& remote)
{
    return std::make_unique<http_store>(context, remote);
}

} // namespace rml::platform
