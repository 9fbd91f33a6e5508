#include "control/serving.hpp"

#include "base/hash.hpp"
#include "base/limits.hpp"
#include "http/executor.hpp"

#include <algorithm>

namespace rml::control {

namespace {

constexpr milliseconds permit_poll_interval{10};
// More than one slot per request would leave slots unused at one daemon while requests wait at another.
constexpr std::uint32_t slots_per_request = 1;
constexpr milliseconds slot_request_interval{50};
// While warm groups serve, one in this many dispatched requests also requests slots of the cold groups, so
// that their slow start continues.
constexpr std::uint64_t warm_up_request_period = 4;

std::uint64_t next_random(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15ULL; // step of the SplitMix64 sequence
    return hash64({reinterpret_cast<const char*>(&state), sizeof state});
}

} // namespace

serving::serving(boost::asio::io_context& context, shared_tables& tables,
                 target::connection_pool& connections, duty_mailbox& mailbox, caller::claim_store& claims,
                 failure_domain_id own_domain)
    : context(context), tables(tables), engines(context, connections), mailbox(mailbox),
      claim_documents(claims), own_domain(std::move(own_domain))
{
}

std::shared_ptr<const account_object> serving::find_account(std::string_view token) const
{
    return this->tables.config.get()->find_account_by_token(token);
}

std::shared_ptr<const office_service_object> serving::find_service(const service_id& name) const
{
    return this->tables.config.get()->find_service(name);
}

caller::entry_list serving::entries() const
{
    return this->tables.members.get().entries;
}

bool serving::ready() const
{
    const auto view = this->tables.members.get();
    // A leaving daemon stays ready: callers use its address until the address lifetime has passed.
    return view.config_ready && !view.isolated;
}

void serving::expire(time_point now)
{
    {
        const std::lock_guard guard(this->tables.admissions.mutex);
        for (auto& [key, queue] : this->tables.admissions.queues) {
            this->resume_waiters(queue->expire(now));
        }
    }
    std::vector<slot_release> returned;
    {
        const std::lock_guard guard(this->tables.slots.mutex);
        returned = this->tables.slots.client.expire(now);
    }
    for (const auto& release : returned) {
        failure_domain_id domain;
        {
            const std::lock_guard guard(this->tables.groups.mutex);
            for (const auto& [name, plan] : this->tables.groups.plans) {
                domain = plan.plan.find(release.target) != nullptr ? name : domain;
            }
        }
        if (!domain.empty()) {
            this->mailbox.send_to_holder(domain, release);
        }
    }
}

bool serving::take_retry_token()
{
    const std::lock_guard guard(this->tables.crashes.mutex);
    return this->tables.crashes.retries.try_retry(steady_clock::now());
}

result<route> serving::choose(const caller::dispatch_request& request, const std::vector<group_id>& excluded,
                              time_point now)
{
    const std::lock_guard guard(this->tables.loads.mutex);
    auto& loads = this->tables.loads;
    const auto pool = loads.pools.find(request.pool);
    if (pool == loads.pools.end()) {
        return failure{failure_kind::unavailable, "pool " + request.pool.str() + " has no group"};
    }
    route_request wanted;
    wanted.prefix = {request.prompt_prefix};
    wanted.tried = excluded;
    wanted.random = next_random(loads.random);
    return pool->second->choose(wanted, loads.prefixes, now);
}

result<group_record> serving::check_evidence(const group_id& group, yield_context yield)
{
    std::vector<instance_id> due;
    {
        const std::lock_guard guard(this->tables.groups.mutex);
        const auto now = steady_clock::now();
        const auto& evidence = this->tables.groups.evidence;
        const auto* record = evidence.find(group);
        if (record == nullptr) {
            return failure{failure_kind::stale, "group " + group.str()};
        }
        if (evidence.servable(group, now)) {
            return *record;
        }
        due = evidence.probes_due(group, now);
    }
    const auto config = this->tables.config.get();
    for (const auto& instance : due) {
        const auto* engine = config->find_engine(instance);
        const auto probe_sent_at = steady_clock::now();
        ++this->probe_count;
        const auto report =
            engine == nullptr
                ? result<engine_status>(failure{failure_kind::not_found, instance.str()})
                : this->engines.read_status(engine->address, probe_sent_at + limits::status_timeout, yield);
        const std::lock_guard guard(this->tables.groups.mutex);
        if (failed(report)) {
            this->tables.groups.evidence.invalidate(instance, steady_clock::now());
            return error(report);
        }
        this->tables.groups.evidence.apply_probe(value(report), probe_sent_at);
    }
    const std::lock_guard guard(this->tables.groups.mutex);
    const auto& evidence = this->tables.groups.evidence;
    const auto* record = evidence.find(group);
    if (record == nullptr || !evidence.servable(group, steady_clock::now())) {
        return failure{failure_kind::unavailable, "group " + group.str() + " lacks a member"};
    }
    return *record;
}

result<caller::dispatch_permit> serving::begin(const caller::dispatch_request& request, const route& chosen,
                                               const group_record& record, bool trial, time_point now)
{
    const auto config = this->tables.config.get();
    const auto* engine = config->find_engine(record.members.front());
    if (engine == nullptr || record.incarnations.empty()) {
        return failure{failure_kind::stale, "group " + record.id.str()};
    }
    dispatched_request entry;
    entry.pool = request.pool;
    entry.chosen = chosen;
    entry.fingerprint = request_fingerprint{request.fingerprint};
    entry.run.leader = record.members.front();
    entry.run.target = {record.id, record.epoch, record.fabric, config->domain_of(record.members.front())};
    if (config->drained(entry.run.target.domain)) {
        return failure{failure_kind::refused,
                       "failure domain " + entry.run.target.domain.str() + " is drained"};
    }
    bool warm = false;
    {
        const std::lock_guard guard(this->tables.groups.mutex);
        warm = this->tables.groups.evidence.warm(record.id);
    }
    caller::dispatch_permit permit;
    {
        const std::lock_guard guard(this->tables.loads.mutex);
        {
            const std::lock_guard slot_guard(this->tables.slots.mutex);
            auto& client = this->tables.slots.client;
            const bool cold = !warm && !client.warm(record.id, record.epoch);
            if (trial && cold) {
                return failure{failure_kind::refused, "no trial on cold group " + record.id.str()};
            }
            if (trial || cold) {
                entry.slot =
                    client.acquire(record.id, record.epoch, trial ? slot_kind::trial : slot_kind::ramp, now);
                if (!entry.slot) {
                    return failure{failure_kind::lapsed, "no slot of " + record.id.str()};
                }
                this->cold_count += cold ? 1 : 0;
            }
        }
        auto& loads = this->tables.loads;
        loads.pools.at(request.pool)->begin(chosen);
        permit.id = ++loads.next_permit;
        loads.in_flight.emplace(permit.id, entry);
    }
    {
        const std::lock_guard guard(this->tables.crashes.mutex);
        this->tables.crashes.attribution.begin(permit.id, entry.fingerprint, entry.run.target, now);
    }
    if (permit.id % warm_up_request_period == 0) {
        this->request_ramp_slots(*config->find_pool(request.pool), now);
    }
    permit.group = record.id;
    permit.epoch = record.epoch;
    permit.incarnation = record.incarnations.front();
    permit.engine = engine->address;
    ++this->dispatched_count;
    return permit;
}

result<caller::dispatch_permit> serving::acquire_permit(const caller::dispatch_request& request,
                                                        yield_context yield)
{
    const auto config = this->tables.config.get();
    const auto* pool = config->find_pool(request.pool);
    if (pool == nullptr) {
        return failure{failure_kind::not_found, "pool " + request.pool.str()};
    }
    if (request.tried.empty()) {
        const std::lock_guard guard(this->tables.crashes.mutex);
        this->tables.crashes.retries.record_first_try(steady_clock::now());
    }
    const auto permit_deadline = std::min(request.deadline, steady_clock::now() + pool->max_wait);
    failure last{failure_kind::unavailable, "no serving group"};
    do {
        if (!this->ready()) {
            return failure{failure_kind::unavailable, "this daemon is not ready"};
        }
        const auto verdict =
            this->check_crashes(request_fingerprint{request.fingerprint}, steady_clock::now());
        if (verdict == crash_verdict::blocked) {
            return failure{failure_kind::refused, "this request has crashed the groups that ran it"};
        }
        if (verdict == crash_verdict::hold || verdict == crash_verdict::refuse) {
            last = failure{failure_kind::unavailable,
                           "the loss of a group that ran this request is being examined"};
            this->pause(permit_poll_interval, yield);
            continue;
        }
        const bool trial = verdict == crash_verdict::trial;
        auto excluded = request.tried;
        // Tries the groups in the order of routing until none is left.
        while (true) {
            const auto now = steady_clock::now();
            const auto chosen = this->choose(request, excluded, now);
            if (failed(chosen)) {
                last = error(chosen);
                break;
            }
            excluded.push_back(value(chosen).group);
            const auto record = this->check_evidence(value(chosen).group, yield);
            if (failed(record)) {
                last = error(record);
                continue;
            }
            auto permit = this->begin(request, value(chosen), value(record), trial, steady_clock::now());
            if (succeeded(permit)) {
                return permit;
            }
            last = error(permit);
            if (trial) {
                this->request_trial_slot(value(record), steady_clock::now());
            }
        }
        this->request_ramp_slots(*pool, steady_clock::now());
        this->pause(permit_poll_interval, yield);
    } while (steady_clock::now() < permit_deadline);
    ++this->no_group_count;
    return last;
}

void serving::finish_permit(const caller::dispatch_permit& permit, const caller::permit_report& report)
{
    const auto now = steady_clock::now();
    dispatched_request entry;
    {
        const std::lock_guard guard(this->tables.loads.mutex);
        auto& loads = this->tables.loads;
        const auto found = loads.in_flight.find(permit.id);
        if (found == loads.in_flight.end()) {
            return;
        }
        entry = std::move(found->second);
        loads.in_flight.erase(found);
        if (const auto pool = loads.pools.find(entry.pool); pool != loads.pools.end()) {
            pool->second->end(entry.chosen, report.first_token, now);
        }
    }
    if (report.end == caller::permit_end::target_lost || report.end == caller::permit_end::not_sent) {
        const std::lock_guard guard(this->tables.groups.mutex);
        this->tables.groups.evidence.invalidate(entry.run.leader, now);
    }
    if (entry.slot) {
        slot_release release;
        {
            const std::lock_guard guard(this->tables.slots.mutex);
            auto& client = this->tables.slots.client;
            release = report.end == caller::permit_end::caller_disconnected
                          ? client.cancel(*entry.slot)
                          : client.release(*entry.slot, report.end == caller::permit_end::completed);
        }
        this->mailbox.send_to_holder(entry.run.target.domain, release);
    }
    if (report.end == caller::permit_end::target_lost) {
        this->verify_loss(permit, entry.run, entry.fingerprint);
        return;
    }
    std::vector<crash_notice> notices;
    {
        const std::lock_guard guard(this->tables.crashes.mutex);
        notices =
            this->tables.crashes.attribution.end(permit.id, report.end == caller::permit_end::completed, now)
                .notices;
    }
    this->publish(notices);
}

void serving::request_trial_slot(const group_record& group, time_point now)
{
    std::optional<slot_request> request;
    {
        const std::lock_guard guard(this->tables.slots.mutex);
        auto& client = this->tables.slots.client;
        if (client.pending(group.id, slot_kind::trial, now) == 0) {
            request = client.make_request(group.id, group.epoch, slot_kind::trial, 1, now);
        }
    }
    if (request) {
        this->mailbox.send_to_holder(this->tables.config.get()->domain_of(group.members.front()), *request);
    }
}

void serving::request_ramp_slots(const model_pool_object& pool, time_point now)
{
    struct cold_group
    {
        group_id id;
        std::uint64_t epoch{0};
        failure_domain_id domain;
    };
    const auto config = this->tables.config.get();
    std::vector<cold_group> cold;
    {
        const std::lock_guard guard(this->tables.groups.mutex);
        for (const auto& [domain, plan] : this->tables.groups.plans) {
            for (const auto& group : plan.plan.groups()) {
                if (group.pool == pool.name && !config->drained(domain) &&
                    this->tables.groups.evidence.servable(group.id, now) &&
                    !this->tables.groups.evidence.warm(group.id)) {
                    cold.push_back({group.id, group.epoch, domain});
                }
            }
        }
    }
    for (const auto& group : cold) {
        std::optional<slot_request> request;
        {
            const std::lock_guard guard(this->tables.slots.mutex);
            auto& client = this->tables.slots.client;
            client.update_incarnation(group.id, group.epoch);
            auto& last = this->tables.slots.last_request_at[group.id];
            if (!client.warm(group.id, group.epoch) && client.pending(group.id, slot_kind::ramp, now) == 0 &&
                now - last >= slot_request_interval) {
                last = now;
                request = client.make_request(group.id, group.epoch, slot_kind::ramp, slots_per_request, now);
            }
        }
        if (request) {
            this->mailbox.send_to_holder(group.domain, *request);
        }
    }
}

void serving::record(const caller::request_record& ended)
{
    request_sample sample;
    sample.pool = ended.pool;
    sample.service = ended.service;
    sample.answered = ended.result == outcome::completed;
    if (ended.first_token.count() > 0) {
        sample.first_token = ended.first_token;
    }
    if (ended.between_tokens.count() > 0) {
        sample.between_tokens = ended.between_tokens;
    }
    if (ended.caller_disconnected) {
        return; // a request that the caller abandoned is no sample of the service
    }
    const std::lock_guard guard(this->tables.burn.mutex);
    this->tables.burn.recorder.record_request(sample, wall_seconds());
}

serving_stats serving::stats() const
{
    return {this->dispatched_count, this->cold_count, this->no_group_count, this->probe_count};
}

void serving::pause(milliseconds time, yield_context yield) const
{
    boost::asio::steady_timer timer(http::executor_of(yield), time);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace rml::control
