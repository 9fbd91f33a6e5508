#include "control/serving.hpp"

#include "base/hash.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"
#include "http/executor.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <cmath>
#include <set>

namespace rml::control {

namespace {

constexpr milliseconds permit_poll{10};
constexpr milliseconds loss_probe_timeout{400};
// One slot per ask: a slot that a daemon holds without using it keeps another daemon's request waiting.
constexpr std::uint32_t slots_per_ask = 1;
constexpr milliseconds slot_ask_interval{50};
// While warm groups serve, every n-th request asks for a slot of the cold ones, so that their cold start goes
// on.
constexpr std::uint64_t warm_up_every = 4;
// Daemons may admit more than their equal share, since callers spread unevenly; the engines' queues bound the
// rest.
constexpr double capacity_share = 2.0;
constexpr std::size_t service_slots = 256;
constexpr std::int32_t highest_priority = 100;
constexpr microseconds same_domain_distance{0};
constexpr microseconds same_region_distance{1500};
constexpr microseconds other_region_distance{30000};
constexpr milliseconds typical_service_time{500};

/// Expected wait at a group with this many requests, for the load byte.
microseconds wait_at(std::uint8_t requests, std::uint32_t full_slots)
{
    const auto share = static_cast<double>(requests) / std::max<std::uint32_t>(1, full_slots);
    return std::chrono::duration_cast<microseconds>(typical_service_time * share);
}

std::uint64_t next_random(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15ULL; // step of the SplitMix64 sequence
    return hash64({reinterpret_cast<const char*>(&state), sizeof state});
}

failure refusal_failure(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_capacity:
        return {failure_kind::unavailable, "no serving group"};
    case refusal_reason::deadline:
        return {failure_kind::timeout, "the deadline would pass in the queue"};
    case refusal_reason::wait:
    case refusal_reason::queue_full:
    case refusal_reason::none:
        break;
    }
    return {failure_kind::unavailable, "the queue is too long"};
}

} // namespace

/// Gives the place in the queue back when the request ends.
class serving::ticket final : public caller::admission_ticket
{
public:
    ticket(serving& owner, std::string queue)
        : owner(owner), queue(std::move(queue)), start(steady_clock::now())
    {
    }
    ~ticket() override { this->owner.finish_admission(this->queue, steady_clock::now() - this->start); }

private:
    serving& owner;
    std::string queue;
    time_point start;
};

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
    // A leaving daemon goes on serving: callers hold its address for the address lifetime.
    return view.config_ready && !view.isolated;
}

admission& serving::queue_for(const caller::admission_request& request, const std::string& key)
{
    auto& queue = this->tables.admissions.queues[key];
    if (!queue) {
        admission_settings settings;
        queue = std::make_unique<admission>(settings);
        if (!request.service.empty()) {
            queue->update_capacity(service_slots, steady_clock::now());
        }
    }
    return *queue;
}

