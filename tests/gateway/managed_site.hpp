/// Stand-in platform with the store mirror and the group manager of one daemon, all on one thread.
#pragma once

#include "clients.hpp"
#include "decode.hpp"
#include "gateway/group_manager.hpp"
#include "gateway/store_mirror.hpp"
#include "standin/site.hpp"

#include <algorithm>
#include <boost/asio/spawn.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

namespace rml::test {

class fixed_manager_lease final : public gateway::manager_lease
{
public:
    bool manages(time_point) const override { return this->held; }
    std::uint64_t manager_revision() const override { return this->revision; }
    std::uint64_t mirrored_revision() const override { return this->mirrored; }

    bool held{true};
    std::uint64_t revision{7};
    std::uint64_t mirrored{1000000};
};

/// Delay of an order that is lost: longer than any test runs.
constexpr milliseconds lost_order_delay{60000};

class managed_site
{
public:
    explicit managed_site(const site_standin::site_options& options = {})
        : site(create(this->context, options)), connections(this->context), ports(this->create_ports()),
          fleet(daemon_id("d1")), mirror(this->context, this->ports, this->fleet, this->settings),
          manager(this->context, this->ports, this->fleet, this->lease, this->settings, this->metrics)
    {
        this->settings.bounds.stall = this->site->fleet.timing.stall;
        this->mirror.on_change = [this] { this->manager.tick(); };
        this->mirror.start();
    }
    ~managed_site()
    {
        this->mirror.stop();
        this->context.stop();
    }
    managed_site(const managed_site&) = delete;
    managed_site& operator=(const managed_site&) = delete;

    /// Runs the site until the condition holds. Returns false if it does not within the limit.
    template <class Condition>
    bool run_until(Condition condition, milliseconds limit = milliseconds(20000))
    {
        const auto end = steady_clock::now() + limit;
        while (!condition() && steady_clock::now() < end) {
            this->context.run_for(milliseconds(3));
            this->manager.tick();
        }
        return condition();
    }
    void run_for(milliseconds time)
    {
        this->run_until([] { return false; }, time);
    }
    /// Acquires the manager lease anew, as when another daemon becomes the manager.
    void take_over()
    {
        this->lease.held = true;
        ++this->lease.revision;
    }
    std::size_t group_count() { return this->fleet.groups().size(); }
    site_standin::engine_server& engine(const instance_id& name)
    {
        return *this->site->fleet.engines.at(name.str());
    }
    /// From now on the engine executes orders of this kind late, and does not answer them.
    void delay_orders(const instance_id& name, const std::string& operation, milliseconds delay)
    {
        auto& faults = this->engine(name).faults;
        faults.late_operation = operation;
        faults.order_delay = delay;
    }
    /// From now on orders of this kind to the engine are lost.
    void lose_orders(const instance_id& name, const std::string& operation)
    {
        this->delay_orders(name, operation, lost_order_delay);
    }
    /// The next `count` orders to the engine are lost.
    void lose_next_orders(const instance_id& name, std::uint32_t count)
    {
        auto& faults = this->engine(name).faults;
        faults.late_orders = count;
        faults.order_delay = lost_order_delay;
    }
    /// Number of orders of this kind that the engine has executed.
    std::ptrdiff_t orders_of(const instance_id& name, const std::string& operation)
    {
        const auto& executed = this->engine(name).operations;
        return std::count(executed.begin(), executed.end(), operation);
    }

    boost::asio::io_context context;
    std::unique_ptr<site_standin::platform_site> site;
    target::connection_pool connections;
    gateway::platform_ports ports;
    gateway::fleet_state fleet;
    gateway::gateway_settings settings;
    gateway::store_mirror mirror;
    fixed_manager_lease lease;
    metric_registry metrics;
    gateway::group_manager manager;

private:
    static std::unique_ptr<site_standin::platform_site> create(boost::asio::io_context& context,
                                                               const site_standin::site_options& options)
    {
        auto created = site_standin::platform_site::create(context, options);
        REQUIRE(succeeded(created));
        return value(std::move(created));
    }
    gateway::platform_ports create_ports()
    {
        gateway::platform_ports out;
        out.headers = site_wire::published_headers();
        out.decoder = site_wire::create_decoder();
        out.store = site_wire::create_store_client(this->connections, this->site->store->local());
        out.engines = site_wire::create_engine_client(this->connections);
        return out;
    }
};

inline std::string first_violation(const managed_site& site)
{
    const auto& violations = site.site->fleet.violations;
    return violations.empty() ? "" : violations.front().rule + ": " + violations.front().what;
}

/// An order to join with a permit of a manager that knows nothing else of the engine.
inline gateway::group_order join_order(const gateway::target_entry& engine, const group_key& group,
                                       const std::vector<instance_id>& members)
{
    const engine_life life{engine.instance, engine.started_ms};
    group_assignments records;
    records.record_free(life, std::nullopt);
    return gateway::group_order::join(records.permit_join(life, {group, 0}).value(), model_id("planner"),
                                      members);
}

/// Sends an order as another manager would; `group` has its name and epoch. Returns how the engine answered.
inline gateway::order_verdict deliver_order(managed_site& site, const instance_id& engine,
                                            gateway::group_action action,
                                            const std::vector<instance_id>& members = {},
                                            const group_key& group = {group_id("g1"), 1})
{
    std::optional<result<gateway::order_verdict>> answer;
    boost::asio::spawn(site.context, [&](gateway::yield_context yield) {
        const auto& entry = site.fleet.find_target(engine)->entry;
        const auto what = action == gateway::group_action::join   ? join_order(entry, group, members)
                          : action == gateway::group_action::open ? gateway::group_order::open(group)
                          : action == gateway::group_action::leave
                              ? gateway::group_order::leave(group)
                              : gateway::group_order::stage(model_id("planner"));
        answer = site.ports.engines->order(entry, what, steady_clock::now() + seconds(1), yield);
    });
    REQUIRE(site.run_until([&] { return answer.has_value(); }));
    REQUIRE(succeeded(*answer));
    return value(*answer);
}

/// Sends an order as another manager would, which the engine begins to carry out.
inline void send_order(managed_site& site, const instance_id& engine, gateway::group_action action,
                       const std::vector<instance_id>& members = {},
                       const group_key& group = {group_id("g1"), 1})
{
    CHECK(deliver_order(site, engine, action, members, group) == gateway::order_verdict::started);
}

/// Stages the model at the first `count` engines of the first fabric domain.
inline void stage_all(managed_site& site, int count)
{
    for (int i = 0; i < count; ++i) {
        const instance_id engine("e0" + std::to_string(i));
        send_order(site, engine, gateway::group_action::stage);
        REQUIRE(site.run_until([&] { return !site.fleet.find_target(engine)->entry.staged.empty(); }));
    }
}

/// Forms and opens the group as another manager would.
inline void form_group(managed_site& site, const std::vector<instance_id>& members,
                       const group_key& group = {group_id("g1"), 1})
{
    for (const auto& member : members) {
        send_order(site, member, gateway::group_action::join, members, group);
    }
    site.run_for(site.site->fleet.timing.load * 2);
    send_order(site, members.front(), gateway::group_action::open, {}, group);
}

} // namespace rml::test
