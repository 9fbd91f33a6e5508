/// Mirrors the platform's store: configuration, targets, drained failure domains, daemons and the holder of
/// the manager lease. One watch over the whole store costs one call per batch of changes.
#pragma once

#include "base/time.hpp"
#include "decision/removal_grace.hpp"
#include "gateway/change_notice.hpp"
#include "gateway/fleet_state.hpp"
#include "gateway/ports.hpp"
#include "gateway/settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rml::gateway {

/// Keys that the daemons write.
namespace own_keys {
constexpr const char* daemons_prefix = "rml/daemon/";
constexpr const char* manager = "rml/manager";
constexpr const char* crashes_prefix = "rml/crash/";
} // namespace own_keys

std::string encode_daemon_entry(const daemon_entry& entry);
/// Fails with `malformed`.
result<daemon_entry> decode_daemon_entry(std::string_view bytes);

/// Holder of the manager lease, as stored.
struct manager_record
{
    std::string holder; ///< daemon and its incarnation
    std::uint64_t revision{0};
};

class store_mirror
{
public:
    /// Keeps a reference to `settings`, so that reloaded bounds take effect.
    store_mirror(boost::asio::io_context& context, const platform_ports& ports, fleet_state& fleet,
                 const gateway_settings& settings);

    /// Starts watching; runs until stop().
    void start();
    void stop();

    /// True once the whole store has been read.
    bool complete() const { return this->has_read; }
    /// Time of the last answer of the store.
    time_point last_contact() const { return this->contact; }
    bool reachable(time_point now) const;
    /// Store revision up to which all changes are known.
    std::uint64_t revision() const { return this->seen_revision; }
    /// Position at which the present era of the store began.
    std::uint64_t era() const { return this->present_era; }
    /// Number of reads of the whole store because of a new era.
    std::uint64_t era_reads() const { return this->reads_for_era; }
    const std::optional<manager_record>& manager() const { return this->current_manager; }

    /// Applies changes that another daemon forwards. While notices arrive without a gap, this daemon does not
    /// call the store.
    void accept_notice(const change_notice& notice);
    /// Ends a wait for notices or for a batch of changes, for example because this daemon became the manager.
    void watch_now() { this->feed_timer.cancel(); }
    /// A notice without changes that only carries the revision known here; empty when the last contact with
    /// the store is too old.
    std::optional<change_notice> compose_notice(time_point now) const;

    /// True for the manager, which needs each change at once and watches the store itself; other daemons
    /// batch changes.
    std::function<bool()> needs_changes_at_once;
    /// Whether this daemon is among the first candidates for the manager lease; true if not set.
    std::function<bool()> may_become_manager;
    /// Called with each batch of changes that a watch returned, to forward them to the other daemons.
    std::function<void(const std::vector<change_notice>&)> on_store_changes;
    /// Called with each record below `own_keys::crashes_prefix`; no value: it was removed.
    std::function<void(const std::string& key, const std::optional<std::string>& value)> on_crash_record;
    /// Called when the store answers again after it could not be reached.
    std::function<void()> on_store_return;
    /// Called once for each newer era that an answer of the store shows, before the store is read again.
    std::function<void()> on_new_era;
    /// Called after each batch of changes.
    std::function<void()> on_change;

private:
    void run(yield_context yield);
    /// Whether another daemon forwards all changes and this one need not watch the store.
    bool feed_active(time_point now) const;
    void wait_for_feed_change(yield_context yield);
    /// Spreads the reads of a new era over the daemons that do not become the manager soon.
    void wait_for_turn(yield_context yield);
    /// An answer of the store shows the era that began at this position.
    void observe_era(std::uint64_t era_start);
    bool read_all(yield_context yield);
    void apply_snapshot(const store_snapshot& snapshot, time_point now);
    /// Whether the item waits because it may be no newer than what is known; remembers it in that case.
    bool defer(const store_event& event, time_point now);
    /// Applies what has waited long enough.
    void apply_deferred();
    void schedule_deferred();
    bool watch_once(yield_context yield);
    void apply(const store_event& event, time_point now);
    void apply_config(const store_event& event);
    void apply_crash_record(const store_event& event);
    void apply_target(const std::string& instance, const store_event& event, time_point now);
    void apply_daemon(const std::string& name, const store_event& event);
    void record_failure(const failure& reason);
    void record_contact(time_point now);

    boost::asio::io_context& context;
    const platform_ports& ports;
    fleet_state& fleet;
    const gateway_settings& configured;
    bool stopped{false};
    bool has_read{false};
    bool history_known{false}; ///< all changes up to `seen_revision` are known, so that a watch can follow
    std::uint32_t read_failures{0}; ///< in a row
    std::uint64_t seen_revision{0};
    std::uint64_t present_era{0};   ///< of the newest answer of the store
    std::uint64_t copy_revision{0}; ///< of the first read of the present era; what is newer is no copy
    std::uint64_t reads_for_era{0};
    bool awaits_turn{false}; ///< the next read of the whole store is one of many at the same moment
    time_point next_second_hand{};
    time_point contact{};
    bool was_reachable{true};
    time_point feed_expires{}; ///< end of the time that the last notice covers
    bool feed_was_active{false};
    boost::asio::steady_timer feed_timer;
    boost::asio::steady_timer deferred_timer;
    /// Content of a copy that does not replace what is known yet, by key.
    struct deferred_change
    {
        store_event event;
        time_point until{};
    };
    std::map<std::string, deferred_change> deferred;
    removal_grace removals;
    std::optional<manager_record> current_manager;
    std::set<std::string> crash_records; ///< keys
    std::set<std::string> drained_keys;  ///< of the failure domains that are out of service
};

} // namespace rml::gateway
