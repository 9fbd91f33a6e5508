/// Keeps requests that crash targets from reaching one target after the other: decides before each send
/// whether the request may be sent, and attributes losses of targets to the requests that were in flight
/// there. `decision/crash_attribution` judges the evidence, which the daemons exchange in their reports.
#pragma once

#include "base/metrics.hpp"
#include "decision/crash_attribution.hpp"
#include "gateway/fleet_state.hpp"
#include "target/connection_pool.hpp"

#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rml::gateway {

/// Fingerprints of the parts that `text` lists as `id:tokens,id:tokens,...`, without the last one, which
/// belongs to one request. At most `limits::crash_parts`, the first ones.
std::vector<request_fingerprint> shared_prompt_parts(std::string_view text);

enum class send_permission
{
    allowed,
    trial,   ///< allowed alone; `begin` has to follow, or `end_trial`
    later,   ///< not classified yet, or a trial of the same request or part is running
    refused, ///< would crash its target
};

class crash_guard
{
public:
    crash_guard(fleet_state& fleet, target::connection_pool& connections, metric_registry& registry);

    /// Whether the request may be sent now. After `trial` neither the same request nor another one with one
    /// of its suspected parts is allowed until `end_trial`.
    send_permission request_send(std::uint64_t request, const crash_features& features, time_point now);
    /// Like `request_send`, without starting a trial.
    send_permission check(const crash_features& features, time_point now) const;
    /// Text for the log on a request that is not allowed: its fingerprint and the suspected part, if it is a
    /// part.
    std::string describe_suspect(const crash_features& features, time_point now) const;
    /// Counts a request that was refused because it would crash its target.
    void record_refusal() { this->refusals.add(); }
    /// Whether a request on trial is in flight at the target, so that the loss of the target would not tell
    /// whether another one there crashed it.
    bool has_trial(const instance_id& target) const { return this->trial_targets.count(target) != 0; }
    /// Ends the trial of the request, if it holds one.
    void end_trial(std::uint64_t request);

    /// The request is about to be sent to the target, as a trial if it holds one. Returns a ticket for the
    /// attempt.
    std::uint64_t begin(std::uint64_t request, const crash_features& features, const target_entry& target);
    /// Whole events of the answer arrived.
    void record_progress(std::uint64_t ticket, time_point now);
    /// The attempt ended without a broken connection. `answered`: with a complete answer of the target.
    void end(std::uint64_t ticket, bool answered, time_point now);
    /// The connection to the target broke before the answer was complete. Connects to the target, and counts
    /// it as lost if it refuses the connection. Returns when that is known, at the latest at `deadline`.
    void end_broken(std::uint64_t ticket, const target_entry& target, time_point deadline,
                    boost::asio::yield_context yield);

    /// Decides on losses. To be called every 50 ms.
    void tick(time_point now);

    /// Adds the running trials to a report.
    void add_trials(peer_report& report) const;
    /// Adds evidence to a report that goes to all daemons: what has changed since the last such report, and
    /// everything once a second in turns.
    void add_evidence(peer_report& report, time_point now);
    /// Applies the evidence of another daemon.
    void accept(const peer_report& report, time_point now);

    /// Evidence that is to outlast the daemons, at most `limits::archived_crash_records` notices.
    std::vector<crash_notice> established(time_point now) const { return this->attribution.established(now); }
    /// Applies evidence that has outlasted the daemons.
    void restore(const crash_notice& notice, time_point now);

    /// Called when evidence has changed, or a trial has started or ended.
    std::function<void()> on_change;

private:
    /// One run of a target.
    using target_run = std::pair<instance_id, std::int64_t>;

    struct answer_progress
    {
        time_point began{};
        bool continued{false};
    };

    struct running_trial
    {
        std::vector<std::uint64_t> prints; ///< of the suspected parts, and of the request if suspected
        std::optional<instance_id> target; ///< set once the request is sent
    };
    struct logged_verdict
    {
        bool part{false};
        crash_verdict verdict{crash_verdict::run};
    };

    static group_run run_of(const target_entry& target);
    bool trial_running(const crash_features& features, time_point now) const;
    /// Whether it is this daemon's turn to start a trial. After a loss the daemons with waiting requests
    /// would otherwise all start one at once.
    bool trial_turn(const crash_features& features, request_fingerprint suspect, time_point now) const;
    void apply(const crash_changes& changes);
    void record_loss(const target_entry& target, time_point at);
    /// Logs the fingerprints whose verdict has changed since the last call.
    void log_verdicts(time_point now);

    fleet_state& fleet;
    target::connection_pool& connections;
    crash_attribution attribution;
    std::uint64_t next_ticket{1};
    std::map<std::uint64_t, answer_progress> progress; ///< by ticket
    std::map<std::uint64_t, running_trial> trials;     ///< by request
    std::multiset<instance_id> trial_targets;
    std::map<target_run, time_point> lost; ///< runs found lost, and when
    std::set<target_run> being_checked;
    std::map<std::uint64_t, crash_notice> unsent; ///< changed notices, by fingerprint
    std::vector<crash_notice> resend;             ///< notices left of the current turn
    time_point resent_at{};
    std::map<std::uint64_t, logged_verdict> logged; ///< by fingerprint
    time_point verdicts_logged_at{};

    counter& losses;
    counter& refusals;
};

} // namespace rml::gateway
