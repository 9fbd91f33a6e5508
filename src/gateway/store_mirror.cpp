#include "gateway/store_mirror.hpp"

#include "base/json_reader.hpp"
#include "base/log.hpp"
#include "decision/spread_delay.hpp"
#include "decision/watch_delay.hpp"
#include "gateway/coroutine.hpp"
#include "gateway/store_position.hpp"
#include "http/pause.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace rml::gateway {

namespace {

using nlohmann::json;

/// Time that the store may hold one watch open. Short, because a hung connection is detected only after it.
constexpr milliseconds watch_wait{800};
/// Time beyond `watch_wait` within which the answer must arrive.
constexpr milliseconds watch_response_margin{400};
/// Three pages from a store that is 80 times slower than the 4 ms per page that the platform states.
constexpr milliseconds read_timeout{1000};
/// The timeout doubles with each failure: when all daemons of a large fleet read the store at once, its link
/// takes seconds.
constexpr std::uint32_t max_timeout_doublings = 2;
/// Pause of the manager after a watch that returned changes: batches the entries of engines that join
/// together, and is short compared with the joins that repairs wait for.
constexpr milliseconds manager_batch_pause{80};
/// A read of the whole store on a healthy platform: some pages of a few milliseconds and one lost packet,
/// which is retransmitted after 200 ms.
constexpr milliseconds usual_read_time{300};
/// Backoff after a failed call. The first pause covers a short interruption; at the longest one all daemons
/// together stay far below the store's rate limit.
constexpr milliseconds min_retry_pause{150};
constexpr milliseconds max_retry_pause{800};
/// The store counts as unreachable after this time without an answer: one watch and one retry have failed.
constexpr milliseconds unreachable_timeout{2200};
/// Highest age of the store contact behind a notice: the wait of one watch and a lost packet.
constexpr milliseconds max_notice_age{1200};
/// Shortest time between two reads because another daemon tells of an era that the store does not show here.
constexpr milliseconds second_hand_interval{1000};
/// Items on a page of the store, as the platform states.
constexpr std::size_t items_per_page = 500;
constexpr milliseconds hang_detection =
    watch_wait + watch_response_margin + min_retry_pause + usual_read_time;

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::string encode_daemon_entry(const daemon_entry& entry)
{
    return json{{"caller", to_string(entry.caller)},
                {"peer", to_string(entry.peer)},
                {"started_ms", entry.started_ms},
                {"failure_domain", entry.failure_domain.str()},
                {"cores", entry.cores}}
        .dump();
}

result<daemon_entry> decode_daemon_entry(std::string_view bytes)
{
    const auto document = parse_json(bytes);
    if (failed(document)) {
        return error(document);
    }
    daemon_entry out;
    std::vector<field_problem> problems;
    object_reader reader(value(document), "daemon", problems);
    std::uint64_t started = 0;
    std::string failure_domain;
    reader.required("caller", out.caller);
    reader.required("peer", out.peer);
    reader.required("started_ms", started);
    // Daemons of the previous version do not write these two fields.
    reader.optional("failure_domain", failure_domain);
    reader.optional("cores", out.cores);
    if (!problems.empty()) {
        return failure{failure_kind::malformed, to_string(problems.front())};
    }
    out.started_ms = static_cast<std::int64_t>(started);
    out.failure_domain = failure_domain_id(failure_domain);
    return out;
}

store_mirror::store_mirror(boost::asio::io_context& owner, const platform_ports& platform, fleet_state& state,
                           const gateway_settings& settings)
    : context(owner), ports(platform), fleet(state), configured(settings), feed_timer(owner),
      deferred_timer(owner), removals(settings.registry_heartbeat)
{
}

void store_mirror::start()
{
    this->ports.store->on_era = [this](std::uint64_t era_start) { this->observe_era(era_start); };
    start_coroutine(this->context, [this](yield_context yield) { this->run(yield); });
}

void store_mirror::stop()
{
    this->stopped = true;
    this->ports.store->on_era = nullptr; // the store client may outlive this object
    this->deferred_timer.cancel();
}

void store_mirror::observe_era(std::uint64_t era_start)
{
    if (era_start <= this->present_era) {
        return;
    }
    this->present_era = era_start;
    this->copy_revision = 0;
    this->deferred.clear(); // what is known is compared with the new copy
    this->deferred_timer.cancel();
    this->awaits_turn = this->has_read && this->may_become_manager && !this->may_become_manager();
    this->history_known = false;
    log(this->has_read ? log_level::warning : log_level::info,
        this->has_read ? "store returned from an older copy; reading the whole store"
                       : "store has returned from an older copy before",
        {{"era", era_number(era_start)}, {"revision", static_cast<std::int64_t>(this->seen_revision)}});
    this->feed_expires = {};
    this->feed_timer.cancel();
    if (this->on_new_era) {
        this->on_new_era();
    }
}

void store_mirror::wait_for_turn(yield_context yield)
{
    if (!std::exchange(this->awaits_turn, false)) {
        return;
    }
    const auto items = this->fleet.targets().size() + this->fleet.peers().size();
    const auto pages = 1 + items / items_per_page;
    const auto delay = spread_delay(this->fleet.self.str(), this->fleet.daemons(steady_clock::now()),
                                    static_cast<double>(pages), this->configured.store.reads_per_s);
    if (delay > milliseconds(0)) {
        http::pause(delay, yield);
    }
}

bool store_mirror::reachable(time_point now) const
{
    return this->has_read && now - this->contact < unreachable_timeout;
}

void store_mirror::run(yield_context yield)
{
    auto retry = min_retry_pause;
    while (!this->stopped) {
        const bool fed_by_peer = this->history_known && this->feed_active(steady_clock::now());
        if (std::exchange(this->feed_was_active, fed_by_peer) != fed_by_peer) {
            log(log_level::info,
                fed_by_peer ? "receiving store changes from the manager" : "watching the store",
                {{"revision", static_cast<std::int64_t>(this->seen_revision)}});
        }
        if (fed_by_peer) {
            this->wait_for_feed_change(yield);
            continue;
        }
        this->wait_for_turn(yield);
        // After a failed watch the next one continues where it ended. Reading the whole store instead would
        // let all daemons of a large fleet do so at the same moment, after each interruption.
        if (this->history_known ? this->watch_once(yield) : this->read_all(yield)) {
            retry = min_retry_pause;
            continue;
        }
        http::pause(retry, yield);
        retry = std::min(retry * 2, max_retry_pause);
    }
}

bool store_mirror::feed_active(time_point now) const
{
    return now < this->feed_expires && !(this->needs_changes_at_once && this->needs_changes_at_once());
}

void store_mirror::wait_for_feed_change(yield_context yield)
{
    this->feed_timer.expires_at(this->feed_expires);
    boost::system::error_code ignored; // the caller checks the state again, however the wait ended
    this->feed_timer.async_wait(yield[ignored]);
}

std::optional<change_notice> store_mirror::compose_notice(time_point now) const
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - this->contact);
    const bool earlier_era = era_start(this->seen_revision) != this->present_era;
    if (!this->has_read || age > max_notice_age || earlier_era) {
        return std::nullopt;
    }
    return change_notice{this->fleet.self, this->seen_revision, this->seen_revision, age, {}};
}