caller::admission_result serving::acquire_admission(const caller::admission_request& request,
                                                    yield_context yield)
{
    if (!this->ready()) {
        // An isolated daemon could not learn that a failure domain was taken out.
        return caller::admission_refusal{{failure_kind::unavailable, "this daemon is not ready"},
                                         permit_poll};
    }
    const auto now = steady_clock::now();
    const auto config = this->tables.config.get();
    const auto account = config->find_account(request.account);
    const auto key = request.pool.empty() ? "service/" + request.service.str() : "pool/" + request.pool.str();
    std::shared_ptr<admission_waiter> waiter;
    rml::admission_ticket number = 0;
    {
        const std::lock_guard guard(this->tables.admissions.mutex);
        auto& table = this->tables.admissions;
        if (!table.quota.try_acquire(request.account, now)) {
            return caller::admission_refusal{
                {failure_kind::rate_limited, "account rate"},
                std::chrono::duration_cast<milliseconds>(quota_client::ask_interval)};
        }
        rml::admission_request offered;
        number = ++table.next_ticket;
        offered.ticket = number;
        offered.account = request.account;
        offered.weight = account ? account->weight : 1.0;
        offered.priority = static_cast<std::uint32_t>(
            highest_priority - std::clamp(request.priority, std::int32_t{0}, highest_priority));
        offered.deadline = request.deadline;
        const auto answer = this->queue_for(request, key).offer(offered, now);
        if (answer.verdict == admission_verdict::refused) {
            return caller::admission_refusal{refusal_failure(answer.reason), answer.expected_wait};
        }
        if (answer.verdict == admission_verdict::queued) {
            waiter = std::make_shared<admission_waiter>(http::executor_of(yield));
            table.waiters.emplace(number, waiter);
        }
    }
    while (waiter) {
        {
            const std::lock_guard guard(this->tables.admissions.mutex);
            auto& table = this->tables.admissions;
            if (waiter->current == admission_waiter::state::started) {
                break;
            }
            if (waiter->current == admission_waiter::state::refused) {
                return caller::admission_refusal{refusal_failure(waiter->reason), milliseconds(0)};
            }
            if (steady_clock::now() >= request.deadline) {
                table.queues.at(key)->cancel(number);
                table.waiters.erase(number);
                return caller::admission_refusal{refusal_failure(refusal_reason::deadline), milliseconds(0)};
            }
        }
        boost::system::error_code ignored;
        waiter->timer.expires_at(request.deadline);
        waiter->timer.async_wait(yield[ignored]);
    }
    return std::unique_ptr<caller::admission_ticket>(std::make_unique<ticket>(*this, key));
}

void serving::wake(const admission_changes& changes)
{
    const auto end_wait = [&](rml::admission_ticket number, admission_waiter::state state,
                              refusal_reason reason) {
        auto& waiters = this->tables.admissions.waiters;
        const auto found = waiters.find(number);
        if (found == waiters.end()) {
            return;
        }
        const auto waiter = found->second;
        waiters.erase(found);
        waiter->current = state;
        waiter->reason = reason;
        boost::asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
    };
    for (const auto number : changes.started) {
        end_wait(number, admission_waiter::state::started, refusal_reason::none);
    }
    for (const auto& refused : changes.refused) {
        end_wait(refused.ticket, admission_waiter::state::refused, refused.reason);
    }
}

void serving::finish_admission(const std::string& queue, duration took)
{
    const std::lock_guard guard(this->tables.admissions.mutex);
    this->wake(this->tables.admissions.queues.at(queue)->finish(took, 1.0, steady_clock::now()));
}

void serving::expire(time_point now)
{
    {
        const std::lock_guard guard(this->tables.admissions.mutex);
        for (auto& [key, queue] : this->tables.admissions.queues) {
            this->wake(queue->expire(now));
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

result<route> serving::choose(const caller::dispatch_request& request, const std::vector<group_id>& avoided,
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
    wanted.tried = avoided;
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
        const auto asked = steady_clock::now();
        ++this->probe_count;
        const auto report =
            engine == nullptr
                ? result<engine_status>(failure{failure_kind::not_found, instance.str()})
                : this->engines.read_status(engine->address, asked + limits::status_timeout, yield);
        const std::lock_guard guard(this->tables.groups.mutex);
        if (failed(report)) {
            this->tables.groups.evidence.invalidate(instance, steady_clock::now());
            return error(report);
        }
        this->tables.groups.evidence.apply_probe(value(report), asked);
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
    dispatched entry;
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
        this->tables.crashes.attribution.begin(permit.id, entry.fingerprint, entry.run.target, trial);
    }
    if (permit.id % warm_up_every == 0) {
        this->ask_slots(*config->find_pool(request.pool), now);
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
    const auto give_up = std::min(request.deadline, steady_clock::now() + pool->max_wait);
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
            this->pause(permit_poll, yield);
            continue;
        }
        const bool trial = verdict == crash_verdict::trial;
        auto avoided = request.tried;
        // Each round tries the groups that routing offers until none is left.
        while (true) {
            const auto now = steady_clock::now();
            const auto chosen = this->choose(request, avoided, now);
            if (failed(chosen)) {
                last = error(chosen);
                break;
            }
            avoided.push_back(value(chosen).group);
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
                this->ask_trial(value(record), steady_clock::now());
            }
        }
        this->ask_slots(*pool, steady_clock::now());
        this->pause(permit_poll, yield);
    } while (steady_clock::now() < give_up);
    ++this->no_group_count;
    return last;
}

