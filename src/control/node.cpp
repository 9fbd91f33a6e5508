#include "control/node.hpp"

#include "base/limits.hpp"
#include "base/log.hpp"
#include "http/executor.hpp"
#include "objects/config_head.hpp"
#include "objects/object_codec.hpp"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace rml::control {

namespace {

constexpr const char* config_item_key = "config";
constexpr milliseconds refresh_interval{50};
constexpr milliseconds list_interval{2000};
constexpr milliseconds probe_timeout{
    400}; // below probe_interval, so that probes of one engine do not overlap
constexpr milliseconds watch_margin{1000}; // a watch that hangs ends this long after its wait
constexpr std::size_t config_readers = 2; // per region: store calls stay independent of the number of daemons

/// Waits on the coroutine's own executor.
void pause(milliseconds time, yield_context yield)
{
    boost::asio::steady_timer timer(http::executor_of(yield), time);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

member_record self_record(const node_options& options)
{
    member_record self;
    self.id = options.daemon;
    self.incarnation = options.incarnation;
    self.region = options.region;
    self.failure_domain = options.failure_domain;
    self.peer_address = options.peer_listen;
    return self;
}

std::uint16_t session_of(const node_options& options)
{
    return static_cast<std::uint16_t>(options.incarnation);
}

} // namespace

node::node(boost::asio::io_context& context, node_options options)
    : options(std::move(options)), strand(context.get_executor()),
      tables(this->options.daemon, this->options.incarnation),
      store(platform::create_http_store(context, this->options.store)),
      instances(platform::create_http_instance_list(context, this->options.instances)),
      weights(platform::create_http_weight_limit(context, this->options.weights)), claims(*this->store),
      target_connections(context), engines(context, this->target_connections),
      others(context, this->strand,
             fleet_options{self_record(this->options), this->options.peer_listen, this->options.peer_secret},
             *this),
      request_state(context, this->tables, this->target_connections, *this, this->claims,
                    this->options.failure_domain),
      environment{context,
                  this->strand,
                  this->others,
                  this->tables,
                  *this->store,
                  this->engines,
                  this->options.daemon,
                  this->options.region,
                  this->options.incarnation,
                  this->leaving_instances,
                  this->concurrent_loads}
{
}

node::~node()
{
    this->stop();
}

status node::start(const endpoint& caller_address)
{
    if (auto started = this->others.start(caller_address); failed(started)) {
        return started;
    }
    using loop = void (node::*)(yield_context);
    for (const loop run : {&node::run_fleet, &node::run_config, &node::run_observer, &node::run_refresh,
                           &node::run_platform_lists}) {
        boost::asio::spawn(this->strand, [this, run](yield_context yield) { (this->*run)(yield); });
    }
    return success();
}

void node::stop()
{
    if (this->stopped.exchange(true)) {
        return;
    }
    for (auto& [domain, loop] : this->duties) {
        loop->stop();
    }
    this->others.stop();
}

void node::leave()
{
    boost::asio::post(this->strand, [this] {
        this->leaving = true;
        this->others.leave();
        this->update_members(steady_clock::now());
    });
}

seconds node::address_lifetime() const
{
    const auto lifetime = this->tables.config.get()->set().entry_policy.address_lifetime;
    return std::chrono::ceil<seconds>(lifetime);
}

// Loops.

void node::run_fleet(yield_context yield)
{
    while (!this->stopped) {
        const auto now = steady_clock::now();
        this->others.tick(now);
        this->update_members(now);
        pause(limits::keepalive_interval, yield);
    }
}

void node::run_refresh(yield_context yield)
{
    while (!this->stopped) {
        const auto now = steady_clock::now();
        this->request_state.refresh(now);
        this->request_state.expire(now);
        this->request_state.poll_crashes(now);
        std::vector<quota_ask> asks;
        {
            const std::lock_guard guard(this->tables.admissions.mutex);
            asks = this->tables.admissions.quota.poll(now);
        }
        const auto config = this->tables.config.get();
        for (const auto& ask : asks) {
            this->send_to_holder(quota_domain(*config, this->options.region, ask.account), ask);
        }
        pause(refresh_interval, yield);
    }
}

void node::run_platform_lists(yield_context yield)
{
    while (!this->stopped) {
        const auto deadline = steady_clock::now() + limits::store_call_timeout;
        // Every daemon reads the list when it knows nobody; afterwards only the readers of the region do.
        const bool alone = this->others.members().live().size() == 1;
        if (alone || this->reads_config()) {
            const auto listed = this->instances->read(deadline, yield);
            if (succeeded(listed)) {
                std::set<instance_id> leaving_now;
                for (const auto& record : value(listed)) {
                    if (record.kind == platform::instance_kind::entry && record.peer_address) {
                        this->others.add_seed(*record.peer_address);
                    }
                    if (record.state == platform::instance_state::leaving) {
                        leaving_now.insert(record.instance);
                    }
                }
                this->leaving_instances = std::move(leaving_now);
            }
            const auto loads = this->weights->concurrent_loads(deadline, yield);
            if (succeeded(loads)) {
                this->concurrent_loads = value(loads);
            }
        }
        pause(list_interval, yield);
    }
}

// Configuration.

bool node::reads_config() const
{
    std::vector<duty_member> members;
    for (const auto& member : this->others.members().live()) {
        if (member.region == this->options.region) {
            members.push_back({member.id, member.failure_domain});
        }
    }
    auto ranked = rank_duty_candidates(failure_domain_id("config"), members);
    ranked.resize(std::min(ranked.size(), config_readers));
    return std::find(ranked.begin(), ranked.end(), this->options.daemon) != ranked.end();
}

void node::run_config(yield_context yield)
{
    head_cursor cursor;
    bool asked_once = false;
    while (!this->stopped) {
        if (!asked_once || this->reads_config()) {
            const auto before = steady_clock::now();
            this->read_config(cursor, yield);
            asked_once = true;
            // A refused connection returns at once and must not become a busy loop.
            if (steady_clock::now() - before < limits::head_poll_interval / 4) {
                pause(limits::head_poll_interval / 4, yield);
            }
        } else {
            pause(limits::head_poll_interval, yield);
        }
        if (!this->generations.ready() && !this->reads_config()) {
            asked_once = false;
        }
    }
}

void node::read_config(head_cursor& cursor, yield_context yield)
{
    const std::string key(config_head_key);
    const auto now = steady_clock::now();
    if (std::exchange(cursor.read_next, false)) {
        const auto found = this->store->get(key, now + limits::store_call_timeout, yield);
        if (failed(found)) {
            cursor.read_next = true;
            return;
        }
        this->others.update_store_answer(steady_clock::now());
        if (!value(found)) {
            this->generations.update_store_answer(0);
            return;
        }
        cursor.revision = value(found)->revision;
        cursor.read_next = !this->apply_head(value(found)->value, yield);
        return;
    }
    const auto seen = this->store->watch(key, cursor.revision, limits::head_poll_interval,
                                         now + limits::head_poll_interval + watch_margin, yield);
    if (failed(seen)) {
        cursor.read_next = true;
        return;
    }
    this->others.update_store_answer(steady_clock::now());
    if (value(seen).changed) {
        cursor.revision = value(seen).revision;
        if (value(seen).record) {
            cursor.read_next = !this->apply_head(value(seen).record->value, yield);
        }
    }
}

bool node::apply_head(const std::string& bytes, yield_context yield)
{
    const auto head = decode_config_head(bytes);
    if (failed(head)) {
        log(log_level::error, "configuration head is not usable", {context_field(error(head))});
        return false;
    }
    this->generations.update_store_answer(value(head).generation);
    if (value(head).generation > this->generations.generation()) {
        this->fetch_set(value(head).generation, yield);
    }
    return this->generations.generation() >= value(head).generation;
}

void node::fetch_set(std::uint64_t generation, yield_context yield)
{
    const auto deadline = steady_clock::now() + limits::store_call_timeout;
    const auto stored = this->store->get(config_set_key(generation), deadline, yield);
    if (failed(stored) || !value(stored)) {
        return;
    }
    const auto published = decode_published_set(value(stored)->value);
    if (failed(published)) {
        log(log_level::error, "configuration set is not usable", {context_field(error(published))});
        return;
    }
    this->apply_config(value(published).set, config_source::store);
}

bool node::apply_config(const object_set& set, config_source source)
{
    auto bytes = encode_objects(set);
    if (failed(bytes)) {
        return false;
    }
    if (this->generations.receive(set.generation, source) != config_decision::accepted) {
        return false;
    }
    this->config_bytes = value(std::move(bytes));
    auto snapshot = config_snapshot::create(set);
    this->tables.config.update(snapshot);
    this->others.update_generation(set.generation);
    this->update_accounts(*snapshot, steady_clock::now());
    this->others.publish(item{config_item_key, {set.generation, 0}, item_class::durable, this->config_bytes});
    for (const auto& domain : snapshot->domains_of(this->options.region)) {
        auto& loop = this->duties[domain];
        if (!loop) {
            loop = std::make_unique<duty_loop>(this->environment, domain);
            loop->start();
        }
        loop->update_accounts(*snapshot, steady_clock::now());
    }
    {
        const std::lock_guard guard(this->tables.burn.mutex);
        this->tables.burn.recorder.install_objects(set, wall_seconds());
    }
    this->update_members(steady_clock::now());
    log(log_level::info, "configuration in force",
        {{"generation", static_cast<std::int64_t>(set.generation)}});
    return true;
}

void node::update_accounts(const config_snapshot& config, time_point now)
{
    const auto regions = std::max<std::size_t>(1, config.set().regions.size());
    const std::lock_guard guard(this->tables.admissions.mutex);
    for (const auto& account : config.set().accounts) {
        this->tables.admissions.quota.update_account(account.name,
                                                     {account.requests_per_second,
                                                      config.set().entry_policy.max_daemons,
                                                      static_cast<std::uint32_t>(regions)},
                                                     now);
    }
}

void node::on_config_item(const item& accepted)
{
    auto set = decode_objects(accepted.payload);
    if (failed(set)) {
        log(log_level::error, "configuration of a peer is not usable", {context_field(error(set))});
        return;
    }
    this->apply_config(value(set), config_source::peer);
}

// Messages of peers.

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
        log(log_level::error, "plan of a peer is not usable", {context_field(error(plan))});
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
        log(log_level::warning, "digest is not usable", {context_field(error(published))});
        return;
    }
    const failure_domain_id domain(accepted.key.substr(7));
    this->digest_holders[domain] = value(published).holder;
    const std::lock_guard guard(this->tables.groups.mutex);
    this->tables.groups.evidence.apply_digest(domain, value(published).record, steady_clock::now());
}