void store_mirror::accept_notice(const change_notice& notice)
{
    const auto now = steady_clock::now();
    if (!this->has_read || notice.revision < this->seen_revision || notice.age > max_notice_age) {
        return;
    }
    if (const auto era = era_start(notice.revision); era != this->present_era) {
        if (era > this->present_era && this->history_known && now >= this->next_second_hand) {
            log(log_level::info, "another daemon tells of a newer era of the store; reading the whole store",
                {{"daemon", notice.daemon.str()}, {"era", era_number(era)}});
            this->next_second_hand = now + second_hand_interval;
            this->awaits_turn = this->may_become_manager && !this->may_become_manager();
            this->history_known = false;
            this->feed_expires = {};
            this->feed_timer.cancel();
        }
        return;
    }
    if (notice.after > this->seen_revision) {
        // A notice was lost, or a change was too large for a notice.
        this->feed_expires = {};
        this->feed_timer.cancel();
        return;
    }
    this->removals.on_answer(now - notice.age - this->contact, now);
    this->record_contact(std::max(this->contact, now - notice.age));
    const auto before = std::exchange(this->seen_revision, notice.revision);
    bool changed = false;
    for (const auto& event : notice.events) {
        if (event.revision > before) {
            this->apply(event, now);
            changed = true;
        }
    }
    const bool candidate = !this->may_become_manager || this->may_become_manager();
    const auto& bounds = this->configured.bounds;
    this->feed_expires =
        now + feed_patience(candidate, std::min(bounds.drain, bounds.config_apply), hang_detection);
    if (changed && this->on_change) {
        this->on_change();
    }
}

