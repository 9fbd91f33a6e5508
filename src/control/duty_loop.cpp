#include "control/duty_loop.hpp"

#include "base/bounded_cbor.hpp"
#include "base/hash.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"
#include "decision/evidence.hpp"
#include "decision/plan_epochs.hpp"
#include "http/executor.hpp"

#include <algorithm>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace rml::control {

namespace {

constexpr milliseconds step_interval{100};
constexpr milliseconds formation_interval{500};
constexpr std::uint32_t saturated_slots = 255; // largest number that a compact report can carry
// A watch may take its full wait; a deadline this long after the wait detects a watch that hangs.
constexpr milliseconds watch_margin{1000};

store_outcome outcome_of(const failure& f)
{
    switch (f.kind) {
    case failure_kind::conflict:
        return store_outcome::conflict;
    case failure_kind::not_found:
    case failure_kind::lapsed:
        return store_outcome::not_found;
    default:
        return store_outcome::lost;
    }
}

template <class T>
store_outcome outcome_of(const result<T>& r)
{
    return succeeded(r) ? store_outcome::ok : outcome_of(error(r));
}

} // namespace

std::string plan_item_key(const failure_domain_id& domain)
{
    return "plan/" + domain.str();
}

std::string digest_item_key(const failure_domain_id& domain)
{
    return "digest/" + domain.str();
}

std::string encode_published_digest(const daemon_id& holder, const digest& record)
{
    const auto packed = encode_digest(record);
    const auto bytes = nlohmann::json::to_cbor(
        nlohmann::json::array({holder.str(), nlohmann::json::binary({packed.begin(), packed.end()})}));
    return {bytes.begin(), bytes.end()};
}

result<published_digest> decode_published_digest(const std::string& payload)
{
    try {
        const auto document = decode_bounded_cbor(payload);
        const auto& packed = document.at(1).get_binary();
        auto record = decode_digest({packed.begin(), packed.end()});
        if (failed(record)) {
            return error(record);
        }
        return published_digest{daemon_id(document.at(0).get<std::string>()), value(std::move(record))};
    } catch (const nlohmann::json::exception& e) {
        return failure{failure_kind::malformed, std::string("digest item: ") + e.what()};
    }
}

duty_loop::duty_loop(duty_environment& shared, const failure_domain_id& domain)
    : shared(shared), domain(domain), lease_duty(domain, shared.self, shared.incarnation), commit(domain)
{
}

void duty_loop::start()
{
    boost::asio::spawn(this->shared.strand, [this](yield_context yield) { this->run(yield); });
}

void duty_loop::run(yield_context yield)
{
    boost::asio::steady_timer timer(http::executor_of(yield));
    while (!this->stopped) {
        this->step(yield);
        boost::system::error_code ignored;
        timer.expires_after(step_interval);
        timer.async_wait(yield[ignored]);
    }
}

bool duty_loop::is_candidate() const
{
    std::vector<duty_member> members;
    for (const auto& member : this->shared.peers.members().live()) {
        if (member.region == this->shared.region && member.state == member_state::alive) {
            members.push_back({member.id, member.failure_domain});
        }
    }
    const auto candidates = rank_duty_candidates(this->domain, members);
    return std::find(candidates.begin(), candidates.end(), this->shared.self) != candidates.end();
}

void duty_loop::step(yield_context yield)
{
    const auto config = this->shared.tables.config.get();
    if (!this->call_pending) {
        if (const auto call = this->lease_duty.next_call(steady_clock::now(), this->is_candidate())) {
            this->make_duty_call(*call);
        }
    }
    const auto lease = this->lease_duty.lease();
    if (this->holds() != this->was_holder) {
        this->was_holder = this->holds();
        log(log_level::info, this->was_holder ? "duty acquired" : "duty lost",
            {{"domain", this->domain.str()}});
        if (this->was_holder) {
            this->commit.take_over(this->next_attempt());
            this->warm_state_restored = false;
        } else {
            this->slots.destroy_lease();
            this->quota.destroy_lease();
        }
    }
    if (!this->was_holder) {
        return;
    }
    this->slots.update_lease(lease.valid_until, steady_clock::now());
    this->quota.update_lease(lease.valid_until, steady_clock::now());
    this->commit_plan(yield);
    const auto now = steady_clock::now();
    if (this->commit.committed() == nullptr && !this->commit.ready()) {
        return;
    }
    this->record_losses(*config, now);
    if (now - this->last_formation_at >= formation_interval && this->commit.ready()) {
        this->last_formation_at = now;
        this->propose_plan(*config, now);
        this->commit_plan(yield);
    }
    this->install_plan();
    this->send_orders(*config, steady_clock::now());
    this->update_slots(*config, steady_clock::now());
    this->publish_digest(steady_clock::now());
}

