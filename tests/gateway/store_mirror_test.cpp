#include "gateway/managed_site.hpp"

#include <algorithm>

using namespace rml;
using gateway::change_notice;
using test::managed_site;

namespace {

/// A second daemon at the site. The first one, the manager, forwards the store changes to it.
class fed_daemon
{
public:
    explicit fed_daemon(managed_site& manager_site)
        : site(manager_site), connections(manager_site.context), fleet(daemon_id("d2")),
          mirror(manager_site.context, this->ports, this->fleet, manager_site.settings)
    {
        this->ports.headers = site_wire::published_headers();
        this->ports.decoder = site_wire::create_decoder();
        this->ports.store =
            site_wire::create_store_client(this->connections, manager_site.site->store->local());
        this->mirror.needs_changes_at_once = [] { return false; };
        manager_site.mirror.needs_changes_at_once = [] { return true; };
        manager_site.mirror.on_store_changes = [this](const std::vector<change_notice>& notices) {
            for (const auto& notice : notices) {
                this->deliver(notice);
            }
        };
        this->mirror.start();
    }
    ~fed_daemon() { this->mirror.stop(); }
    fed_daemon(const fed_daemon&) = delete;
    fed_daemon& operator=(const fed_daemon&) = delete;

    void deliver(const change_notice& notice)
    {
        if (!this->cut && !this->drop_next) {
            this->mirror.accept_notice(notice);
        }
        this->drop_next = false;
    }
    /// Runs the site and delivers a notice about every 3 ms. Returns false when the condition does not hold
    /// within the limit.
    template <class Condition>
    bool run_until(Condition condition, milliseconds limit = milliseconds(20000))
    {
        return this->site.run_until(
            [&] {
                if (const auto notice = this->site.mirror.compose_notice(steady_clock::now()); notice) {
                    this->deliver(*notice);
                }
                return condition();
            },
            limit);
    }
    void run_for(milliseconds time)
    {
        this->run_until([] { return false; }, time);
    }
    bool knows(const instance_id& engine) { return this->fleet.find_target(engine) != nullptr; }

    managed_site& site;
    bool cut{false};       ///< drops all notices
    bool drop_next{false}; ///< drops the next notice
    target::connection_pool connections;
    gateway::platform_ports ports;
    gateway::fleet_state fleet;
    gateway::store_mirror mirror;
};

} // namespace

TEST_CASE("a daemon that receives store changes does not call the store", "[gateway][store_mirror]")
{
    managed_site site;
    fed_daemon other(site);
    REQUIRE(other.run_until([&] { return other.mirror.complete() && !site.fleet.groups().empty(); }));
    // Waits until the watch that was open when the first notice arrived has ended.
    other.run_for(milliseconds(1500));
    const auto calls = other.ports.store->calls();
    const auto engine = site.fleet.groups().front().members.back();
    auto& changing = site.engine(engine);
    const auto unregister = [&](bool wanted) {
        changing.faults.unregistered = wanted;
        changing.update_entry();
    };
    unregister(true);

    SECTION("and applies the changes")
    {
        // Guards against one watch per second from each daemon of a large fleet.
        REQUIRE(other.run_until([&] { return !other.knows(engine); }));
        unregister(false);
        REQUIRE(other.run_until([&] { return other.knows(engine); }));
        CHECK(other.ports.store->calls() == calls);

        SECTION("older notices change nothing")
        {
            // Guards against delayed notices and notices of a daemon that was paused.
            change_notice late{daemon_id("d1"), 0, other.mirror.revision() - 1, milliseconds(0), {}};
            late.events.push_back({other.ports.decoder->targets_prefix() + engine.str(), std::nullopt, 1});
            other.mirror.accept_notice(late);
            CHECK(other.knows(engine));
            late.revision = other.mirror.revision();
            other.mirror.accept_notice(late);
            CHECK(other.knows(engine));
        }
    }
    SECTION("it reads the store when a notice was lost")
    {
        other.drop_next = true;
        REQUIRE(other.run_until([&] { return !other.knows(engine); }));
    }
    SECTION("it watches the store itself when no notices arrive")
    {
        other.cut = true;
        REQUIRE(other.run_until([&] { return !other.knows(engine); }));
        CHECK(other.ports.store->calls() > calls);

        SECTION("until notices arrive again")
        {
            other.cut = false;
            other.run_for(milliseconds(1500));
            const auto calls_after = other.ports.store->calls();
            unregister(false);
            REQUIRE(other.run_until([&] { return other.knows(engine); }));
            CHECK(other.ports.store->calls() == calls_after);
        }
    }
}