bool store_mirror::read_all(yield_context yield)
{
    const auto sent = steady_clock::now();
    const auto timeout = read_timeout * (1U << std::min(this->read_failures, max_timeout_doublings));
    auto snapshot = this->ports.store->read("", sent + timeout, yield);
    const auto now = steady_clock::now();
    if (failed(snapshot)) {
        ++this->read_failures;
        this->record_failure(error(snapshot));
        return false;
    }
    this->read_failures = 0;
    this->awaits_turn = false;
    this->record_contact(now);
    this->history_known = true;
    if (this->has_read && value(snapshot).revision < this->seen_revision) {
        return true; // notices have meanwhile brought later changes
    }
    if (this->copy_revision == 0 && this->present_era != 0) {
        this->copy_revision = value(snapshot).revision;
        if (this->has_read) {
            ++this->reads_for_era;
            this->removals.on_older_copy(now);
        }
    }
    this->apply_snapshot(value(snapshot), now);
    this->seen_revision = value(snapshot).revision;
    if (!std::exchange(this->has_read, true)) {
        log(log_level::info, "store read",
            {{"targets", static_cast<std::int64_t>(this->fleet.targets().size())},
             {"daemons", static_cast<std::int64_t>(this->fleet.peers().size())},
             {"revision", static_cast<std::int64_t>(this->seen_revision)}});
    }
    if (this->on_change) {
        this->on_change();
    }
    return true;
}

void store_mirror::apply_snapshot(const store_snapshot& snapshot, time_point now)
{
    this->deferred.clear();
    std::set<std::string> present;
    for (const auto& item : snapshot.items) {
        present.insert(item.key);
        const store_event event{item.key, item.value, item.revision};
        if (!this->defer(event, now)) {
            this->apply(event, now);
        }
    }
    // Keys that are known but not in the snapshot were removed while this daemon did not watch.
    std::vector<std::string> known_keys;
    for (const auto& [instance, state] : this->fleet.targets()) {
        known_keys.push_back(this->ports.decoder->targets_prefix() + instance.str());
    }
    for (const auto& [daemon, peer] : this->fleet.peers()) {
        known_keys.push_back(own_keys::daemons_prefix + daemon.str());
    }
    known_keys.emplace_back(own_keys::manager);
    known_keys.insert(known_keys.end(), this->crash_records.begin(), this->crash_records.end());
    for (const auto& key : known_keys) {
        if (present.count(key) == 0) {
            this->apply({key, std::nullopt, snapshot.revision}, now);
        }
    }
    std::set<std::string> drained;
    const auto drained_prefix = this->ports.decoder->drained_domains_prefix();
    for (const auto& key : present) {
        if (starts_with(key, drained_prefix) && this->deferred.count(key) == 0) {
            drained.insert(key);
        }
    }
    for (const auto& key : this->drained_keys) {
        if (present.count(key) == 0 && this->defer({key, std::nullopt, this->copy_revision}, now)) {
            drained.insert(key);
        }
    }
    std::set<failure_domain_id> domains;
    for (const auto& key : drained) {
        domains.emplace(key.substr(drained_prefix.size()));
    }
    this->drained_keys = std::move(drained);
    this->fleet.update_drained_domains(std::move(domains));
    this->schedule_deferred();
}