void duty_loop::make_duty_call(const duty_call& call)
{
    // A watch waits for seconds, so the call runs in a coroutine of its own and does not block the loop.
    this->call_pending = true;
    boost::asio::spawn(this->shared.strand, [this, call](yield_context yield) {
        const auto reply = this->perform(call, yield);
        this->call_pending = false;
        this->lease_duty.on_reply(reply, steady_clock::now());
    });
}

duty_reply duty_loop::perform(const duty_call& call, yield_context yield)
{
    auto& store = this->shared.store;
    const auto deadline = steady_clock::now() + limits::store_call_timeout;
    duty_reply reply;
    reply.number = call.number;
    switch (call.kind) {
    case duty_call_kind::read: {
        const auto found = store.get(call.key, deadline, yield);
        reply.outcome = outcome_of(found);
        if (succeeded(found) && !value(found)) {
            reply.outcome = store_outcome::not_found;
        } else if (succeeded(found)) {
            reply.revision = value(found)->revision;
            reply.value = value(found)->value;
        }
        break;
    }
    case duty_call_kind::watch: {
        const auto watched = store.watch(call.key, call.revision, call.wait,
                                         steady_clock::now() + call.wait + watch_margin, yield);
        reply.outcome = outcome_of(watched);
        if (succeeded(watched) && !value(watched).changed) {
            reply.outcome = store_outcome::unchanged;
        } else if (succeeded(watched) && !value(watched).record) {
            reply.outcome = store_outcome::not_found;
        } else if (succeeded(watched)) {
            reply.revision = value(watched).record->revision;
            reply.value = value(watched).record->value;
        }
        break;
    }
    case duty_call_kind::create_lease: {
        const auto created = store.create_lease(call.ttl, deadline, yield);
        reply.outcome = outcome_of(created);
        reply.lease = succeeded(created) ? value(created).str() : std::string();
        break;
    }
    case duty_call_kind::create_key: {
        const auto created =
            store.create(call.key, call.value, platform::lease_id(call.lease), deadline, yield);
        reply.outcome = outcome_of(created);
        reply.revision = succeeded(created) ? value(created) : 0;
        break;
    }
    case duty_call_kind::renew_lease:
        reply.outcome = outcome_of(store.renew_lease(platform::lease_id(call.lease), deadline, yield));
        break;
    case duty_call_kind::destroy_lease:
        reply.outcome = outcome_of(store.destroy_lease(platform::lease_id(call.lease), deadline, yield));
        break;
    }
    if (reply.outcome != store_outcome::lost) {
        this->shared.peers.update_store_answer(steady_clock::now());
    }
    return reply;
}

void duty_loop::commit_plan(yield_context yield)
{
    // One read, one write and one read after a lost reply. The next step makes any further calls.
    constexpr int calls_per_step = 3;
    for (int i = 0; i < calls_per_step; ++i) {
        const auto call = this->commit.next_call(this->lease_duty.lease(), steady_clock::now());
        if (!call) {
            return;
        }
        const auto deadline = steady_clock::now() + limits::store_call_timeout;
        plan_reply reply;
        reply.number = call->number;
        if (call->kind == plan_call_kind::read) {
            const auto found = this->shared.store.get(call->key, deadline, yield);
            reply.outcome = outcome_of(found);
            if (succeeded(found) && !value(found)) {
                reply.outcome = store_outcome::not_found;
            } else if (succeeded(found)) {
                reply.revision = value(found)->revision;
                reply.value = value(found)->value;
            }
        } else {
            const auto written =
                call->expected == 0
                    ? this->shared.store.create(call->key, call->value, platform::lease_id(), deadline, yield)
                    : this->shared.store.update(call->key, call->value, call->expected, platform::lease_id(),
                                                deadline, yield);
            reply.outcome = outcome_of(written);
            reply.revision = succeeded(written) ? value(written) : 0;
        }
        if (const auto applied = this->commit.on_reply(reply, steady_clock::now()); failed(applied)) {
            log(log_level::error, "cannot decode the stored plan; reading it again",
                {{"domain", this->domain.str()}, kind_field(error(applied)), context_field(error(applied))});
            return;
        }
    }
}

