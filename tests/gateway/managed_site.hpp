/// Stand-in platform with the store mirror and the group manager of one daemon, all on one thread.
#pragma once

#include "clients.hpp"
#include "decode.hpp"
#include "gateway/group_manager.hpp"
#include "gateway/store_mirror.hpp"
#include "standin/site.hpp"

#include <catch2/catch.hpp>

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
    std::size_t group_count() { return this->fleet.groups().size(); }
    site_standin::engine_server& engine(const instance_id& name)
    {
        return *this->site->fleet.engines.at(name.str());
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

} // namespace rml::test