void serving::finish_permit(const caller::dispatch_permit& permit, const caller::permit_report& report)
{
    const auto now = steady_clock::now();
    dispatched entry;
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
            release = report.end == caller::permit_end::caller_gone
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

void serving::verify_loss(const caller::dispatch_permit& permit, const dispatched_run& run,
                          request_fingerprint fingerprint)
{
    {
        const std::lock_guard guard(this->tables.crashes.mutex);
        ++this->tables.crashes.verifying[fingerprint.value];
    }
    // A wrong answer ends an attempt as a broken connection does, but only a lost group can have been
    // crashed.
    boost::asio::spawn(this->context, [this, permit, run, fingerprint](yield_context yield) {
        const auto asked = steady_clock::now();
        const auto seen = this->engines.read_status(permit.engine, asked + loss_probe_timeout, yield);
        const bool alive = succeeded(seen) && value(seen).incarnation == permit.incarnation;
        const auto now = steady_clock::now();
        std::vector<crash_notice> notices;
        {
            const std::lock_guard guard(this->tables.crashes.mutex);
            auto& crashes = this->tables.crashes;
            notices = alive ? crashes.attribution.end(permit.id, false, now).notices
                            : crashes.attribution.group_lost(run.target, asked, now).notices;
            if (--crashes.verifying[fingerprint.value] == 0) {
                crashes.verifying.erase(fingerprint.value);
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
    return crashes.verifying.count(fingerprint.value) != 0 ? crash_verdict::hold
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
                const auto before = this->serving_before.find(group.id);
                // A fresh digest says that the group does not serve; stale evidence alone is no loss.
                if (before != this->serving_before.end() && evidence.probes_due(group.id, now).empty()) {
                    lost.push_back({group.id, before->second, group.fabric, domain});
                }
            }
        }
        this->serving_before = std::move(serving_now);
    }
    std::vector<crash_notice> notices;
    {
        const std::lock_guard guard(this->tables.crashes.mutex);
        auto& attribution = this->tables.crashes.attribution;
        const auto take = [&](crash_changes changes) {
            notices.insert(notices.end(), changes.notices.begin(), changes.notices.end());
        };
        for (const auto& run : lost) {
            take(attribution.group_lost(run, now, now));
        }
        take(attribution.poll(now));
    }
    this->publish(notices);
}

void serving::apply_notice(const crash_notice& notice, time_point now)
{
    const std::lock_guard guard(this->tables.crashes.mutex);
    this->tables.crashes.attribution.apply(notice, now);
}

void serving::ask_trial(const group_record& group, time_point now)
{
    std::optional<slot_ask> ask;
    {
        const std::lock_guard guard(this->tables.slots.mutex);
        auto& client = this->tables.slots.client;
        if (client.pending(group.id, slot_kind::trial, now) == 0) {
            ask = client.ask(group.id, group.epoch, slot_kind::trial, 1, now);
        }
    }
    if (ask) {
        this->mailbox.send_to_holder(this->tables.config.get()->domain_of(group.members.front()), *ask);
    }
}

void serving::ask_slots(const model_pool_object& pool, time_point now)
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
        std::optional<slot_ask> ask;
        {
            const std::lock_guard guard(this->tables.slots.mutex);
            auto& client = this->tables.slots.client;
            client.update_incarnation(group.id, group.epoch);
            auto& last = this->tables.slots.last_ask[group.id];
            if (!client.warm(group.id, group.epoch) && client.pending(group.id, slot_kind::ramp, now) == 0 &&
                now - last >= slot_ask_interval) {
                last = now;
                ask = client.ask(group.id, group.epoch, slot_kind::ramp, slots_per_ask, now);
            }
        }
        if (ask) {
            this->mailbox.send_to_holder(group.domain, *ask);
        }
    }
}