void duty_loop::record_losses(const config_snapshot& config, time_point now)
{
    std::set<instance_id> responsive;
    for (const auto* engine : config.engines_of(this->domain)) {
        if (this->observations.fresh(engine->instance, now) != nullptr) {
            responsive.insert(engine->instance);
        }
    }
    for (const auto& instance : this->responsive_engines) {
        if (responsive.count(instance) == 0 && config.find_engine(instance) != nullptr) {
            this->risk.record_loss(instance, now);
            log(log_level::warning, "engine lost",
                {{"instance", instance.str()}, {"domain", this->domain.str()}});
        }
    }
    this->responsive_engines = std::move(responsive);
}

std::vector<engine_view> duty_loop::engine_views(const config_snapshot& config, time_point now) const
{
    const auto* plan = this->commit.committed();
    std::vector<engine_view> views;
    for (const auto* engine : config.engines_of(this->domain)) {
        engine_view view;
        view.instance = engine->instance;
        view.fabric = engine->fabric_domain;
        view.fenced = engine->fenced_orders;
        if (const auto* observed = this->observations.fresh(engine->instance, now)) {
            view.usable = !observed->report.leaving && this->shared.leaving.count(engine->instance) == 0;
            view.model = observed->report.loaded ? observed->report.model : model_id();
            view.version = observed->report.version;
            const auto* group = plan == nullptr ? nullptr : plan->plan.group_of(engine->instance);
            if (group != nullptr) {
                const auto rank = static_cast<std::size_t>(
                    std::find(group->members.begin(), group->members.end(), engine->instance) -
                    group->members.begin());
                view.ready = serves_as_planned(observed->report, *group, rank);
            }
        }
        views.push_back(std::move(view));
    }
    return views;
}

std::vector<pool_demand> duty_loop::demands(const config_snapshot& config) const
{
    std::vector<pool_request> requests;
    std::vector<pool_demand> wanted;
    for (const auto& pool : config.set().pools) {
        const auto* model = config.find_model(pool.model);
        if (model == nullptr) {
            continue;
        }
        pool_request request{pool.name, model->group_size, pool.groups, {}};
        for (const auto& name : pool.failure_domains) {
            if (!config.drained(name)) {
                request.domains.push_back(name);
            }
        }
        requests.push_back(std::move(request));
        wanted.push_back({pool.name, pool.model, model->version, model->group_size, 0});
    }
    std::vector<fabric_capacity> fabrics;
    for (const auto& fabric : config.set().fabric_domains) {
        const auto engines =
            std::count_if(config.set().engines.begin(), config.set().engines.end(),
                          [&](const engine_object& engine) { return engine.fabric_domain == fabric.name; });
        fabrics.push_back({fabric.name, fabric.failure_domain, static_cast<std::uint32_t>(engines)});
    }
    const auto division = divide_pools(requests, fabrics);
    for (auto& demand : wanted) {
        const auto share = division.find({demand.pool, this->domain});
        demand.groups = share == division.end() ? 0 : share->second;
    }
    return wanted;
}

void duty_loop::propose_plan(const config_snapshot& config, time_point now)
{
    const auto lease = this->lease_duty.lease();
    grouping_input input;
    input.domain = this->domain;
    input.drained = config.drained(this->domain);
    input.engines = this->engine_views(config, now);
    input.pools = this->demands(config);
    const auto* committed = this->commit.committed();
    input.previous = committed == nullptr ? nullptr : &committed->plan;
    input.previous_revision = this->commit.revision();
    input.risk = &this->risk;
    input.settled = now >= lease.settled_at;
    input.now = now;
    auto formed = form_groups(input);
    if (failed(formed)) {
        log(log_level::error, "group formation failed; keeping the previous plan",
            {{"domain", this->domain.str()}, context_field(error(formed))});
        return;
    }
    auto& outcome = value(formed);
    this->last_grouping = outcome.stats;
    auto epochs =
        record_incarnations(outcome.plan.groups(), this->observations, input.previous_revision + 1, now);
    if (!outcome.changed && !epochs.changed) {
        return;
    }
    auto plan = domain_plan::create(this->domain, std::move(epochs.groups), outcome.plan.locations());
    if (failed(plan)) {
        log(log_level::error, "formed groups are not a valid plan; keeping the previous plan",
            {{"domain", this->domain.str()}, context_field(error(plan))});
        return;
    }
    this->commit.propose(value(std::move(plan)), this->next_attempt());
}

std::string duty_loop::next_attempt()
{
    return this->shared.self.str() + ":" + std::to_string(this->shared.incarnation) + ":" +
           std::to_string(++this->attempts);
}

