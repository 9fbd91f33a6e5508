#include "control/node.hpp"

#include "base/limits.hpp"
#include "http/pause.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>

namespace rml::control {

namespace {

constexpr milliseconds refresh_interval{50};
constexpr milliseconds list_interval{2000};

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

} // namespace

node::node(boost::asio::io_context& context, node_options options)
    : options(std::move(options)), strand(context.get_executor()),
      tables(this->options.daemon, this->options.incarnation),
      store(platform::create_http_store(context, this->options.store)),
      instances(platform::create_http_instance_list(context, this->options.instances)),
      weights(platform::create_http_weight_limit(context, this->options.weights)), claims(*this->store),
      target_connections(context), engines(context, this->target_connections),
      peers(context, this->strand,
            fleet_options{self_record(this->options), this->options.peer_listen, this->options.peer_secret},
            *this),
      request_state(context, this->tables, this->target_connections, *this, this->claims,
                    this->options.failure_domain),
      environment{context,
                  this->strand,
                  this->peers,
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
    if (auto started = this->peers.start(caller_address); failed(started)) {
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
    this->peers.stop();
}

void node::leave()
{
    boost::asio::post(this->strand, [this] {
        this->leaving = true;
        this->peers.leave();
        this->update_members(steady_clock::now());
    });
}

seconds node::address_lifetime() const
{
    const auto lifetime = this->tables.config.get()->set().entry_policy.address_lifetime;
    return std::chrono::ceil<seconds>(lifetime);
}

void node::run_fleet(yield_context yield)
{
    while (!this->stopped) {
        const auto now = steady_clock::now();
        this->peers.tick(now);
        this->update_members(now);
        this->target_connections.expire(now);
        http::pause(limits::keepalive_interval, yield);
    }
}

void node::run_refresh(yield_context yield)
{
    while (!this->stopped) {
        const auto now = steady_clock::now();
        this->request_state.refresh(now);
        this->request_state.expire(now);
        this->request_state.poll_crashes(now);
        std::vector<quota_request> quota_requests;
        {
            const std::lock_guard guard(this->tables.admissions.mutex);
            quota_requests = this->tables.admissions.quota.poll(now);
        }
        const auto config = this->tables.config.get();
        for (const auto& request : quota_requests) {
            this->send_to_holder(quota_domain(*config, this->options.region, request.account), request);
        }
        http::pause(refresh_interval, yield);
    }
}

void node::run_platform_lists(yield_context yield)
{
    while (!this->stopped) {
        const auto deadline = steady_clock::now() + limits::store_call_timeout;
        // A daemon without peers reads the lists to find seeds. Otherwise only the configuration readers of
        // the region (for seeds) and the duty holders (for leaving engines) do. Neither number grows with the
        // fleet.
        const bool without_peers = this->peers.members().live().size() == 1;
        const bool holder = std::any_of(this->duties.begin(), this->duties.end(),
                                        [](const auto& entry) { return entry.second->holds(); });
        if (without_peers || holder || this->reads_config()) {
            const auto listed = this->instances->read(deadline, yield);
            if (succeeded(listed)) {
                std::set<instance_id> leaving_now;
                for (const auto& record : value(listed)) {
                    if (record.kind == platform::instance_kind::entry && record.peer_address) {
                        this->peers.add_seed(*record.peer_address);
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
        http::pause(list_interval, yield);
    }
}

void node::update_members(time_point now)
{
    const auto& members = this->peers.members();
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
    const bool isolated = this->peers.isolated(now);
    this->tables.members.update([&](member_table::view& view) {
        view.entries = std::move(entries);
        view.daemons_in_region = static_cast<std::size_t>(in_region);
        view.config_ready = this->generations.ready();
        view.isolated = isolated;
        view.leaving = this->leaving;
    });
}

} // namespace rml::control