std::size_t serving::capacity_of(const model_pool_object& pool, time_point now) const
{
    const auto daemons = std::max<std::size_t>(1, this->tables.members.get().daemons_in_region);
    const auto config = this->tables.config.get();
    std::size_t slots = 0;
    const std::lock_guard guard(this->tables.groups.mutex);
    for (const auto& [domain, plan] : this->tables.groups.plans) {
        if (config->drained(domain)) {
            continue;
        }
        for (const auto& group : plan.plan.groups()) {
            if (group.pool == pool.name && this->tables.groups.evidence.servable(group.id, now)) {
                slots += this->tables.groups.evidence.warm(group.id) ? pool.full_slots : pool.start_slots;
            }
        }
    }
    return static_cast<std::size_t>(
        std::ceil(capacity_share * static_cast<double>(slots) / static_cast<double>(daemons)));
}

void serving::refresh_pool(const config_snapshot& config, const model_pool_object& pool, time_point now)
{
    struct known_group
    {
        routing_group routing;
        std::uint64_t epoch{0};
        std::optional<group_load> load;
    };
    std::vector<known_group> known;
    {
        const std::lock_guard guard(this->tables.groups.mutex);
        const auto& evidence = this->tables.groups.evidence;
        for (const auto& [domain, plan] : this->tables.groups.plans) {
            const bool same_region = config.region_of(domain) == config.region_of(this->own_domain);
            const auto distance = domain == this->own_domain ? same_domain_distance
                                  : same_region              ? same_region_distance
                                                             : other_region_distance;
            for (const auto& group : plan.plan.groups()) {
                if (group.pool != pool.name) {
                    continue;
                }
                known_group entry;
                entry.routing.id = group.id;
                entry.routing.domain = domain;
                entry.routing.distance = distance;
                // A group without fresh evidence is offered too when this daemon has to probe it itself.
                entry.routing.servable =
                    evidence.servable(group.id, now) || !evidence.probes_due(group.id, now).empty();
                entry.routing.drained = config.drained(domain);
                entry.routing.cold = !evidence.warm(group.id);
                entry.epoch = group.epoch;
                entry.load = evidence.load(group.id);
                known.push_back(std::move(entry));
            }
        }
    }
    const std::lock_guard guard(this->tables.loads.mutex);
    auto& table = this->tables.loads.pools[pool.name];
    if (!table) {
        routing_settings settings;
        settings.full_slots = pool.full_slots;
        table = std::make_unique<routing>(settings);
    }
    for (auto& group : known) {
        {
            const std::lock_guard slot_guard(this->tables.slots.mutex);
            const auto& client = this->tables.slots.client;
            group.routing.cold = group.routing.cold && !client.warm(group.routing.id, group.epoch);
            group.routing.slots = client.available(group.routing.id, group.epoch, slot_kind::ramp, now);
        }
        table->update_group(group.routing);
        if (group.load) {
            table->update_load(group.routing.id, encode_load(wait_at(group.load->requests, pool.full_slots)),
                               group.load->observed_at);
        }
    }
    std::set<group_id> planned;
    for (const auto& group : known) {
        planned.insert(group.routing.id);
    }
    for (const auto& id : table->groups()) {
        if (planned.count(id) == 0) {
            table->destroy_group(id);
        }
    }
}

void serving::refresh(time_point now)
{
    const auto config = this->tables.config.get();
    for (const auto& pool : config->set().pools) {
        this->refresh_pool(*config, pool, now);
        const auto capacity = this->capacity_of(pool, now);
        const std::lock_guard guard(this->tables.admissions.mutex);
        auto& queue = this->tables.admissions.queues["pool/" + pool.name.str()];
        if (!queue) {
            admission_settings settings;
            settings.max_wait = pool.max_wait;
            queue = std::make_unique<admission>(settings);
        }
        this->wake(queue->update_capacity(capacity, now));
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
    if (ended.caller_gone) {
        return; // says nothing about the service
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