bool store_mirror::defer(const store_event& event, time_point now)
{
    const bool follows_copy = this->has_read && this->copy_revision != 0;
    if (!follows_copy || event.revision > this->copy_revision) {
        return false;
    }
    const auto& decoder = *this->ports.decoder;
    std::optional<time_point> until;
    if (starts_with(event.key, decoder.targets_prefix())) {
        const instance_id id(event.key.substr(decoder.targets_prefix().size()));
        until = this->fleet.find_target(id) != nullptr ? this->removals.keep_until(now)
                                                       : this->removals.hold_until(now);
    } else if (starts_with(event.key, decoder.drained_domains_prefix())) {
        const bool known = this->drained_keys.count(event.key) != 0;
        until = known == event.value.has_value() ? std::nullopt : this->removals.keep_until(now);
    }
    if (until) {
        this->deferred[event.key] = {event, *until};
    }
    return until.has_value();
}

void store_mirror::apply_deferred()
{
    const auto now = steady_clock::now();
    std::vector<store_event> due;
    for (const auto& [key, change] : this->deferred) {
        if (now >= change.until) {
            due.push_back(change.event);
        }
    }
    for (const auto& event : due) {
        this->apply(event, now);
    }
    if (!due.empty()) {
        log(log_level::info, "content of the store's copy that nobody wrote again is in force",
            {{"entries", static_cast<std::int64_t>(due.size())}, {"era", era_number(this->present_era)}});
        if (this->on_change) {
            this->on_change();
        }
    }
    this->schedule_deferred();
}

void store_mirror::schedule_deferred()
{
    auto next = time_point::max();
    for (const auto& [key, change] : this->deferred) {
        next = std::min(next, change.until);
    }
    if (this->stopped || next == time_point::max()) {
        return;
    }
    this->deferred_timer.expires_at(next);
    this->deferred_timer.async_wait([this](const boost::system::error_code& code) {
        if (!code) {
            this->apply_deferred();
        }
    });
}

bool store_mirror::watch_once(yield_context yield)
{
    const auto deadline = steady_clock::now() + watch_wait + watch_response_margin;
    auto changes = this->ports.store->watch("", this->seen_revision, watch_wait, deadline, yield);
    const auto now = steady_clock::now();
    if (failed(changes)) {
        this->record_failure(error(changes));
        return false;
    }
    this->record_contact(now);
    // Notices may have brought some of these changes during the watch.
    auto& events = value(changes).events;
    const auto before = this->seen_revision;
    events.erase(std::remove_if(events.begin(), events.end(),
                                [&](const store_event& event) { return event.revision <= before; }),
                 events.end());
    for (const auto& event : events) {
        this->apply(event, now);
    }
    this->seen_revision = std::max(before, value(changes).revision);
    if (!events.empty()) {
        if (this->on_store_changes) {
            this->on_store_changes(split_changes(before, this->seen_revision, events));
        }
        if (this->on_change) {
            this->on_change();
        }
        const bool at_once = !this->needs_changes_at_once || this->needs_changes_at_once();
        const auto& bounds = this->configured.bounds;
        const auto max_staleness = std::min(bounds.drain, bounds.config_apply);
        this->feed_timer.expires_after(at_once ? manager_batch_pause
                                               : coalescing_delay(max_staleness, hang_detection));
        boost::system::error_code ignored; // a notice after a gap ends the pause early
        this->feed_timer.async_wait(yield[ignored]);
    }
    return true;
}

void store_mirror::record_failure(const failure& reason)
{
    if (reason.kind == failure_kind::stale) {
        // The store answers, but has compacted its history. Target entries may have expired in the gap.
        if (std::exchange(this->history_known, false)) {
            log(log_level::info,
                "store no longer has the history since the last watch; reading the whole store",
                {context_field(reason)});
        }
        return;
    }
    if (this->was_reachable) {
        log(log_level::warning, "store call failed; retrying", {kind_field(reason), context_field(reason)});
    }
    this->was_reachable = false;
}

void store_mirror::record_contact(time_point now)
{
    if (!this->was_reachable) {
        this->removals.on_answer(now - this->contact, now);
        log(log_level::info, "store answers again",
            {{"silent_ms", std::chrono::duration_cast<milliseconds>(now - this->contact).count()}});
    }
    const bool returned = !std::exchange(this->was_reachable, true);
    this->contact = now;
    if (returned && this->on_store_return) {
        this->on_store_return();
    }
}

