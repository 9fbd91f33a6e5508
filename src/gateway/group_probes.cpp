#include "gateway/group_manager.hpp"

#include "base/log.hpp"
#include "gateway/coroutine.hpp"
#include "http/pause.hpp"

#include <algorithm>

namespace rml::gateway {

namespace {

/// Delay of the second probe, which uses another connection in case a packet of the first one was lost.
constexpr milliseconds probe_stagger{100};
/// Several daemons report the same stall; the manager probes the group once within this time.
constexpr milliseconds suspect_probe_interval{500};
/// Half the validity of a slowness value, so that a recovered group soon gets its usual share of requests.
constexpr milliseconds slow_probe_interval{1000};
/// Groups with a lower factor are not probed for slowness: step times vary by more than this with load.
constexpr double min_slowness = 1.2;
/// Twice the time in which stalled requests reveal the loss of a member.
constexpr milliseconds absent_probe_interval{1000};
/// An engine that answers again becomes available within a second.
constexpr milliseconds lost_probe_interval{1000};

} // namespace

bool group_manager::is_lost(const target_entry& engine) const
{
    const auto found = this->lost_engines.find(engine.instance);
    return found != this->lost_engines.end() && found->second.started_ms == engine.started_ms;
}

void group_manager::mark_lost(const instance_id& engine, const std::string& reason, time_point now)
{
    const auto* entry = this->fleet.find_entry(engine);
    if (entry == nullptr || this->is_lost(*entry)) {
        return;
    }
    this->lost_engines[engine] = {entry->started_ms, now + lost_probe_interval, false};
    log(log_level::warning, "engine lost", {{"engine", engine.str()}, {"reason", reason}});
}

void group_manager::probe_lost(time_point now)
{
    for (auto& [engine, state] : this->lost_engines) {
        const auto* known = this->fleet.find_entry(engine);
        if (known == nullptr || state.probing || now < state.next_probe) {
            continue;
        }
        state.probing = true;
        start_coroutine(this->context, [this, entry = *known](yield_context yield) {
            this->probes_sent.add();
            const auto report =
                this->ports.engines->report(entry, steady_clock::now() + detail::probe_timeout, yield);
            const auto found = this->lost_engines.find(entry.instance);
            if (found == this->lost_engines.end()) {
                return;
            }
            found->second.probing = false;
            found->second.next_probe = steady_clock::now() + lost_probe_interval;
            if (succeeded(report)) {
                log(log_level::info, "lost engine answers again", {{"engine", entry.instance.str()}});
                this->lost_engines.erase(found);
            }
        });
    }
}

void group_manager::on_suspect(const instance_id& head)
{
    const auto now = steady_clock::now();
    if (this->check_manager_lease(now)) {
        this->stall_detector.on_silence(head, now);
        this->probe_group_once(head, suspect_probe_interval, now);
    }
}

void group_manager::probe_all_groups(time_point now)
{
    // Daemons send no requests to a stalled target, so no daemon may report a member that was lost while
    // there was no manager.
    for (const auto& group : this->fleet.groups()) {
        this->probe_group_once(group.head, suspect_probe_interval, now);
    }
}

void group_manager::probe_slow_groups(time_point now)
{
    for (const auto& [head, factor] : this->slow(now)) {
        this->probe_group_once(head, slow_probe_interval, now);
    }
}

std::map<instance_id, double> group_manager::slow(time_point now) const
{
    std::map<instance_id, double> out;
    for (const auto& group : this->fleet.groups()) {
        const auto* head = this->fleet.find_target(group.head);
        if (head != nullptr && head->slowness_at(now) > min_slowness) {
            out[group.head] = head->slowness_at(now);
        }
    }
    return out;
}

void group_manager::probe_absent_members(time_point now)
{
    for (const auto& [instance, member] : this->fleet.absent_members()) {
        if (this->probe_due(instance, absent_probe_interval, now)) {
            start_coroutine(this->context, [this, copy = member](yield_context yield) {
                this->probe_absent_member(copy, yield);
            });
        }
    }
}

void group_manager::probe_absent_member(const target_entry& member, yield_context yield)
{
    result<engine_report> answer = failure{failure_kind::timeout, "no probe sent"};
    std::vector<std::function<void(yield_context)>> tasks;
    const auto sent = steady_clock::now();
    this->add_probes(member, answer, tasks);
    this->run_all(std::move(tasks), yield);
    if (failed(answer) && this->pauses.paused_since(sent, steady_clock::now())) {
        return; // the next probe follows after the interval
    }
    if (failed(answer)) {
        this->mark_lost(member.instance, "no report: " + error(answer).context, steady_clock::now());
    } else if (const auto& now_in = value(answer).membership; !now_in ||
                                                              now_in->group != member.membership->group ||
                                                              now_in->epoch != member.membership->epoch) {
        log(log_level::info, "absent member has left its group",
            {{"engine", member.instance.str()}, {"group", member.membership->group.str()}});
        this->fleet.destroy_absent_member(member.instance);
    }
    this->tick();
}

void group_manager::add_probes(const target_entry& engine, result<engine_report>& answer,
                               std::vector<std::function<void(yield_context)>>& tasks)
{
    for (const auto delay : {milliseconds(0), probe_stagger}) {
        tasks.emplace_back([this, &answer, delay, entry = engine](yield_context inner) {
            if (delay > milliseconds(0)) {
                http::pause(delay, inner);
            }
            if (succeeded(answer)) {
                return;
            }
            this->probes_sent.add();
            auto got = this->ports.engines->report(entry, steady_clock::now() + detail::probe_timeout, inner);
            if (failed(answer)) {
                answer = std::move(got);
            }
        });
    }
}

bool group_manager::probe_due(const instance_id& engine, milliseconds interval, time_point now)
{
    const auto [found, first] = this->probed.emplace(engine, now);
    if (!first && now - found->second < interval) {
        return false;
    }
    found->second = now;
    return true;
}

void group_manager::remove_expired_probes(time_point now)
{
    constexpr auto longest = std::max({suspect_probe_interval, slow_probe_interval, absent_probe_interval});
    for (auto entry = this->probed.begin(); entry != this->probed.end();) {
        entry = now - entry->second >= longest ? this->probed.erase(entry) : std::next(entry);
    }
}

void group_manager::probe_group_once(const instance_id& head, milliseconds interval, time_point now)
{
    if (this->probe_due(head, interval, now)) {
        start_coroutine(this->context, [this, head](yield_context yield) { this->probe_group(head, yield); });
    }
}

void group_manager::probe_group(const instance_id& head, yield_context yield)
{
    std::optional<served_group> group;
    for (const auto& candidate : this->fleet.groups()) {
        if (candidate.head == head) {
            group = candidate;
        }
    }
    if (!group) {
        return;
    }
    std::vector<std::function<void(yield_context)>> tasks;
    std::map<instance_id, result<engine_report>> answers;
    for (const auto& member : group->members) {
        if (const auto* entry = this->fleet.find_entry(member)) {
            auto& answer =
                answers.emplace(member, failure{failure_kind::timeout, "no probe sent"}).first->second;
            this->add_probes(*entry, answer, tasks);
        }
    }
    const auto sent = steady_clock::now();
    this->run_all(std::move(tasks), yield);
    const auto now = steady_clock::now();
    const bool paused = this->pauses.paused_since(sent, now);
    bool all_answer = true;
    double slowness = 1;
    for (const auto& [member, answer] : answers) {
        if (failed(answer)) {
            all_answer = false;
            if (!paused) {
                this->mark_lost(member, "no report: " + error(answer).context, now);
            }
        } else {
            slowness = std::max(slowness, value(answer).pace);
        }
    }
    this->fleet.update_slowness(head, slowness, now);
    if (paused && !all_answer) {
        log(log_level::info, "repeating the probe of a group",
            {{"head", head.str()}, {"reason", "this process paused"}});
        this->probed[head] = now;
        return start_coroutine(this->context,
                               [this, head](yield_context again) { this->probe_group(head, again); });
    }
    if (all_answer && this->stall_detector.is_stalled(head, slowness, now) &&
        this->fleet.suspected(head, now) && this->endings.count({group->group, group->epoch}) == 0) {
        this->end_group(*group, false, now, "stalled although all members answer probes");
    }
    this->tick();
}

} // namespace rml::gateway
