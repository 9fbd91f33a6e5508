#include "decision/spread_delay.hpp"
#include "gateway/managed_site.hpp"
#include "gateway/registration.hpp"
#include "gateway/store_position.hpp"

using namespace rml;
using namespace rml::test;

namespace {

const failure_domain_id zone("zone-a");

/// A site without a manager whose mirror has read the store.
class returning_site : public managed_site
{
public:
    explicit returning_site(const site_standin::site_options& options = {}) : managed_site(options)
    {
        this->lease.held = false;
        REQUIRE(this->run_until(
            [&] { return this->mirror.complete() && this->fleet.targets().size() == this->all_targets(); }));
    }

    std::size_t all_targets() const { return this->site->engines.size() + this->site->services.size(); }
    site_standin::store_server& store() { return *this->site->store; }
    /// Returns to the copy and waits until the mirror has read it.
    void return_to_copy()
    {
        this->store().return_to_copy();
        REQUIRE(this->follow_return());
    }
    bool follow_return()
    {
        return this->run_until(
            [&] { return gateway::era_number(this->mirror.revision()) == this->store().era; });
    }
    void register_engine(const instance_id& name, bool wanted)
    {
        this->engine(name).faults.unregistered = !wanted;
        this->engine(name).update_entry();
        REQUIRE(this->run_until([&] { return this->knows(name) == wanted; }));
    }
    bool knows(const instance_id& name)
    {
        this->fleet.expire_targets(steady_clock::now());
        return this->fleet.find_target(name) != nullptr;
    }
    void engines_write_again()
    {
        for (const auto& engine : this->site->engines) {
            engine->update_entry();
        }
    }
    std::string drain_key() const { return this->ports.decoder->drained_domains_prefix() + zone.str(); }
    bool drained() const { return this->fleet.drained_domain(zone); }
};

/// A link to the store that can be cut: no answer arrives then.
class cuttable_store final : public gateway::metadata_store
{
public:
    explicit cuttable_store(std::unique_ptr<gateway::metadata_store> client) : inner(std::move(client))
    {
        this->on_era = std::move(this->inner->on_era);
        this->inner->on_era = [this](std::uint64_t start) {
            if (!this->cut && this->on_era) {
                this->on_era(start);
            }
        };
    }

    result<gateway::store_snapshot> read(const std::string& prefix, time_point deadline,
                                         gateway::yield_context yield) override
    {
        return this->pass(this->inner->read(prefix, deadline, yield));
    }
    result<gateway::store_changes> watch(const std::string& prefix, std::uint64_t after, milliseconds wait,
                                         time_point deadline, gateway::yield_context yield) override
    {
        return this->pass(this->inner->watch(prefix, after, wait, deadline, yield));
    }
    result<std::uint64_t> commit(const gateway::store_commit& change, time_point deadline,
                                 gateway::yield_context yield) override
    {
        if (this->cut) {
            return this->lost;
        }
        return this->inner->commit(change, deadline, yield);
    }
    result<gateway::lease_handle> create_lease(milliseconds lifetime, time_point deadline,
                                               gateway::yield_context yield) override
    {
        return this->pass(this->inner->create_lease(lifetime, deadline, yield));
    }
    status renew_lease(std::uint64_t lease, time_point deadline, gateway::yield_context yield) override
    {
        if (this->cut) {
            return this->lost;
        }
        return this->inner->renew_lease(lease, deadline, yield);
    }
    status end_lease(std::uint64_t lease, time_point deadline, gateway::yield_context yield) override
    {
        if (this->cut) {
            return this->lost;
        }
        return this->inner->end_lease(lease, deadline, yield);
    }
    std::uint64_t calls() const override { return this->inner->calls(); }

    bool cut{false};

private:
    template <class T>
    result<T> pass(result<T> answer) const
    {
        return this->cut ? result<T>(this->lost) : std::move(answer);
    }

    const failure lost{failure_kind::timeout, "the link is cut"};
    std::unique_ptr<gateway::metadata_store> inner;
};

/// Another daemon of the site, with its own view of the store.
class second_daemon
{
public:
    explicit second_daemon(managed_site& place)
        : settings(place.settings), connections(place.context), fleet(daemon_id("d2")),
          mirror(place.context, this->ports, this->fleet, this->settings),
          holder(place.context, this->ports, this->mirror, this->fleet, this->settings, 2)
    {
        this->settings.daemon = daemon_id("d2");
        this->ports.headers = site_wire::published_headers();
        this->ports.decoder = site_wire::create_decoder();
        this->ports.store = site_wire::create_store_client(this->connections, place.site->store->local());
        this->mirror.on_change = [this] { this->holder.notify(); };
        this->mirror.on_new_era = [this] { this->holder.on_new_era(); };
        this->mirror.start();
        this->holder.start();
    }
    ~second_daemon() { this->mirror.stop(); }
    second_daemon(const second_daemon&) = delete;
    second_daemon& operator=(const second_daemon&) = delete;

