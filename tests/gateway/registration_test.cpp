#include "gateway/registration.hpp"

#include "gateway/managed_site.hpp"

using namespace rml;
using test::managed_site;

// Guards against orders of a manager that was suspended for some seconds: its lease has ended at the store,
// and another daemon may be the manager.
TEST_CASE("a manager that was suspended does not act on its lease", "[gateway][registration]")
{
    managed_site site;
    site.lease.held = false; // the manager of the fixture sends no orders
    duration suspended{};
    gateway::registration holder(site.context, site.ports, site.mirror, site.fleet, site.settings, 1,
                                 [&] { return suspended; });
    site.mirror.on_change = [&] { holder.notify(); };
    holder.start();
    REQUIRE(site.run_until([&] { return holder.manages(steady_clock::now()); }));
    const auto revision = holder.manager_revision();

    SECTION("not from the first moment")
    {
        suspended += seconds(5);
        CHECK_FALSE(holder.manages(steady_clock::now()));
    }
    SECTION("and acquires a new one")
    {
        suspended += seconds(5);
        REQUIRE(site.run_until(
            [&] { return holder.manages(steady_clock::now()) && holder.manager_revision() > revision; }));
    }
    SECTION("a suspension that is shorter than the lease leaves it in force")
    {
        suspended += milliseconds(100);
        CHECK(holder.manages(steady_clock::now()));
        CHECK(holder.manager_revision() == revision);
    }
    bool left = false;
    boost::asio::spawn(site.context, [&](gateway::yield_context yield) {
        holder.leave(yield);
        left = true;
    });
    REQUIRE(site.run_until([&] { return left; }));
    site.run_for(milliseconds(100));
}

// Guards against a daemon that other daemons know only seconds after it has reached the store again: attempts
// to renew its entry had become rare during the outage.
TEST_CASE("a daemon renews its entry when the store answers again", "[gateway][registration]")
{
    constexpr int returns = 12; // by its interval alone, as many renewals take longer than a test waits
    managed_site site;
    site.lease.held = false;
    gateway::registration holder(site.context, site.ports, site.mirror, site.fleet, site.settings, 1);
    site.mirror.on_change = [&] { holder.notify(); };
    holder.start();
    const auto entry = std::string(gateway::own_keys::daemons_prefix) + site.settings.daemon.str();
    REQUIRE(site.run_until([&] { return site.site->store->find(entry).has_value(); }));

    int renewed = 0;
    CHECK(site.run_until([&] {
        if (site.site->store->find(entry)) {
            ++renewed;
            site.site->store->end_leases();
            holder.on_store_return();
        }
        return renewed == returns;
    }));
}
