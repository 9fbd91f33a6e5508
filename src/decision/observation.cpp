#include "decision/observation.hpp"

#include "base/bounded_cbor.hpp"
#include "base/hash.hpp"
#include "base/limits.hpp"
#include "decision/evidence.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <unordered_set>

namespace rml {

namespace {

constexpr std::size_t compact_entry_bytes = 20;
constexpr std::size_t digest_header_bytes = 24;
constexpr std::size_t digest_entry_bytes = 2;
constexpr std::uint8_t digest_format = 1;
constexpr std::uint8_t lease_valid_flag = 1;
constexpr std::uint8_t healthy_flag = 1;
constexpr std::uint8_t warm_flag = 2;

template <class T>
T saturate(std::uint64_t number)
{
    return static_cast<T>(std::min<std::uint64_t>(number, std::numeric_limits<T>::max()));
}

std::uint16_t age_at(time_point observed_at, time_point now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - observed_at).count();
    return saturate<std::uint16_t>(static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)) + 1);
}

std::uint32_t clock_ms(time_point now)
{
    const auto since_start = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    return static_cast<std::uint32_t>(since_start);
}

std::uint8_t requests_of(const engine_status& report)
{
    return saturate<std::uint8_t>(std::uint64_t{report.running} + report.queued);
}

/// Appends the number in little-endian order.
template <class T>
void append(std::string& bytes, T number)
{
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        bytes.push_back(static_cast<char>(static_cast<std::uint64_t>(number) >> (8 * i) & 0xff));
    }
}

/// Reads numbers written by append(). The caller must have checked the total length.
class byte_reader
{
public:
    explicit byte_reader(const std::string& bytes) : bytes(bytes) {}

    template <class T>
    T take()
    {
        std::uint64_t number = 0;
        for (std::size_t i = 0; i < sizeof(T); ++i) {
            number |= std::uint64_t{static_cast<unsigned char>(this->bytes.at(this->position++))} << (8 * i);
        }
        return static_cast<T>(number);
    }

private:
    const std::string& bytes;
    std::size_t position{0};
};

std::string pack(const std::vector<compact_entry>& entries)
{
    std::string bytes;
    bytes.reserve(entries.size() * compact_entry_bytes);
    for (const auto& entry : entries) {
        append(bytes, entry.instance);
        append(bytes, entry.fingerprint);
        append(bytes, entry.requests);
        append(bytes, entry.warm_slots);
        append(bytes, entry.age_ms);
    }
    return bytes;
}

std::vector<compact_entry> unpack(const std::string& bytes)
{
    std::vector<compact_entry> entries(bytes.size() / compact_entry_bytes);
    byte_reader reader(bytes);
    for (auto& entry : entries) {
        entry.instance = reader.take<std::uint64_t>();
        entry.fingerprint = reader.take<std::uint64_t>();
        entry.requests = reader.take<std::uint8_t>();
        entry.warm_slots = reader.take<std::uint8_t>();
        entry.age_ms = reader.take<std::uint16_t>();
    }
    return entries;
}