void node::publish_notice(const crash_notice& notice)
{
    nlohmann::json losses = nlohmann::json::array();
    for (const auto& loss : notice.losses) {
        losses.push_back({loss.loss, loss.explained});
    }
    const auto bytes = nlohmann::json::to_cbor(nlohmann::json::array(
        {notice.fingerprint.value, notice.version, notice.blocked, std::move(losses), notice.ttl.count()}));
    const auto now = std::chrono::duration_cast<milliseconds>(steady_clock::now().time_since_epoch());
    const item written{"suspect/" + std::to_string(notice.fingerprint.value) + "/" +
                           this->options.daemon.str(),
                       {this->options.incarnation, static_cast<std::uint64_t>(now.count())},
                       item_class::transient,
                       {bytes.begin(), bytes.end()}};
    boost::asio::post(this->strand, [this, written] { this->others.publish(written); });
}

void node::on_notice_item(const item& accepted)
{
    // The item is only a carrier: the attribution keeps its own bounded record.
    this->others.destroy(accepted.key);
    const auto document = nlohmann::json::from_cbor(accepted.payload, true, false);
    try {
        crash_notice notice;
        notice.fingerprint.value = document.at(0).get<std::uint64_t>();
        notice.version = document.at(1).get<std::uint64_t>();
        notice.blocked = document.at(2).get<bool>();
        for (const auto& loss : document.at(3)) {
            notice.losses.push_back({loss.at(0).get<std::uint64_t>(), loss.at(1).get<bool>()});
        }
        notice.ttl = milliseconds(document.at(4).get<std::int64_t>());
        this->request_state.apply_notice(notice, steady_clock::now());
    } catch (const nlohmann::json::exception& e) {
        log(log_level::warning, "crash notice is not usable", {{"context", std::string(e.what())}});
    }
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
        const auto* member = this->others.members().find(known->second);
        if (member != nullptr && member->state != member_state::dead) {
            return known->second;
        }
    }
    // Before the first digest the first candidate is the likely holder.
    std::vector<duty_member> members;
    const auto region = this->tables.config.get()->region_of(domain);
    for (const auto& member : this->others.members().live()) {
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
            this->handle_at_duty(domain, holder, m);
        } else if (!holder.empty()) {
            this->others.send(holder, m);
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

void node::handle_at_duty(const failure_domain_id& domain, const daemon_id& from, const peer::message& m)
{
    const auto found = this->duties.find(domain);
    if (found == this->duties.end()) {
        return;
    }
    const auto now = steady_clock::now();
    if (const auto* ask = std::get_if<slot_ask>(&m)) {
        const auto grant = found->second->on_slot_ask(from, *ask, now);
        if (from == this->options.daemon) {
            const std::lock_guard guard(this->tables.slots.mutex);
            this->tables.slots.client.accept(grant, now);
        } else {
            this->others.send(from, grant);
        }
    } else if (const auto* release = std::get_if<slot_release>(&m)) {
        found->second->on_slot_release(from, *release, now);
    } else if (const auto* rate = std::get_if<quota_ask>(&m)) {
        const auto grant = found->second->on_quota_ask(from, *rate, now);
        if (from == this->options.daemon) {
            const std::lock_guard guard(this->tables.admissions.mutex);
            this->tables.admissions.quota.accept(grant, now);
        } else {
            this->others.send(from, grant);
        }
    }
}

void node::message_received(const daemon_id& from, const peer::message& received)
{
    const auto now = steady_clock::now();
    if (const auto* observed = std::get_if<peer::observe_message>(&received)) {
        const auto found = this->duties.find(observed->failure_domain);
        const auto report = decode_observer_report(observed->reports);
        if (found != this->duties.end() && succeeded(report)) {
            found->second->on_observations(from, value(report), now);
        }
    } else if (const auto* grant = std::get_if<slot_grant>(&received)) {
        const std::lock_guard guard(this->tables.slots.mutex);
        this->tables.slots.client.accept(*grant, now);
    } else if (const auto* ask = std::get_if<slot_ask>(&received)) {
        this->handle_at_duty(this->domain_of_group(ask->target), from, received);
    } else if (const auto* release = std::get_if<slot_release>(&received)) {
        this->handle_at_duty(this->domain_of_group(release->target), from, received);
    } else if (const auto* rate = std::get_if<quota_ask>(&received)) {
        this->handle_at_duty(quota_domain(*this->tables.config.get(), this->options.region, rate->account),
                             from, received);
    } else if (const auto* rate_grant = std::get_if<quota_grant>(&received)) {
        const std::lock_guard guard(this->tables.admissions.mutex);
        this->tables.admissions.quota.accept(*rate_grant, now);
    }
}

void node::update_members(time_point now)
{
    const auto& members = this->others.members();
    const auto live = members.live();
    this->generations.update_known_peers(live.size() - 1);
    const auto in_region = std::count_if(live.begin(), live.end(), [&](const member_record& member) {
        return member.region == this->options.region;
    });
    caller::entry_list entries;
    for (const auto& member : members.entries()) {
        if (member.region == this->options.region) {
            entries.entries.push_back(member.caller_address);
        }
    }
    entries.lifetime = this->tables.config.get()->set().entry_policy.address_lifetime;
    const bool isolated = this->others.isolated(now);
    this->tables.members.update([&](member_table::view& view) {
        view.entries = std::move(entries);
        view.daemons_in_region = static_cast<std::size_t>(in_region);
        view.config_ready = this->generations.ready();
        view.isolated = isolated;
        view.leaving = this->leaving;
    });
}

// Observation.

void node::run_observer(yield_context yield)
{
    bool full = false;
    while (!this->stopped) {
        const auto config = this->tables.config.get();
        std::vector<daemon_id> live;
        for (const auto& member : this->others.members().live()) {
            if (member.region == this->options.region) {
                live.push_back(member.id);
            }
        }
        for (const auto& domain : config->domains_of(this->options.region)) {
            std::vector<instance_id> engines_here;
            for (const auto* engine : config->engines_of(domain)) {
                engines_here.push_back(engine->instance);
            }
            const auto observed = engines_observed_by(this->options.daemon, engines_here, live);
            auto& observer = this->observers.try_emplace(domain, session_of(this->options)).first->second;
            observer.retain(observed);
            for (const auto& instance : observed) {
                this->probe(instance, config->find_engine(instance)->address);
            }
        }
        pause(limits::probe_interval, yield);
        full = !full;
        this->send_reports(full, steady_clock::now());
    }
}

void node::probe(const instance_id& instance, const endpoint& address)
{
    if (!this->probing.insert(instance).second) {
        return;
    }
    boost::asio::spawn(this->strand, [this, instance, address](yield_context yield) {
        const auto asked = steady_clock::now();
        const auto report = this->engines.read_status(address, asked + probe_timeout, yield);
        this->probing.erase(instance);
        const auto domain = this->tables.config.get()->domain_of(instance);
        const auto observer = this->observers.find(domain);
        if (observer == this->observers.end()) {
            return;
        }
        const bool changed = succeeded(report) ? observer->second.record(value(report), asked)
                                               : observer->second.record_silence(instance);
        if (changed) {
            this->send_reports(false, steady_clock::now());
        }
    });
}

void node::send_reports(bool full, time_point now)
{
    for (auto& [domain, observer] : this->observers) {
        const auto holder = this->holder_of(domain);
        if (holder.empty()) {
            continue;
        }
        if (auto& previous = this->reported_to[domain]; previous != holder) {
            previous = holder;
            observer.restart_reports();
        }
        const auto report = full ? observer.take_full_report(now) : observer.take_changes(now);
        if (report.changes.empty() && report.unchanged.empty() && report.silent.empty()) {
            continue;
        }
        if (holder == this->options.daemon) {
            this->duties.at(domain)->on_observations(holder, report, now);
        } else {
            this->others.send(holder, peer::observe_message{domain, encode_observer_report(report)});
        }
    }
}

// Operators.

std::uint64_t node::deliver(object_set set, yield_context yield)
{
    boost::asio::dispatch(this->strand, yield);
    this->apply_config(set, config_source::operator_tool);
    return this->generations.generation();
}

std::string node::status_document(yield_context yield)
{
    boost::asio::dispatch(this->strand, yield);
    return this->make_status();
}

std::string node::burn_document(yield_context yield)
{
    boost::asio::dispatch(this->strand, yield);
    const std::lock_guard guard(this->tables.burn.mutex);
    return encode_burn(this->tables.burn.recorder.ledger());
}

std::string node::make_status() const
{
    const auto now = steady_clock::now();
    const auto config = this->tables.config.get();
    nlohmann::ordered_json document;
    document["daemon"] = this->options.daemon.str();
    document["incarnation"] = this->others.members().self().incarnation;
    document["generation"] = this->generations.generation();
    document["ready"] = this->request_state.ready();
    document["leaving"] = this->leaving;
    document["isolated"] = this->others.isolated(now);
    document["members"] = nlohmann::json::array();
    for (const auto& member : this->others.members().live()) {
        document["members"].push_back({{"daemon", member.id.str()},
                                       {"failure_domain", member.failure_domain.str()},
                                       {"state", member.state == member_state::leaving ? "leaving" : "alive"},
                                       {"caller", to_string(member.caller_address)}});
    }
    document["domains"] = nlohmann::json::array();
    for (const auto& domain : config->set().failure_domains) {
        document["domains"].push_back({{"name", domain.name.str()},
                                       {"state", config->drained(domain.name) ? "drained" : "in_service"},
                                       {"holder", this->holder_of(domain.name).str()}});
    }
    document["groups"] = nlohmann::json::array();
    {
        const std::lock_guard guard(this->tables.groups.mutex);
        for (const auto& [domain, plan] : this->tables.groups.plans) {
            for (const auto& group : plan.plan.groups()) {
                const auto load = this->tables.groups.evidence.load(group.id);
                document["groups"].push_back(
                    {{"id", group.id.str()},
                     {"domain", domain.str()},
                     {"epoch", group.epoch},
                     {"servable", this->tables.groups.evidence.servable(group.id, now)},
                     {"warm", this->tables.groups.evidence.warm(group.id)},
                     {"load", load ? load->requests : 0}});
            }
        }
    }
    document["duties"] = nlohmann::json::array();
    for (const auto& [domain, loop] : this->duties) {
        if (loop->holds()) {
            document["duties"].push_back({{"domain", domain.str()},
                                          {"complete", loop->groups().complete},
                                          {"wanting", loop->groups().wanting},
                                          {"stranded_engines", loop->groups().stranded},
                                          {"quota_asks", loop->quota_stats().asks},
                                          {"quota_refused_lease", loop->quota_stats().refused_lease},
                                          {"quota_refused_limit", loop->quota_stats().refused_limit}});
        }
    }
    {
        const std::lock_guard guard(this->tables.admissions.mutex);
        const auto& quota = this->tables.admissions.quota.stats();
        document["quota"] = {{"admitted", quota.admitted},
                             {"refused", quota.refused},
                             {"asks", quota.asks},
                             {"late_grants", quota.late_grants}};
    }
    const auto links = this->others.link_stats();
    const auto items = this->others.item_stats();
    const auto calls = this->store->stats();
    document["links"] = {{"open", this->others.open_links()},        {"bytes_sent", links.bytes_sent},
                         {"bytes_received", links.bytes_received},   {"frames_sent", links.frames_sent},
                         {"frames_received", links.frames_received}, {"items", items.items},
                         {"duplicates", items.duplicates},           {"grafts", items.grafts}};
    document["store_calls"] = {{"reads", calls.reads}, {"writes", calls.writes}, {"watches", calls.watches}};
    return document.dump();
}

} // namespace rml::control