void duty_loop::install_plan()
{
    const auto* committed = this->commit.committed();
    if (committed == nullptr || !this->commit.certain() || committed->revision == this->installed_revision) {
        return;
    }
    this->installed_revision = committed->revision;
    this->orders.install_plan(*committed);
    {
        const std::lock_guard guard(this->shared.tables.groups.mutex);
        this->shared.tables.groups.evidence.install_plan(*committed);
        this->shared.tables.groups.plans.insert_or_assign(this->domain, *committed);
    }
    this->shared.peers.publish(item{plan_item_key(this->domain),
                                    {committed->revision, 0},
                                    item_class::durable,
                                    encode_plan(committed->plan, committed->attempt_id)});
    log(log_level::info, "plan in force",
        {{"domain", this->domain.str()},
         {"revision", static_cast<std::int64_t>(committed->revision)},
         {"groups", static_cast<std::int64_t>(committed->plan.groups().size())}});
}

void duty_loop::send_orders(const config_snapshot& config, time_point now)
{
    if (!this->commit.certain()) {
        return;
    }
    const auto lease = this->lease_duty.lease();
    const auto domains = std::max<std::size_t>(1, config.set().failure_domains.size());
    const auto share = std::max<std::size_t>(1, this->shared.concurrent_loads / domains);
    for (const auto& order : this->orders.next_orders(this->observations, {lease, share, now})) {
        if (const auto* engine = config.find_engine(order.instance)) {
            this->send_order(order, *engine);
        }
    }
}

void duty_loop::send_order(const assign_order& order, const engine_object& engine)
{
    if (const auto allowed = this->orders.start_order(order, this->lease_duty.lease(),
                                                      this->commit.orderable_revision(), steady_clock::now());
        failed(allowed)) {
        return;
    }
    boost::asio::spawn(this->shared.strand, [this, order, address = engine.address](yield_context yield) {
        // Connecting takes time, so the lease and the plan are checked again directly before the order is
        // sent.
        const auto permit = [&]() -> status {
            const auto now = steady_clock::now();
            if (!this->lease_duty.lease().permits_orders(now) ||
                this->commit.orderable_revision() != order.fencing) {
                return failure{failure_kind::lapsed, "order to " + order.instance.str()};
            }
            return success();
        };
        target::assign_order sent{order.group, order.epoch,   order.rank,   order.members,
                                  order.model, order.version, order.fencing};
        const auto answer = this->shared.engines.assign(address, sent, permit,
                                                        steady_clock::now() + limits::order_timeout, yield);
        this->orders.finish_order(order.instance);
        if (failed(answer)) {
            log(log_level::warning, "order failed",
                {{"instance", order.instance.str()},
                 kind_field(error(answer)),
                 context_field(error(answer))});
        }
    });
}

void duty_loop::update_slots(const config_snapshot& config, time_point now)
{
    const auto* committed = this->commit.committed();
    if (committed == nullptr) {
        return;
    }
    for (const auto& group : committed->plan.groups()) {
        const auto* pool = config.find_pool(group.pool);
        if (pool == nullptr) {
            continue;
        }
        this->slots.update_target(group.id, group.epoch,
                                  {pool->start_slots, pool->full_slots, pool->ramp_step}, now);
        if (!this->warm_state_restored) {
            const std::lock_guard guard(this->shared.tables.groups.mutex);
            if (this->shared.tables.groups.evidence.warm(group.id)) {
                this->slots.mark_warm(group.id, group.epoch);
            }
        }
        const auto* leader = this->observations.fresh(group.members.front(), now);
        if (leader != nullptr && serves_as_planned(leader->report, group, 0)) {
            const auto reported_capacity =
                leader->report.warm_slots < saturated_slots ? leader->report.warm_slots : 0;
            this->slots.observe(group.id, group.epoch, leader->report.running + leader->report.queued,
                                leader->observed_at, reported_capacity);
        }
    }
    this->warm_state_restored = true;
}