nlohmann::json::binary_t binary_of(const std::string& bytes)
{
    return nlohmann::json::binary_t(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

} // namespace

daemon_id observer_of(const instance_id& instance, const std::vector<daemon_id>& live_daemons)
{
    daemon_id best;
    std::uint64_t best_weight = 0;
    for (const auto& candidate : live_daemons) {
        const auto weight = rendezvous_weight(instance.str(), candidate.str());
        if (best.empty() || weight > best_weight || (weight == best_weight && candidate < best)) {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

std::vector<instance_id> engines_observed_by(const daemon_id& self, const std::vector<instance_id>& engines,
                                             const std::vector<daemon_id>& live_daemons)
{
    std::vector<instance_id> observed;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(observed),
                 [&](const instance_id& engine) { return observer_of(engine, live_daemons) == self; });
    return observed;
}

bool delay_estimator::has_session(std::uint16_t session) const
{
    return std::any_of(this->runs.begin(), this->runs.end(),
                       [&](const run& each) { return each.session == session; });
}

std::optional<milliseconds> delay_estimator::delay_of(std::uint16_t session, std::uint32_t sent_ms,
                                                      time_point received_at)
{
    const auto found = std::find_if(this->runs.begin(), this->runs.end(),
                                    [&](const run& each) { return each.session == session; });
    if (found == this->runs.end()) {
        if (this->runs.size() == limits::digest_sessions) {
            this->runs.erase(
                std::min_element(this->runs.begin(), this->runs.end(), [](const run& a, const run& b) {
                    return a.received_last < b.received_last;
                }));
        }
        this->runs.push_back({session, sent_ms, sent_ms, received_at, received_at});
        return std::nullopt;
    }
    // The clock wraps, so the difference is taken as signed.
    if (static_cast<std::int32_t>(sent_ms - found->last_sent) < 0) {
        return std::nullopt;
    }
    found->last_sent = sent_ms;
    found->received_last = received_at;
    const auto sent_elapsed = milliseconds(static_cast<std::int32_t>(sent_ms - found->sent_base));
    const auto received_elapsed = received_at - found->received_base;
    const auto delay = std::chrono::duration_cast<milliseconds>(received_elapsed - sent_elapsed);
    // The clocks of two daemons drift apart by up to 100 ppm. Subtracting 1000 ppm of the time since the base
    // keeps the drift from accumulating to a false delay.
    const auto drift = std::chrono::duration_cast<milliseconds>(received_elapsed) / 1000;
    if (delay <= drift) {
        found->sent_base = sent_ms;
        found->received_base = received_at;
        return delay < -limits::digest_spread ? std::nullopt : std::optional(milliseconds(0));
    }
    return delay - drift;
}

std::uint64_t status_fingerprint(const engine_status& report)
{
    std::string text = report.group.str();
    text += '\0';
    text += report.model.str();
    text += '\0';
    text += report.version;
    text += '\0';
    append(text, report.incarnation);
    append(text, report.group_epoch);
    append(text, report.rank);
    append(text, static_cast<std::uint8_t>((report.loaded ? 1 : 0) | (report.leaving ? 2 : 0)));
    return hash64(text);
}

std::string encode_observer_report(const observer_report& report)
{
    nlohmann::json document{{"session", report.session}, {"sent_ms", report.sent_ms}};
    document["changes"] = nlohmann::json::array();
    for (const auto& change : report.changes) {
        document["changes"].push_back({encode_engine_status(change.report), change.age_ms});
    }
    document["unchanged"] = binary_of(pack(report.unchanged));
    document["silent"] = nlohmann::json::array();
    for (const auto& instance : report.unresponsive) {
        document["silent"].push_back(instance.str());
    }
    const auto bytes = nlohmann::json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

result<observer_report> decode_observer_report(const std::string& bytes)
{
    try {
        const auto document = decode_bounded_cbor(bytes);
        const auto& packed = document.at("unchanged").get_ref<const nlohmann::json::binary_t&>();
        const auto& changes = document.at("changes");
        const auto& unresponsive = document.at("silent");
        if (packed.size() % compact_entry_bytes != 0) {
            return failure{failure_kind::malformed, "observer report: compact entries are truncated"};
        }
        if (packed.size() / compact_entry_bytes + changes.size() + unresponsive.size() >
            limits::max_engines) {
            return failure{failure_kind::too_large,
                           "observer report: more entries than the limit of engines"};
        }
        observer_report report;
        report.session = document.at("session").get<std::uint16_t>();
        report.sent_ms = document.at("sent_ms").get<std::uint32_t>();
        for (const auto& change : changes) {
            auto status = decode_engine_status(change.at(0).get<std::string>());
            if (failed(status)) {
                return error(status);
            }
            report.changes.push_back({value(std::move(status)), change.at(1).get<std::uint16_t>()});
        }
        report.unchanged = unpack(std::string(packed.begin(), packed.end()));
        for (const auto& instance : unresponsive) {
            report.unresponsive.emplace_back(instance.get<std::string>());
        }
        return report;
    } catch (const nlohmann::json::exception& e) {
        return failure{failure_kind::malformed, std::string("observer report: ") + e.what()};
    }
}

bool engine_observer::record(const engine_status& report, time_point probe_sent_at)
{
    auto& entry = this->engines[report.instance];
    if (entry.answered && probe_sent_at < entry.probe_sent_at) {
        return false;
    }
    const bool same = entry.answered && !entry.unresponsive &&
                      status_fingerprint(entry.report) == status_fingerprint(report);
    entry.changed = entry.changed || !same;
    entry.report = report;
    entry.probe_sent_at = probe_sent_at;
    entry.answered = true;
    entry.unresponsive = false;
    return !same;
}

bool engine_observer::record_probe_failure(const instance_id& instance)
{
    auto& entry = this->engines[instance];
    const bool same = entry.unresponsive;
    entry.changed = entry.changed || !same;
    entry.unresponsive = true;
    return !same;
}

void engine_observer::retain(const std::vector<instance_id>& list)
{
    const std::unordered_set<instance_id> wanted(list.begin(), list.end());
    for (auto it = this->engines.begin(); it != this->engines.end();) {
        it = wanted.count(it->first) == 0 ? this->engines.erase(it) : std::next(it);
    }
}

void engine_observer::restart_reports()
{
    for (auto& [instance, entry] : this->engines) {
        entry.changed = true;
    }
}

observer_report engine_observer::take(time_point now, bool with_unchanged)
{
    observer_report report;
    report.session = this->session;
    report.sent_ms = clock_ms(now);
    for (auto& [instance, entry] : this->engines) {
        const bool changed = std::exchange(entry.changed, false);
        if (entry.unresponsive) {
            if (changed || with_unchanged) {
                report.unresponsive.push_back(instance);
            }
        } else if (changed) {
            report.changes.push_back({entry.report, age_at(entry.probe_sent_at, now)});
        } else if (with_unchanged) {
            report.unchanged.push_back(
                {hash64(instance.str()), status_fingerprint(entry.report), requests_of(entry.report),
                 saturate<std::uint8_t>(entry.report.warm_slots), age_at(entry.probe_sent_at, now)});
        }
    }
    return report;
}

observer_report engine_observer::take_changes(time_point now)
{
    return this->take(now, false);
}

observer_report engine_observer::take_full_report(time_point now)
{
    return this->take(now, true);
}

std::vector<observed_engine> engine_observer::observed_engines() const
{
    std::vector<observed_engine> list;
    list.reserve(this->engines.size());
    for (const auto& [instance, entry] : this->engines) {
        list.push_back({instance, entry.answered, entry.unresponsive, entry.probe_sent_at});
    }
    return list;
}

bool observation_table::apply_compact(const compact_entry& entry, time_point observed_at)
{
    const auto name = this->by_hash.find(entry.instance);
    if (name == this->by_hash.end()) {
        return false;
    }
    auto& held = this->engines[name->second];
    // After a membership change two daemons observe the same engine for a while, so the older of their
    // entries may arrive last.
    const bool older =
        held.missed_at ? observed_at <= *held.missed_at : held.known && observed_at <= held.seen.observed_at;
    if (older) {
        return true;
    }
    if (!held.known || held.fingerprint != entry.fingerprint) {
        held.missed_at = observed_at;
        return false;
    }
    held.missed_at.reset();
    held.seen.observed_at = observed_at;
    held.seen.unresponsive = false;
    held.seen.report.running = entry.requests;
    held.seen.report.queued = 0;
    held.seen.report.warm_slots = entry.warm_slots;
    return true;
}

bool observation_table::apply(const daemon_id& observer, const observer_report& report,
                              time_point received_at)
{
    if (this->delays.size() > 2 * limits::max_daemons) {
        this->delays.clear(); // mostly estimators of daemons that were replaced
    }
    auto& estimator = this->delays[observer];
    const bool first = !estimator.has_session(report.session);
    const auto delay = estimator.delay_of(report.session, report.sent_ms, received_at);
    // The first report of a run is accepted: reports use a direct link and are built when they are sent, so
    // it cannot be old. Any other report of unknown age is dropped.
    if (!first && !delay) {
        return report.changes.empty();
    }
    bool complete = true;
    const auto sent_at = received_at - delay.value_or(milliseconds(0));
    for (const auto& change : report.changes) {
        const auto& instance = change.report.instance;
        const auto observed_at = sent_at - milliseconds(change.age_ms);
        auto& held = this->engines[instance];
        this->by_hash[hash64(instance.str())] = instance;
        if (held.known && observed_at <= held.seen.observed_at) {
            continue;
        }
        held.seen = {change.report, observed_at, false};
        held.known = true;
        held.missed_at.reset();
        held.fingerprint = status_fingerprint(change.report);
    }
    for (const auto& entry : report.unchanged) {
        complete = this->apply_compact(entry, sent_at - milliseconds(entry.age_ms)) && complete;
    }
    for (const auto& instance : report.unresponsive) {
        const auto found = this->engines.find(instance);
        if (found != this->engines.end() && found->second.seen.observed_at < sent_at) {
            found->second.seen.unresponsive = true;
        }
    }
    return complete;
}

void observation_table::retain(const std::vector<instance_id>& list)
{
    std::unordered_map<instance_id, table_entry> kept;
    this->by_hash.clear();
    for (const auto& instance : list) {
        auto node = this->engines.extract(instance);
        if (node.empty()) {
            kept.try_emplace(instance);
        } else {
            kept.insert(std::move(node));
        }
        this->by_hash[hash64(instance.str())] = instance;
    }
    this->engines = std::move(kept);
}

const observation* observation_table::fresh(const instance_id& instance, time_point now) const
{
    const auto found = this->engines.find(instance);
    if (found == this->engines.end() || !found->second.known || found->second.seen.unresponsive ||
        found->second.missed_at || now - found->second.seen.observed_at > limits::observation_lifetime) {
        return nullptr;
    }
    return &found->second.seen;
}

digest build_digest(const committed_plan& plan, const observation_table& observations,
                    const digest_context& context)
{
    digest record;
    record.generation = context.generation;
    record.plan_revision = plan.revision;
    record.lease_valid = context.lease_valid;
    record.session = context.session;
    record.sent_ms = clock_ms(context.now);
    for (const auto& group : plan.plan.groups()) {
        digest_entry entry;
        entry.healthy = true;
        std::uint16_t oldest = 0;
        for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
            const auto* seen = observations.fresh(group.members[rank], context.now);
            entry.healthy = entry.healthy && seen != nullptr && serves_as_planned(seen->report, group, rank);
            if (seen != nullptr) {
                oldest = std::max(oldest, age_at(seen->observed_at, context.now));
                entry.requests = rank == 0 ? requests_of(seen->report) : entry.requests;
            }
        }
        if (entry.healthy) {
            record.oldest_ms = std::max(record.oldest_ms, oldest);
        }
        record.groups.push_back(entry);
    }
    return record;
}

std::string encode_digest(const digest& record)
{
    std::string bytes;
    bytes.reserve(digest_header_bytes + record.groups.size() * digest_entry_bytes);
    append(bytes, digest_format);
    append(bytes, record.lease_valid ? lease_valid_flag : std::uint8_t{0});
    append(bytes, static_cast<std::uint16_t>(record.groups.size()));
    append(bytes, record.generation);
    append(bytes, record.plan_revision);
    append(bytes, record.oldest_ms);
    append(bytes, record.session);
    append(bytes, record.sent_ms);
    for (const auto& entry : record.groups) {
        append(bytes, static_cast<std::uint8_t>((entry.healthy ? healthy_flag : 0U) |
                                                (entry.warm ? warm_flag : 0U)));
        append(bytes, entry.requests);
    }
    return bytes;
}

result<digest> decode_digest(const std::string& bytes)
{
    if (bytes.size() < digest_header_bytes) {
        return failure{failure_kind::malformed, "digest: shorter than its header"};
    }
    byte_reader reader(bytes);
    if (reader.take<std::uint8_t>() != digest_format) {
        return failure{failure_kind::malformed, "digest: unknown format number"};
    }
    digest record;
    record.lease_valid = (reader.take<std::uint8_t>() & lease_valid_flag) != 0;
    const std::size_t count = reader.take<std::uint16_t>();
    if (count > limits::max_engines || bytes.size() != digest_header_bytes + count * digest_entry_bytes) {
        return failure{failure_kind::malformed, "digest: length does not match its group count"};
    }
    record.generation = reader.take<std::uint32_t>();
    record.plan_revision = reader.take<std::uint64_t>();
    record.oldest_ms = reader.take<std::uint16_t>();
    record.session = reader.take<std::uint16_t>();
    record.sent_ms = reader.take<std::uint32_t>();
    record.groups.resize(count);
    for (auto& entry : record.groups) {
        const auto flags = reader.take<std::uint8_t>();
        entry.healthy = (flags & healthy_flag) != 0;
        entry.warm = (flags & warm_flag) != 0;
        entry.requests = reader.take<std::uint8_t>();
    }
    return record;
}

} // namespace rml