    gateway::gateway_settings settings;
    target::connection_pool connections;
    gateway::platform_ports ports;
    gateway::fleet_state fleet;
    gateway::store_mirror mirror;
    gateway::registration holder;
};

/// Ends the registration, so that none of its calls is open afterwards.
void leave(managed_site& site, gateway::registration& holder)
{
    bool left = false;
    boost::asio::spawn(site.context, [&](gateway::yield_context yield) {
        holder.leave(yield);
        left = true;
    });
    REQUIRE(site.run_until([&] { return left; }));
    site.run_for(milliseconds(700));
}

} // namespace

TEST_CASE("what is known outlasts a return of the store from an older copy",
          "[gateway][store_mirror][store_position]")
{
    returning_site site;
    const instance_id engine("e01");

    SECTION("an engine that registered after the copy is kept until it writes again")
    {
        site.register_engine(engine, false);
        site.store().save_copy();
        site.register_engine(engine, true);
        site.return_to_copy();
        site.run_for(milliseconds(1800));
        CHECK(site.knows(engine));

        SECTION("and stays")
        {
            site.engine(engine).update_entry();
            site.run_for(milliseconds(1500));
            CHECK(site.knows(engine));
        }
        SECTION("it is gone if it does not write again")
        {
            CHECK(site.run_until([&] { return !site.knows(engine); }, milliseconds(2000)));
        }
        SECTION("a second return gives it the same time again")
        {
            // Guards against a second copy that is compared with the content of the first one.
            site.return_to_copy();
            site.run_for(milliseconds(1800));
            CHECK(site.knows(engine));
            CHECK(site.mirror.era_reads() == 2);
        }
    }
    SECTION("an engine that left after the copy does not come back with it")
    {
        site.store().save_copy();
        site.register_engine(engine, false);
        site.return_to_copy();
        site.run_for(milliseconds(2800));
        CHECK_FALSE(site.knows(engine));

        SECTION("until it writes again")
        {
            site.register_engine(engine, true);
        }
        SECTION("its entry lapses, and it stays away")
        {
            site.store().remove(site.ports.decoder->targets_prefix() + engine.str());
            site.run_for(milliseconds(2000));
            CHECK_FALSE(site.knows(engine));
        }
    }
    SECTION("an engine's older entry does not replace its newer one before it writes again")
    {
        site.store().save_copy();
        site.engine(engine).drain();
        const auto draining = [&] { return site.fleet.find_target(engine)->entry.draining; };
        REQUIRE(site.run_until(draining));
        site.return_to_copy();
        CHECK(draining());
        site.engines_write_again();
        site.run_for(milliseconds(3000));
        CHECK(draining());
    }
    SECTION("an older configuration never replaces a newer one")
    {
        site.store().save_copy();
        const auto before = site.fleet.config()->version();
        site.site->publish();
        REQUIRE(site.run_until([&] { return site.fleet.config()->version() > before; }));
        const auto newest = site.fleet.config()->version();
        site.return_to_copy();
        site.run_for(milliseconds(3000));
        CHECK(site.fleet.config()->version() == newest);

        SECTION("and the next one takes effect")
        {
            site.site->publish();
            CHECK(site.run_until([&] { return site.fleet.config()->version() > newest; }));
        }
    }
    SECTION("a drain of which the copy knows nothing stays until the operator has written again")
    {
        site.store().save_copy();
        site.store().put(site.drain_key(), "1");
        REQUIRE(site.run_until([&] { return site.drained(); }));
        site.return_to_copy();
        site.run_for(milliseconds(1800));
        CHECK(site.drained());

        SECTION("it stays if he does")
        {
            site.store().put(site.drain_key(), "1");
            site.run_for(milliseconds(1500));
            CHECK(site.drained());
        }
        SECTION("and ends if he does not")
        {
            CHECK(site.run_until([&] { return !site.drained(); }, milliseconds(2000)));
        }
    }
    SECTION("a drain that was lifted after the copy does not take effect again")
    {
        site.store().put(site.drain_key(), "1");
        REQUIRE(site.run_until([&] { return site.drained(); }));
        site.store().save_copy();
        site.store().remove(site.drain_key());
        REQUIRE(site.run_until([&] { return !site.drained(); }));
        site.return_to_copy();
        site.run_for(milliseconds(1800));
        CHECK_FALSE(site.drained());

        SECTION("if the operator lifts it again")
        {
            site.store().remove(site.drain_key());
            site.run_for(milliseconds(1500));
            CHECK_FALSE(site.drained());
        }
        SECTION("and does so if he does not")
        {
            CHECK(site.run_until([&] { return site.drained(); }, milliseconds(2000)));
        }
    }
}

