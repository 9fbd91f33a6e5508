#include "control/node.hpp"

#include "base/limits.hpp"
#include "base/log.hpp"
#include "http/pause.hpp"
#include "objects/config_head.hpp"
#include "objects/object_codec.hpp"

#include <algorithm>
#include <utility>

namespace rml::control {

namespace {

// Time after the wait of a watch at which a hanging watch is ended.
constexpr milliseconds watch_margin{1000};
// Per region, so that the number of store calls does not grow with the number of daemons.
constexpr std::size_t config_readers = 2;

} // namespace

bool node::reads_config() const
{
    std::vector<duty_member> members;
    for (const auto& member : this->peers.members().live()) {
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
    bool head_read_once = false;
    while (!this->stopped) {
        if (!head_read_once || this->reads_config()) {
            const auto before = steady_clock::now();
            this->read_config(cursor, yield);
            head_read_once = true;
            // A refused connection fails at once; the pause prevents a busy loop.
            if (steady_clock::now() - before < limits::head_poll_interval / 4) {
                http::pause(limits::head_poll_interval / 4, yield);
            }
        } else {
            http::pause(limits::head_poll_interval, yield);
        }
        if (!this->generations.ready() && !this->reads_config()) {
            head_read_once = false;
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
        this->peers.update_store_answer(steady_clock::now());
        if (!value(found)) {
            this->generations.update_store_answer(0);
            return;
        }
        cursor.revision = value(found)->revision;
        cursor.read_next = !this->apply_head(value(found)->value, yield);
        return;
    }
    const auto watched = this->store->watch(key, cursor.revision, limits::head_poll_interval,
                                            now + limits::head_poll_interval + watch_margin, yield);
    if (failed(watched)) {
        cursor.read_next = true;
        return;
    }
    this->peers.update_store_answer(steady_clock::now());
    if (value(watched).changed) {
        cursor.revision = value(watched).revision;
        if (value(watched).record) {
            cursor.read_next = !this->apply_head(value(watched).record->value, yield);
        }
    }
}

bool node::apply_head(const std::string& bytes, yield_context yield)
{
    const auto head = decode_config_head(bytes);
    if (failed(head)) {
        log(log_level::error, "cannot decode the configuration head; reading it again",
            {context_field(error(head))});
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
        log(log_level::error, "cannot decode the stored configuration set; keeping the set in force",
            {context_field(error(published))});
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
    this->peers.update_generation(set.generation);
    this->update_accounts(*snapshot, steady_clock::now());
    this->peers.publish(item{config_item_key, {set.generation, 0}, item_class::durable, this->config_bytes});
    for (const auto& domain : snapshot->domains_of(this->options.region)) {
        auto& loop = this->duties[domain];
        if (!loop) {
            loop = std::make_unique<duty_loop>(this->environment, domain);
            loop->start();
        }
        loop->update_config(*snapshot, steady_clock::now());
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
        log(log_level::error, "cannot decode the configuration set of a peer; keeping the set in force",
            {context_field(error(set))});
        return;
    }
    this->apply_config(value(set), config_source::peer);
}

} // namespace rml::control
