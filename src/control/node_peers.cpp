#include "control/node.hpp"

#include "base/bounded_cbor.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace rml::control {

void node::item_accepted(const item& accepted)
{
    if (accepted.key == config_item_key) {
        this->on_config_item(accepted);
    } else if (accepted.key.compare(0, 5, "plan/") == 0) {
        this->on_plan_item(accepted);
    } else if (accepted.key.compare(0, 7, "digest/") == 0) {
        this->on_digest_item(accepted);
    } else if (accepted.key.compare(0, 8, "suspect/") == 0) {
        this->on_notice_item(accepted);
    }
}

void node::on_plan_item(const item& accepted)
{
    auto plan = decode_plan(accepted.payload, accepted.version.major);
    if (failed(plan)) {
        log(log_level::error, "cannot decode the plan of a peer; keeping the previous plan",
            {context_field(error(plan))});
        return;
    }
    const std::lock_guard guard(this->tables.groups.mutex);
    const auto domain = value(plan).plan.domain();
    this->tables.groups.evidence.install_plan(value(plan));
    this->tables.groups.plans.insert_or_assign(domain, value(std::move(plan)));
}

void node::on_digest_item(const item& accepted)
{
    const auto published = decode_published_digest(accepted.payload);
    if (failed(published)) {
        log(log_level::warning, "cannot decode the digest of a peer; ignoring it",
            {context_field(error(published))});
        return;
    }
    const failure_domain_id domain(accepted.key.substr(7));
    this->digest_holders[domain] = value(published).holder;
    const std::lock_guard guard(this->tables.groups.mutex);
    this->tables.groups.evidence.apply_digest(domain, value(published).record, steady_clock::now());
}

void node::publish_notice(const crash_notice& notice)
{
    const auto bytes = nlohmann::json::to_cbor(encode_crash_notice(notice));
    const auto now = std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch());
    const item written{"suspect/" + std::to_string(notice.fingerprint.value) + "/" +
                           this->options.daemon.str(),
                       {this->options.incarnation, static_cast<std::uint64_t>(now.count())},
                       item_class::transient,
                       {bytes.begin(), bytes.end()}};
    boost::asio::post(this->strand, [this, written] { this->peers.publish(written); });
}

void node::on_notice_item(const item& accepted)
{
    // The item only transports the notice; the crash attribution stores it in a bounded table.
    this->peers.destroy(accepted.key);
    const auto notice = decode_crash_notice(decode_bounded_cbor(accepted.payload));
    if (failed(notice)) {
        log(log_level::warning, "cannot decode the crash notice of a peer; ignoring it",
            {context_field(error(notice))});
        return;
    }
    this->request_state.apply_notice(value(notice), steady_clock::now());
}

void node::peer_generation(const daemon_id& from, std::uint64_t generation)
{
    this->generations.update_peer_answer(from, generation);
}

daemon_id node::holder_of(const failure_domain_id& domain) const
{
    if (const auto own = this->duties.find(domain); own != this->duties.end() && own->second->holds()) {
        return this->options.daemon;
    }
    const auto known = this->digest_holders.find(domain);
    if (known != this->digest_holders.end()) {
        const auto* member = this->peers.members().find(known->second);
        if (member != nullptr && member->state != member_state::dead) {
            return known->second;
        }
    }
    // Without a digest of a live holder, the first candidate is the most likely holder.
    std::vector<duty_member> members;
    const auto region = this->tables.config.get()->region_of(domain);
    for (const auto& member : this->peers.members().live()) {
        if (member.region == region && member.state == member_state::alive) {
            members.push_back({member.id, member.failure_domain});
        }
    }
    const auto ranked = rank_duty_candidates(domain, members);
    return ranked.empty() ? daemon_id() : ranked.front();
}

void node::send_to_holder(const failure_domain_id& domain, const peer::message& m)
{
    boost::asio::post(this->strand, [this, domain, m] {
        const auto holder = this->holder_of(domain);
        if (holder == this->options.daemon) {
            this->handle_as_holder(domain, holder, m);
        } else if (!holder.empty()) {
            this->peers.send(holder, m);
        }
    });
}

failure_domain_id node::domain_of_group(const group_id& group) const
{
    const std::lock_guard guard(this->tables.groups.mutex);
    for (const auto& [domain, plan] : this->tables.groups.plans) {
        if (plan.plan.find(group) != nullptr) {
            return domain;
        }
    }
    return failure_domain_id();
}

void node::handle_as_holder(const failure_domain_id& domain, const daemon_id& from, const peer::message& m)
{
    const auto found = this->duties.find(domain);
    if (found == this->duties.end()) {
        return;
    }
    const auto now = steady_clock::now();
    if (const auto* request = std::get_if<slot_request>(&m)) {
        const auto grant = found->second->on_slot_request(from, *request, now);
        if (from == this->options.daemon) {
            const std::lock_guard guard(this->tables.slots.mutex);
            this->tables.slots.client.accept(grant, now);
        } else {
            this->peers.send(from, grant);
        }
    } else if (const auto* release = std::get_if<slot_release>(&m)) {
        found->second->on_slot_release(from, *release, now);
    } else if (const auto* rate = std::get_if<quota_request>(&m)) {
        const auto grant = found->second->on_quota_request(from, *rate, now);
        if (from == this->options.daemon) {
            const std::lock_guard guard(this->tables.admissions.mutex);
            this->tables.admissions.quota.accept(grant, now);
        } else {
            this->peers.send(from, grant);
        }
    }
}

void node::message_received(const daemon_id& from, const peer::message& received)
{
    const auto now = steady_clock::now();
    if (const auto* observed = std::get_if<peer::observe_message>(&received)) {
        const auto found = this->duties.find(observed->failure_domain);
        const auto report = decode_observer_report(observed->reports);
        if (failed(report)) {
            log(log_level::warning, "cannot decode the observer report; ignoring it",
                {{"observer", from.str()}, context_field(error(report))});
        } else if (found != this->duties.end() && !found->second->on_observations(from, value(report), now)) {
            log(log_level::info, "observer report incomplete; full report requested",
                {{"observer", from.str()}, {"domain", observed->failure_domain.str()}});
            this->peers.send(from, peer::observe_request_message{observed->failure_domain});
        }
    } else if (const auto* resend = std::get_if<peer::observe_request_message>(&received)) {
        if (const auto found = this->observers.find(resend->failure_domain); found != this->observers.end()) {
            found->second.restart_reports();
        }
    } else if (const auto* grant = std::get_if<slot_grant>(&received)) {
        const std::lock_guard guard(this->tables.slots.mutex);
        this->tables.slots.client.accept(*grant, now);
    } else if (const auto* request = std::get_if<slot_request>(&received)) {
        this->handle_as_holder(this->domain_of_group(request->target), from, received);
    } else if (const auto* release = std::get_if<slot_release>(&received)) {
        this->handle_as_holder(this->domain_of_group(release->target), from, received);
    } else if (const auto* rate = std::get_if<quota_request>(&received)) {
        this->handle_as_holder(quota_domain(*this->tables.config.get(), this->options.region, rate->account),
                               from, received);
    } else if (const auto* rate_grant = std::get_if<quota_grant>(&received)) {
        const std::lock_guard guard(this->tables.admissions.mutex);
        this->tables.admissions.quota.accept(*rate_grant, now);
    }
}

} // namespace rml::control