void duty_loop::publish_digest(time_point now)
{
    const auto* committed = this->commit.committed();
    if (committed == nullptr || committed->revision != this->installed_revision) {
        return;
    }
    const auto lease = this->lease_duty.lease();
    digest_context context;
    context.generation = static_cast<std::uint32_t>(this->shared.tables.config.get()->generation());
    context.session = static_cast<std::uint16_t>(hash64(this->shared.self.str(), this->shared.incarnation));
    context.lease_valid = lease.permits_orders(now);
    context.now = now;
    auto record = build_digest(*committed, this->observations, context);
    std::string health;
    for (std::size_t i = 0; i < record.groups.size(); ++i) {
        const auto& group = committed->plan.groups()[i];
        record.groups[i].warm = this->slots.warm(group.id, group.epoch);
        health += record.groups[i].healthy ? (record.groups[i].warm ? 'w' : 'c') : '-';
    }
    if (health == this->last_health && now - this->last_digest < limits::digest_interval) {
        return;
    }
    if (now - this->last_service_record >= limits::digest_interval) {
        this->last_service_record = now;
        this->record_service(*this->shared.tables.config.get(), record);
    }
    this->last_health = health;
    this->last_digest = now;
    const auto key = digest_item_key(this->domain);
    // The sequence continues from the last digest received, so that it also increases when the holder
    // changes.
    const auto* last = this->shared.peers.find(key);
    const auto sequence = last == nullptr ? 1 : last->version.minor + 1;
    const auto major = std::max(last == nullptr ? 0 : last->version.major, committed->revision);
    this->shared.peers.publish(item{
        key, {major, sequence}, item_class::periodic, encode_published_digest(this->shared.self, record)});
    const std::lock_guard guard(this->shared.tables.groups.mutex);
    this->shared.tables.groups.evidence.apply_digest(this->domain, record, now);
}

bool duty_loop::on_observations(const daemon_id& observer, const observer_report& report,
                                time_point received_at)
{
    return this->observations.apply(observer, report, received_at);
}

slot_grant duty_loop::on_slot_request(const daemon_id& requester, const slot_request& request, time_point now)
{
    if (!this->holds()) {
        return slot_grant{request.request_id, 0, milliseconds(0), false};
    }
    return this->slots.grant(requester, request, now);
}

void duty_loop::on_slot_release(const daemon_id& requester, const slot_release& release, time_point now)
{
    this->slots.release(requester, release, now);
}

quota_grant duty_loop::on_quota_request(const daemon_id& requester, const quota_request& request,
                                        time_point now)
{
    return this->quota.grant(requester, request, now);
}

void duty_loop::update_config(const config_snapshot& config, time_point now)
{
    std::vector<instance_id> engines;
    for (const auto* engine : config.engines_of(this->domain)) {
        engines.push_back(engine->instance);
    }
    this->observations.retain(engines);
    const auto regions = static_cast<std::uint32_t>(std::max<std::size_t>(1, config.set().regions.size()));
    for (const auto& account : config.set().accounts) {
        if (quota_domain(config, this->shared.region, account.name) == this->domain) {
            this->quota.update_account(
                account.name, {account.requests_per_second, config.set().entry_policy.max_daemons, regions},
                now);
        } else {
            this->quota.destroy_account(account.name);
        }
    }
}

void duty_loop::record_service(const config_snapshot& config, const digest& record)
{
    const auto* committed = this->commit.committed();
    std::map<model_pool_id, group_sample> samples;
    for (const auto& demand : this->demands(config)) {
        samples[demand.pool] = {demand.pool, this->domain, demand.groups, 0};
    }
    for (std::size_t i = 0; i < record.groups.size(); ++i) {
        samples[committed->plan.groups()[i].pool].serving += record.groups[i].healthy ? 1 : 0;
    }
    accelerator_sample accelerators{this->domain, 0, 0};
    for (const auto& instance : this->responsive_engines) {
        const auto* engine = config.find_engine(instance);
        accelerators.healthy += engine == nullptr ? 0 : engine->accelerators;
    }
    const auto engines = std::max<std::size_t>(1, this->responsive_engines.size());
    accelerators.stranded =
        std::min<std::uint32_t>(accelerators.healthy, this->last_grouping.stranded * accelerators.healthy /
                                                          static_cast<std::uint32_t>(engines));
    const auto at = wall_seconds();
    const std::lock_guard guard(this->shared.tables.burn.mutex);
    auto& recorder = this->shared.tables.burn.recorder;
    for (const auto& [pool, sample] : samples) {
        recorder.record_groups(sample, limits::digest_interval, at);
    }
    recorder.record_accelerators(accelerators, limits::digest_interval, at);
}

failure_domain_id quota_domain(const config_snapshot& config, const region_id& region,
                               const account_id& account)
{
    failure_domain_id best;
    std::uint64_t best_weight = 0;
    for (const auto& domain : config.domains_of(region)) {
        const auto weight = rendezvous_weight(account.str(), domain.str());
        if (best.empty() || weight > best_weight) {
            best = domain;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace rml::control