void store_mirror::apply(const store_event& event, time_point now)
{
    this->deferred.erase(event.key);
    const auto& decoder = *this->ports.decoder;
    if (event.key == decoder.config_key()) {
        this->apply_config(event);
    } else if (starts_with(event.key, decoder.targets_prefix())) {
        this->apply_target(event.key.substr(decoder.targets_prefix().size()), event, now);
    } else if (starts_with(event.key, decoder.drained_domains_prefix())) {
        const failure_domain_id domain(event.key.substr(decoder.drained_domains_prefix().size()));
        this->fleet.update_drained_domain(domain, event.value.has_value());
        if (event.value) {
            this->drained_keys.insert(event.key);
        } else {
            this->drained_keys.erase(event.key);
        }
        log(log_level::info, event.value ? "failure domain drained" : "failure domain in service",
            {{"failure_domain", domain.str()}, {"revision", static_cast<std::int64_t>(event.revision)}});
    } else if (starts_with(event.key, own_keys::daemons_prefix)) {
        this->apply_daemon(event.key.substr(std::string(own_keys::daemons_prefix).size()), event);
    } else if (starts_with(event.key, own_keys::crashes_prefix)) {
        this->apply_crash_record(event);
    } else if (event.key == own_keys::manager) {
        this->current_manager =
            event.value ? std::optional(manager_record{*event.value, event.revision}) : std::nullopt;
    }
}

void store_mirror::apply_crash_record(const store_event& event)
{
    if (event.value) {
        this->crash_records.insert(event.key);
    } else {
        this->crash_records.erase(event.key);
    }
    if (this->on_crash_record) {
        this->on_crash_record(event.key, event.value);
    }
}

void store_mirror::apply_config(const store_event& event)
{
    if (!event.value) {
        return;
    }
    auto decoded = this->ports.decoder->decode_config(*event.value);
    if (failed(decoded)) {
        log(log_level::error, "configuration from the store is malformed; keeping the previous one",
            {context_field(error(decoded))});
        return;
    }
    const auto version = value(decoded)->version();
    const bool requires_key = value(decoded)->requires_key();
    if (this->fleet.update_config(value(std::move(decoded)))) {
        log(log_level::info, "configuration in force",
            {{"version", static_cast<std::int64_t>(version)},
             {"requires_key", requires_key},
             {"revision", static_cast<std::int64_t>(event.revision)}});
    }
}

void store_mirror::apply_target(const std::string& instance, const store_event& event, time_point now)
{
    const instance_id id(instance);
    if (!event.value) {
        const auto keep = this->removals.keep_until(now);
        log(log_level::info, "target entry removed",
            {{"target", instance}, {"kept_for_now", keep.has_value()}});
        this->fleet.destroy_target(id, now, keep);
        return;
    }
    auto decoded = this->ports.decoder->decode_target(instance, *event.value);
    if (failed(decoded)) {
        ++this->fleet.stats.malformed_entries;
        log(log_level::warning, "target entry is malformed; removing the target",
            {{"target", instance}, context_field(error(decoded))});
        this->fleet.destroy_target(id, now, std::nullopt);
        return;
    }
    const auto* before = this->fleet.find_target(id);
    auto& entry = value(decoded);
    entry.revision = event.revision;
    const bool changed = before == nullptr || before->entry.draining != entry.draining ||
                         before->entry.started_ms != entry.started_ms;
    if (changed) {
        // In a large fleet each of the daemons learns of each target, so a usual registration is no event.
        const bool notable = before != nullptr || entry.draining;
        log(notable ? log_level::info : log_level::debug, "target entry registered",
            {{"target", instance},
             {"service", entry.service.str()},
             {"failure_domain", entry.failure_domain.str()},
             {"fabric", entry.fabric.str()},
             {"draining", entry.draining},
             {"started_ms", entry.started_ms}});
    }
    this->fleet.update_target(value(std::move(decoded)), now);
}

void store_mirror::apply_daemon(const std::string& name, const store_event& event)
{
    const daemon_id daemon(name);
    if (!event.value) {
        this->fleet.destroy_peer(daemon);
        return;
    }
    const auto decoded = decode_daemon_entry(*event.value);
    if (failed(decoded)) {
        log(log_level::warning, "daemon entry is malformed; ignored",
            {{"daemon", name}, context_field(error(decoded))});
        return;
    }
    this->fleet.update_peer(daemon, value(decoded));
}

} // namespace rml::gateway