TEST_CASE("a manager gives up its lease when the store returns from an older copy",
          "[gateway][registration][store_position]")
{
    returning_site site;
    gateway::registration holder(site.context, site.ports, site.mirror, site.fleet, site.settings, 1);
    site.mirror.on_change = [&] { holder.notify(); };
    time_point seen{};
    bool managed_then = true;
    site.mirror.on_new_era = [&] {
        holder.on_new_era();
        seen = steady_clock::now();
        managed_then = holder.manages(seen);
    };
    const auto manages = [&] { return holder.manages(steady_clock::now()); };
    const auto entry = std::string(gateway::own_keys::daemons_prefix) + site.settings.daemon.str();
    site.store().save_copy();
    holder.start();
    REQUIRE(site.run_until([&] { return manages() && site.store().find(entry); }));
    const auto revision = holder.manager_revision();

    SECTION("and gets a new one only when nobody can act on an earlier one any more")
    {
        // Guards against two managers: the store has forgotten the lease of the first one.
        site.store().return_to_copy();
        REQUIRE(site.run_until([&] { return site.mirror.era() != 0; }));
        CHECK_FALSE(managed_then);
        CHECK_FALSE(manages());
        REQUIRE(site.run_until(manages));
        CHECK(steady_clock::now() - seen >= milliseconds(1500));
        CHECK(holder.manager_revision() > revision);
        CHECK(site.mirror.revision() >= revision);
        CHECK(site.store().find(entry));

        SECTION("again after a second return")
        {
            const auto second = holder.manager_revision();
            site.store().return_to_copy();
            REQUIRE(site.run_until([&] { return gateway::era_number(site.mirror.era()) == 2; }));
            CHECK_FALSE(manages());
            REQUIRE(site.run_until(manages));
            CHECK(holder.manager_revision() > second);
        }
    }
    SECTION("a copy with the manager's key and lease does not make it the manager again")
    {
        site.store().save_copy();
        site.store().put("x/1", "1");
        site.store().return_to_copy();
        REQUIRE(site.run_until([&] { return site.mirror.era() != 0; }));
        CHECK_FALSE(manages());
        REQUIRE(site.run_until(manages));
        CHECK(steady_clock::now() - seen >= milliseconds(1500));
        CHECK(holder.manager_revision() > revision);
    }
    SECTION("its key under a lease that is another daemon's now does not stay")
    {
        // Guards against a fleet without a manager: a write that was on its way during the return took effect
        // with the id of a lease that the store has given out again.
        const auto key = site.store().find(gateway::own_keys::manager);
        site.store().return_to_copy();
        REQUIRE(key);
        site.store().put(gateway::own_keys::manager, *key); // never expires
        REQUIRE(site.run_until([&] { return site.mirror.era() != 0; }));
        CHECK_FALSE(manages());
        REQUIRE(site.run_until(manages));
        CHECK(steady_clock::now() - seen >= milliseconds(1500));
    }
    SECTION("a write whose answer of the old era arrives late gives no lease")
    {
        const auto held = site.store().find(gateway::own_keys::manager);
        site.store().faults.late_replies = 100;
        site.store().faults.reply_delay = milliseconds(300);
        site.store().end_leases();
        REQUIRE(site.run_until([&] {
            const auto now = site.store().find(gateway::own_keys::manager);
            return now && now != held;
        }));
        site.store().return_to_copy();
        site.store().faults.late_replies = 0;
        REQUIRE(site.run_until([&] { return site.mirror.era() != 0; }));
        REQUIRE(site.run_until(manages));
        CHECK(steady_clock::now() - seen >= milliseconds(1500));
        CHECK(gateway::era_number(holder.manager_revision()) == 1);
    }
    leave(site, holder);
}

