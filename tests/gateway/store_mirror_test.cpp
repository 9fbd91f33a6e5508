#include "gateway/managed_site.hpp"

#include <algorithm>

using namespace rml;
using gateway::change_notice;
using test::managed_site;

namespace {

/// A second daemon at the site, which the first one, the manager, tells of the store's changes.
class fed_daemon
{
public:
    explicit fed_daemon(managed_site& told_by)
        : site(told_by), connections(told_by.context), fleet(daemon_id("d2")),
          mirror(told_by.context, this->ports, this->fleet, told_by.settings)
    {
        this->ports.headers = site_wire::published_headers();
        this->ports.decoder = site_wire::create_decoder();
        this->ports.store = site_wire::create_store_client(this->connections, told_by.site->store->local());
        this->mirror.needs_changes_at_once = [] { return false; };
        told_by.mirror.needs_changes_at_once = [] { return true; };
        told_by.mirror.on_store_changes = [this](const std::vector<change_notice>& notices) {
            for (const auto& notice : notices) {
                this->pass(notice);
            }
        };
        this->mirror.start();
    }
    ~fed_daemon() { this->mirror.stop(); }
    fed_daemon(const fed_daemon&) = delete;
    fed_daemon& operator=(const fed_daemon&) = delete;

    void pass(const change_notice& notice)
    {
        if (!this->cut && !this->losing) {
            this->mirror.accept_notice(notice);
        }
        this->losing = false;
    }
    /// Runs the site, with a notice about every 3 ms; false when the condition does not hold within the
    /// limit.
    template <class Condition>
    bool run_until(Condition condition, milliseconds limit = milliseconds(20000))
    {
        return this->site.run_until(
            [&] {
                if (const auto notice = this->site.mirror.compose_notice(steady_clock::now()); notice) {
                    this->pass(*notice);
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
    bool cut{false};    ///< no notice arrives
    bool losing{false}; ///< the next notice does not arrive
    target::connection_pool connections;
    gateway::platform_ports ports;
    gateway::fleet_state fleet;
    gateway::store_mirror mirror;
};

} // namespace

TEST_CASE("a daemon that is told of the store's changes does not ask for them", "[gateway][store_mirror]")
{
    managed_site site;
    fed_daemon other(site);
    REQUIRE(other.run_until([&] { return other.mirror.complete() && !site.fleet.groups().empty(); }));
    // The watch that was under way when the first notice came has ended.
    other.run_for(milliseconds(1500));
    const auto calls = other.ports.store->calls();
    const auto engine = site.fleet.groups().front().members.back();
    auto& changing = site.engine(engine);
    const auto unregister = [&](bool wanted) {
        changing.faults.unregistered = wanted;
        changing.update_entry();
    };
    unregister(true);

    SECTION("and knows them all the same")
    {
        // Guards against one watch a second of each daemon of a large fleet.
        REQUIRE(other.run_until([&] { return !other.knows(engine); }));
        unregister(false);
        REQUIRE(other.run_until([&] { return other.knows(engine); }));
        CHECK(other.ports.store->calls() == calls);

        SECTION("older notices change nothing")
        {
            // Guards against a notice that was under way for long, or of a daemon that stood still.
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
        other.losing = true;
        REQUIRE(other.run_until([&] { return !other.knows(engine); }));
    }
    SECTION("it follows the store itself when no notices come")
    {
        other.cut = true;
        REQUIRE(other.run_until([&] { return !other.knows(engine); }));
        CHECK(other.ports.store->calls() > calls);

        SECTION("until they come again")
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
