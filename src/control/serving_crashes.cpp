#include "control/serving.hpp"

#include "base/limits.hpp"
#include "http/executor.hpp"

#include <boost/asio/spawn.hpp>

namespace rml::control {

namespace {

constexpr milliseconds loss_probe_timeout{400};
} // namespace

void serving::verify_loss(const caller::dispatch_permit& permit, const dispatched_run& run,
                          request_fingerprint fingerprint)
{
    {
        const std::lock_guard guard(this->tables.crashes.mutex);
        ++this->tables.crashes.loss_probes[fingerprint.value];
    }
    // Attempts end as target_lost after a wrong answer as well as after a broken connection. Only a group
    // that is lost can have crashed, so the leader is probed.
    boost::asio::spawn(this->context, [this, permit, run, fingerprint](yield_context yield) {
        const auto probe_sent_at = steady_clock::now();
        const auto report =
            this->engines.read_status(permit.engine, probe_sent_at + loss_probe_timeout, yield);
        const bool alive = succeeded(report) && value(report).incarnation == permit.incarnation;
        const auto now = steady_clock::now();
        std::vector<crash_notice> notices;
        {
            const std::lock_guard guard(this->tables.crashes.mutex);
            auto& crashes = this->tables.crashes;
            notices = alive ? crashes.attribution.end(permit.id, false, now).notices
                            : crashes.attribution.group_lost(run.target, probe_sent_at, now).notices;
            if (--crashes.loss_probes[fingerprint.value] == 0) {
                crashes.loss_probes.erase(fingerprint.value);
            }
        }
        this->publish(notices);
    });
}

void serving::publish(const std::vector<crash_notice>& notices)
{
    for (const auto& notice : notices) {
        this->mailbox.publish_notice(notice);
    }
}

crash_verdict serving::check_crashes(request_fingerprint fingerprint, time_point now) const
{
    const std::lock_guard guard(this->tables.crashes.mutex);
    const auto& crashes = this->tables.crashes;
    return crashes.loss_probes.count(fingerprint.value) != 0 ? crash_verdict::hold
                                                             : crashes.attribution.check(fingerprint, now);
}

void serving::poll_crashes(time_point now)
{
    std::vector<group_run> lost;
    {
        const std::lock_guard guard(this->tables.groups.mutex);
        const auto& evidence = this->tables.groups.evidence;
        std::unordered_map<group_id, std::uint64_t> serving_now;
        for (const auto& [domain, plan] : this->tables.groups.plans) {
            for (const auto& group : plan.plan.groups()) {
                if (evidence.servable(group.id, now)) {
                    serving_now[group.id] = group.epoch;
                    continue;
                }
                const auto before = this->previously_serving.find(group.id);
                // Without probes due, a fresh digest reports that the group does not serve. Stale evidence
                // alone is no loss.
                if (before != this->previously_serving.end() && evidence.probes_due(group.id, now).empty()) {
                    lost.push_back({group.id, before->second, group.fabric, domain});
                }
            }
        }
        this->previously_serving = std::move(serving_now);
    }
    std::vector<crash_notice> notices;
    {
        const std::lock_guard guard(this->tables.crashes.mutex);
        auto& attribution = this->tables.crashes.attribution;
        const auto append_notices = [&](crash_changes changes) {
            notices.insert(notices.end(), changes.notices.begin(), changes.notices.end());
        };
        for (const auto& run : lost) {
            append_notices(attribution.group_lost(run, now, now));
        }
        append_notices(attribution.poll(now));
    }
    this->publish(notices);
}

void serving::apply_notice(const crash_notice& notice, time_point now)
{
    const std::lock_guard guard(this->tables.crashes.mutex);
    this->tables.crashes.attribution.apply(notice, now);
}

} // namespace rml::control