TEST_CASE("a manager that is cut off throughout a return does not act beside the next one",
          "[gateway][registration][store_position]")
{
    // Guards against two managers: the store has forgotten the lease of the first one, which does not know
    // it.
    returning_site site;
    auto wrapped = std::make_unique<cuttable_store>(std::move(site.ports.store));
    auto& link = *wrapped;
    site.ports.store = std::move(wrapped);
    gateway::registration first(site.context, site.ports, site.mirror, site.fleet, site.settings, 1);
    site.mirror.on_change = [&] { first.notify(); };
    site.mirror.on_new_era = [&] { first.on_new_era(); };
    site.store().save_copy();
    first.start();
    const auto now = [] { return steady_clock::now(); };
    REQUIRE(site.run_until([&] { return first.manages(now()); }));
    second_daemon other(site);
    REQUIRE(site.run_until([&] {
        return other.mirror.complete() && other.mirror.manager() &&
               site.store().find(std::string(gateway::own_keys::daemons_prefix) + "d2");
    }));
    const auto revision = first.manager_revision();
    bool both = false;
    const auto other_manages = [&] {
        both = both || (first.manages(now()) && other.holder.manages(now()));
        return other.holder.manages(now());
    };
    link.cut = true;
    site.store().return_to_copy();
    REQUIRE(site.run_until(other_manages));
    CHECK(other.holder.manager_revision() > revision);
    CHECK_FALSE(both);
    CHECK(site.mirror.era() == 0);
    link.cut = false;
    REQUIRE(site.run_until([&] {
        return other_manages() && site.mirror.era() != 0 &&
               site.store().find(gateway::own_keys::daemons_prefix + site.settings.daemon.str());
    }));
    CHECK_FALSE(first.manages(now()));
    CHECK_FALSE(both);
    leave(site, first);
    leave(site, other.holder);
}

TEST_CASE("a daemon registers again in its turn", "[gateway][registration][store_position]")
{
    returning_site site;
    site.settings.store.writes_per_s = 1; // spreads the registration of one daemon over up to 4 s
    gateway::registration holder(site.context, site.ports, site.mirror, site.fleet, site.settings, 1);
    site.mirror.on_change = [&] { holder.notify(); };
    time_point seen{};
    site.mirror.on_new_era = [&] {
        holder.on_new_era();
        seen = steady_clock::now();
    };
    const auto entry = std::string(gateway::own_keys::daemons_prefix) + site.settings.daemon.str();
    site.store().save_copy();
    holder.start();
    REQUIRE(site.run_until([&] { return site.store().find(entry).has_value(); }));
    site.return_to_copy();
    holder.on_store_return();
    const auto turn = spread_delay(site.settings.daemon.str(), 1, 2, 0.5);
    REQUIRE(site.run_until([&] { return site.store().find(entry).has_value(); }));
    CHECK(steady_clock::now() - seen >= turn);
    leave(site, holder);
}

TEST_CASE("groups and epochs stay valid across a return of the store",
          "[gateway][group_manager][store_position]")
{
    site_standin::site_options options;
    options.fabrics = 1;
    options.engines_per_fabric = 2;
    returning_site site(options);
    const instance_id head("e00");
    const instance_id member("e01");
    const auto manage_new_era = [&] {
        site.lease.held = true;
        site.lease.revision = site.mirror.revision();
        site.lease.mirrored = site.mirror.revision() + 1000000;
    };
    const auto highest_epoch = [&] {
        std::uint64_t out = 0;
        for (const auto& engine : site.site->engines) {
            out = std::max(out, engine->highest_epoch_seen());
        }
        return out;
    };
    site.lease.revision = site.mirror.revision() + 1000; // later than what follows in the new era
    site.store().save_copy();

    SECTION("during the forming of a group")
    {
        // Guards against epochs that engines have already seen: they refuse all orders then.
        site.lease.held = true;
        REQUIRE(site.run_until([&] { return site.orders_of(member, "join") == 1; }));
        site.lease.held = false;
        site.return_to_copy();
        const auto before = highest_epoch();
        site.engines_write_again();
        manage_new_era();
        REQUIRE(site.run_until([&] { return site.group_count() == 1; }));
        CHECK(site.fleet.groups().front().epoch > before);
    }
    SECTION("an open group serves on")
    {
        site.lease.held = true;
        REQUIRE(site.run_until([&] { return site.group_count() == 1; }));
        const auto group = site.fleet.groups().front();
        site.lease.held = false;
        site.return_to_copy();
        CHECK(site.group_count() == 1);
        site.engines_write_again();
        manage_new_era();
        site.run_for(milliseconds(4500));
        REQUIRE(site.group_count() == 1);
        CHECK(site.fleet.groups().front().epoch == group.epoch);

        SECTION("and is ended as one of an earlier lease")
        {
            site.engine(member).restart();
            REQUIRE(site.run_until(
                [&] { return site.group_count() == 1 && site.fleet.groups().front().epoch > group.epoch; }));
        }
    }
    SECTION("with orders and joins unanswered")
    {
        site.lose_next_orders(member, 1);
        site.delay_orders(head, "join", milliseconds(1500));
        site.lease.held = true;
        site.run_for(milliseconds(1000));
        site.lease.held = false;
        site.return_to_copy();
        site.engine(head).faults.late_operation.clear();
        site.engine(head).faults.order_delay = milliseconds(0);
        site.engines_write_again();
        manage_new_era();
        REQUIRE(site.run_until([&] { return site.group_count() == 1; }, milliseconds(40000)));
    }
    CHECK(first_violation(site) == "");
}
