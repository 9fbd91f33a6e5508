#include "gateway/crash_guard.hpp"

#include "base/log.hpp"
#include "http/pause.hpp"

#include <algorithm>
#include <sstream>

namespace rml::gateway {

namespace {

/// A target that runs accepts a connection within a few round trips. Shorter than the time in which a
/// stopping daemon answers its last requests.
constexpr milliseconds check_timeout{250};
/// Pause between two looks at a check that another request has begun.
constexpr milliseconds check_poll{10};
/// Lost runs are remembered for requests in flight there whose connections break later.
constexpr seconds lost_run_lifetime{10};
constexpr seconds resend_interval{1};
/// Time after which the next daemon may start a trial of the same part: a report that a trial has started
/// arrives within it. The last of many daemons waits for the spread.
constexpr milliseconds trial_step{40};
constexpr milliseconds trial_spread{300};
/// Keeps a report with evidence within one datagram: a row has about 200 bytes.
constexpr std::size_t max_report_rows = 64;
constexpr std::size_t max_reported_trials = 256;
/// Interval of the log lines on changed verdicts.
constexpr milliseconds verdict_log_interval{250};
/// Fingerprints whose verdict is followed for the log.
constexpr std::size_t max_logged_verdicts = 256;

std::string hex(request_fingerprint print)
{
    std::ostringstream out;
    out << std::hex << print.value;
    return out.str();
}

std::string_view kind_of(bool part)
{
    return part ? "prompt part" : "request";
}

} // namespace

std::vector<request_fingerprint> shared_prompt_parts(std::string_view text)
{
    std::vector<request_fingerprint> out;
    for (auto comma = text.find(','); comma != std::string_view::npos && out.size() < limits::crash_parts;
         comma = text.find(',')) {
        const auto entry = text.substr(0, comma);
        out.push_back(make_part_fingerprint(entry.substr(0, entry.find(':'))));
        text.remove_prefix(comma + 1);
    }
    return out;
}

crash_guard::crash_guard(fleet_state& state, target::connection_pool& pool, metric_registry& registry)
    : fleet(state), connections(pool),
      losses(registry.create_counter("rml_crash_losses_total", "Targets lost with requests in flight")),
      refusals(registry.create_counter("rml_crash_refusals_total",
                                       "Sends refused because the request would crash its target"))
{
}

group_run crash_guard::run_of(const target_entry& target)
{
    return {group_id(target.instance.str()), static_cast<std::uint64_t>(target.started_ms), target.fabric,
            target.failure_domain};
}

bool crash_guard::trial_running(const crash_features& features, time_point now) const
{
    const auto carried = [&](std::uint64_t print) {
        return print == features.whole.value ||
               std::any_of(features.parts.begin(), features.parts.end(),
                           [&](request_fingerprint part) { return part.value == print; });
    };
    const bool own = std::any_of(this->trials.begin(), this->trials.end(), [&](const auto& entry) {
        return std::any_of(entry.second.prints.begin(), entry.second.prints.end(), carried);
    });
    return own || std::any_of(this->fleet.peers().begin(), this->fleet.peers().end(), [&](const auto& entry) {
               const auto& [daemon, peer] = entry;
               return daemon != this->fleet.self && this->fleet.live(peer, now) &&
                      std::any_of(peer.last_report.crash_trials.begin(), peer.last_report.crash_trials.end(),
                                  carried);
           });
}

bool crash_guard::trial_turn(const crash_features& features, request_fingerprint suspect,
                             time_point now) const
{
    const auto loss = this->attribution.latest_loss(features);
    const auto share = this->fleet.share_for(instance_id(hex(suspect)), now);
    const auto step = std::min<duration>(trial_step, trial_spread / static_cast<int>(share.daemons));
    return now >= loss + limits::classification_delay + step * static_cast<int>(share.rank);
}

send_permission crash_guard::check(const crash_features& features, time_point now) const
{
    const auto found = this->attribution.find_worst(features, now);
    switch (found.verdict) {
    case crash_verdict::run:
        return send_permission::allowed;
    case crash_verdict::trial:
        return this->trial_turn(features, found.fingerprint, now) && !this->trial_running(features, now)
                   ? send_permission::trial
                   : send_permission::later;
    case crash_verdict::hold:
        return send_permission::later;
    case crash_verdict::refuse:
    case crash_verdict::blocked:
        break;
    }
    return send_permission::refused;
}

send_permission crash_guard::request_send(std::uint64_t request, const crash_features& features,
                                          time_point now)
{
    const auto permission = this->check(features, now);
    if (permission == send_permission::trial) {
        auto& prints = this->trials[request].prints;
        for (const auto suspect : this->attribution.find_suspects(features, now)) {
            prints.push_back(suspect.value);
        }
        if (this->on_change) {
            this->on_change();
        }
    }
    return permission;
}

std::string crash_guard::describe_suspect(const crash_features& features, time_point now) const
{
    const auto found = this->attribution.find_worst(features, now);
    auto text = "request " + hex(features.whole);
    if (found.part) {
        text = "prompt part " + hex(found.fingerprint) + " of " + text;
    }
    return text;
}

void crash_guard::end_trial(std::uint64_t request)
{
    const auto found = this->trials.find(request);
    if (found == this->trials.end()) {
        return;
    }
    if (const auto& target = found->second.target) {
        this->trial_targets.erase(this->trial_targets.find(*target));
    }
    this->trials.erase(found);
    if (this->on_change) {
        this->on_change();
    }
}

std::uint64_t crash_guard::begin(std::uint64_t request, const crash_features& features,
                                 const target_entry& target)
{
    const auto ticket = this->next_ticket++;
    const auto trial = this->trials.find(request);
    // A standby attempt of the same request is not a trial.
    const bool on_trial = trial != this->trials.end() && !trial->second.target;
    if (on_trial) {
        trial->second.target = target.instance;
        this->trial_targets.insert(target.instance);
    }
    this->attribution.begin(ticket, features, run_of(target), on_trial, steady_clock::now());
    return ticket;
}

void crash_guard::record_progress(std::uint64_t ticket, time_point now)
{
    const auto [entry, first] = this->progress.try_emplace(ticket, answer_progress{now, false});
    if (!first && !entry->second.continued) {
        entry->second.continued = true;
        this->apply(this->attribution.answer_continued(ticket, entry->second.began, now));
    }
}

void crash_guard::end(std::uint64_t ticket, bool answered, time_point now)
{
    this->progress.erase(ticket);
    this->apply(this->attribution.end(ticket, answered, now));
}

void crash_guard::record_loss(const target_entry& target, time_point at)
{
    this->apply(this->attribution.group_lost(run_of(target), at, steady_clock::now()));
}

void crash_guard::end_broken(std::uint64_t ticket, const target_entry& target, time_point deadline,
                             boost::asio::yield_context yield)
{
    const auto at = steady_clock::now();
    const target_run run{target.instance, target.started_ms};
    const auto limit = std::min(at + check_timeout, deadline);
    while (this->being_checked.count(run) != 0 && steady_clock::now() < limit) {
        http::pause(check_poll, yield);
    }
    if (const auto found = this->lost.find(run); found != this->lost.end()) {
        this->progress.erase(ticket);
        return this->record_loss(target, found->second);
    }
    this->being_checked.insert(run);
    const auto opened = this->connections.open(target.address, limit, yield);
    this->being_checked.erase(run);
    // Other failures, such as a timeout, may come from the network.
    if (failed(opened) && error(opened).kind == failure_kind::connection_refused) {
        log(log_level::warning, "target lost with requests in flight", {{"target", target.instance.str()}});
        this->losses.add();
        this->lost[run] = at;
        this->progress.erase(ticket);
        return this->record_loss(target, at);
    }
    this->end(ticket, false, steady_clock::now());
}

void crash_guard::tick(time_point now)
{
    this->apply(this->attribution.poll(now));
    if (now >= this->verdicts_logged_at + verdict_log_interval) {
        this->verdicts_logged_at = now;
        this->log_verdicts(now);
    }
    for (auto entry = this->lost.begin(); entry != this->lost.end();) {
        entry = now >= entry->second + lost_run_lifetime ? this->lost.erase(entry) : std::next(entry);
    }
}

void crash_guard::apply(const crash_changes& changes)
{
    for (const auto& notice : changes.notices) {
        this->unsent[notice.fingerprint.value] = notice;
        if (this->logged.size() < max_logged_verdicts) {
            this->logged.try_emplace(notice.fingerprint.value, logged_verdict{notice.part});
        }
    }
    if (!changes.notices.empty() && this->on_change) {
        this->on_change();
    }
}

void crash_guard::log_verdicts(time_point now)
{
    for (auto entry = this->logged.begin(); entry != this->logged.end();) {
        const request_fingerprint print{entry->first};
        auto& [part, before] = entry->second;
        auto verdict = part ? this->attribution.check_features({{}, {print}}, now)
                            : this->attribution.check_features({print, {}}, now);
        verdict = verdict == crash_verdict::refuse ? crash_verdict::blocked : verdict;
        if (verdict == crash_verdict::hold) {
            ++entry; // not classified yet
            continue;
        }
        if (verdict != before) {
            const auto* text = verdict == crash_verdict::blocked ? "blocked, it crashes targets"
                               : verdict == crash_verdict::trial ? "suspected of crashing targets"
                                                                 : "cleared";
            log(verdict == crash_verdict::run ? log_level::info : log_level::warning, text,
                {{"fingerprint", hex(print)}, {"kind", std::string(kind_of(part))}});
            before = verdict;
        }
        entry = verdict == crash_verdict::run ? this->logged.erase(entry) : std::next(entry);
    }
}

void crash_guard::add_trials(peer_report& report) const
{
    for (const auto& [request, trial] : this->trials) {
        const auto& prints = trial.prints;
        const auto room = max_reported_trials - report.crash_trials.size();
        report.crash_trials.insert(report.crash_trials.end(), prints.begin(),
                                   prints.begin() +
                                       static_cast<std::ptrdiff_t>(std::min(room, prints.size())));
    }
}

void crash_guard::add_evidence(peer_report& report, time_point now)
{
    while (!this->unsent.empty() && report.crashes.size() < max_report_rows) {
        report.crashes.push_back(this->unsent.begin()->second);
        this->unsent.erase(this->unsent.begin());
    }
    if (now >= this->resent_at + resend_interval && this->resend.empty()) {
        this->resend = this->attribution.notices(now);
        this->resent_at = now;
    }
    while (!this->resend.empty() && report.crashes.size() < max_report_rows) {
        report.crashes.push_back(this->resend.back());
        this->resend.pop_back();
    }
}

void crash_guard::restore(const crash_notice& notice, time_point now)
{
    this->attribution.apply(notice, now);
    if (this->logged.size() < max_logged_verdicts) {
        this->logged.try_emplace(notice.fingerprint.value, logged_verdict{notice.part});
    }
}

void crash_guard::accept(const peer_report& report, time_point now)
{
    for (const auto& notice : report.crashes) {
        this->attribution.apply(notice, now);
    }
}

} // namespace rml::gateway
