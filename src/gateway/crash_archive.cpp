#include "gateway/crash_archive.hpp"

#include "base/bounded_cbor.hpp"
#include "base/json_reader.hpp"
#include "base/log.hpp"
#include "gateway/coroutine.hpp"
#include "gateway/store_mirror.hpp"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>
#include <vector>

namespace rml::gateway {

namespace {

constexpr milliseconds store_timeout{500};
/// Rows of one transaction of the platform's store.
constexpr std::size_t max_changes = 32;

std::string key_of(const crash_notice& notice)
{
    std::ostringstream out;
    out << own_keys::crashes_prefix << std::hex << std::setw(16) << std::setfill('0')
        << notice.fingerprint.value;
    return out.str();
}

/// The evidence without its times: a record is written again when this changes.
std::string digest_of(const crash_notice& notice)
{
    std::vector<std::uint64_t> losses;
    for (const auto& loss : notice.losses) {
        losses.push_back(loss.loss);
    }
    std::sort(losses.begin(), losses.end());
    return to_cbor_bytes(nlohmann::json{notice.version, losses});
}

} // namespace

crash_archive::crash_archive(boost::asio::io_context& owner, const platform_ports& platform,
                             crash_guard& evidence, metric_registry& registry)
    : context(owner), ports(platform), guard(evidence),
      writes(registry.create_counter("rml_crash_record_writes_total",
                                     "Transactions with records of requests that crash targets"))
{
}

void crash_archive::on_stored(const std::string& key, const std::optional<std::string>& value, time_point now)
{
    if (!value) {
        this->stored.erase(key);
        return;
    }
    const auto notice = decode_crash_notice(decode_bounded_cbor(*value));
    if (failed(notice)) {
        log(log_level::warning, "crash record in the store is malformed; ignored",
            {{"key", key}, context_field(error(notice))});
        this->stored[key].clear(); // the manager replaces or removes it
        return;
    }
    this->stored[key] = digest_of(rml::value(notice));
    this->guard.restore(rml::value(notice), now);
}

void crash_archive::tick(time_point now)
{
    if (this->writing || now < this->next_write) {
        return;
    }
    this->next_write = now + write_interval;
    store_commit change;
    std::map<std::string, std::string> written;
    std::map<std::string, std::string> obsolete = this->stored;
    for (const auto& notice : this->guard.established(now)) {
        const auto key = key_of(notice);
        const auto digest = digest_of(notice);
        obsolete.erase(key);
        const auto known = this->stored.find(key);
        if ((known == this->stored.end() || known->second != digest) && change.puts.size() < max_changes) {
            change.puts.push_back({key, to_cbor_bytes(encode_crash_notice(notice)), 0});
            written[key] = digest;
        }
    }
    for (const auto& [key, digest] : obsolete) {
        if (change.puts.size() + change.removals.size() < max_changes) {
            change.removals.push_back(key);
        }
    }
    if (change.puts.empty() && change.removals.empty()) {
        return;
    }
    this->writing = true;
    start_coroutine(this->context,
                    [this, change, written](yield_context yield) { this->write(change, written, yield); });
}

void crash_archive::write(const store_commit& change, const std::map<std::string, std::string>& written,
                          yield_context yield)
{
    this->writes.add();
    const auto done = this->ports.store->commit(change, steady_clock::now() + store_timeout, yield);
    this->writing = false;
    if (failed(done)) {
        // A write without an answer may have taken effect. The mirror shows it then.
        log(log_level::info, "crash records not written; retrying", {context_field(error(done))});
        this->next_write = steady_clock::now() + retry_interval;
        return;
    }
    log(log_level::info, "crash records written",
        {{"written", static_cast<std::int64_t>(change.puts.size())},
         {"removed", static_cast<std::int64_t>(change.removals.size())}});
    for (const auto& [key, digest] : written) {
        this->stored[key] = digest;
    }
    for (const auto& key : change.removals) {
        this->stored.erase(key);
    }
}

} // namespace rml::gateway
