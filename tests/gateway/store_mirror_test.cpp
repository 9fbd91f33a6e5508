#include "gateway/managed_site.hpp"
#include "gateway/store_position.hpp"

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

TEST_CASE("a daemon that receives store changes follows the store into a new era",
          "[gateway][store_mirror][store_position]")
{
    managed_site site;
    site.lease.held = false;
    fed_daemon other(site);
    auto& store = *site.site->store;
    REQUIRE(other.run_until([&] { return other.mirror.complete() && other.fleet.targets().size() == 10; }));
    store.save_copy();
    store.put("x/1", "1");
    const auto last = store.put("x/2", "2");
    REQUIRE(other.run_until([&] { return other.mirror.revision() >= last; }));
    other.run_for(milliseconds(1500)); // the open watch ends
    const instance_id victim("e00");
    const auto removal_at = [&](std::uint64_t revision) {
        change_notice out{daemon_id("d1"), 0, revision, milliseconds(0), {}};
        out.events.push_back({other.ports.decoder->targets_prefix() + victim.str(), std::nullopt, revision});
        return out;
    };

    SECTION("second-hand news make it read the store itself, and are not applied")
    {
        // Guards against changes of a notice that are applied to content of another era.
        other.cut = true; // only the notice below arrives
        const auto old = other.mirror.revision();
        store.return_to_copy();
        const auto calls = other.ports.store->calls();
        other.mirror.accept_notice(removal_at(value(gateway::pack_position({1, old + 100}))));
        CHECK(other.knows(victim));
        REQUIRE(other.run_until([&] { return other.mirror.era() != 0 && other.mirror.revision() > old; },
                                milliseconds(600)));
        CHECK(other.ports.store->calls() > calls);
        CHECK(other.mirror.era_reads() == 1);
        CHECK(other.knows(victim));

        SECTION("late notices of the old era change nothing")
        {
            const auto now_at = other.mirror.revision();
            other.mirror.accept_notice(removal_at(old + 1000));
            CHECK(other.knows(victim));
            CHECK(other.mirror.revision() == now_at);
        }
    }
    SECTION("news of an era that the store does not show change nothing")
    {
        other.mirror.accept_notice(removal_at(value(gateway::pack_position({1, 1000}))));
        other.run_for(milliseconds(500));
        CHECK(other.mirror.era() == 0);
        CHECK(other.knows(victim));
        store.remove(site.ports.decoder->targets_prefix() + victim.str());
        REQUIRE(other.run_until([&] { return !other.knows(victim); }));
    }
    SECTION("a daemon that was cut off throughout the return finds the new era by itself")
    {
        auto& faults = store.faults;
        other.cut = true;
        faults.down = true;
        other.run_for(milliseconds(1000));
        store.return_to_copy();
        for (int i = 0; i < 5; ++i) {
            store.put("x/1", "1"); // beyond the revision that this daemon knows
        }
        faults.down = false;
        REQUIRE(other.run_until([&] { return other.mirror.era_reads() == 1; }));
        CHECK(other.fleet.targets().size() == 10);
    }
}

TEST_CASE("odd entries of another writer do not end or stop the reading of the others",
          "[gateway][store_mirror]")
{
    // Guards against one entry that ends the process, hides the other entries or makes the reader spin.
    managed_site site;
    auto& store = *site.site->store;
    REQUIRE(site.run_until([&] { return site.mirror.complete() && !site.fleet.groups().empty(); }));
    const auto engines = site.fleet.targets().size();
    const auto prefix = site.ports.decoder->targets_prefix();
    const auto victim = site.fleet.groups().front().members.front();
    const auto other = site.fleet.groups().back().members.back();
    const auto good = store.find(prefix + victim.str()).value();
    constexpr std::size_t deep_levels = 100000;
    const std::vector<std::string> odd{
        "",
        "7",
        "{}",
        std::string(deep_levels, '['),
        std::string(deep_levels, '[') + std::string(deep_levels, ']'),
        R"({"colour":)" + std::string(deep_levels, '[') + std::string(deep_levels, ']') + "," +
            good.substr(1),
        R"({"born":1e999,)" + good.substr(1),
        "\xff\xfe",
        std::string(100, '\0'),
        std::string(1024 * 1024, '{'),
    };
    const auto write_all = [&] {
        for (std::size_t i = 0; i < odd.size(); ++i) {
            store.put(prefix + "odd" + std::to_string(i), odd[i]);
        }
        for (const auto* key : {"", "/", "a\r\nb", "\t"}) {
            store.put(prefix + key, good);
        }
        store.put(prefix + std::string(200, '\x01'), good);
        store.put(site.ports.decoder->config_key(), odd[4]);
    };
    const auto only_good_ones = [&](const gateway::fleet_state& fleet) {
        return std::none_of(fleet.targets().begin(), fleet.targets().end(), [](const auto& entry) {
            const auto& name = entry.first.str();
            return name.empty() || name.rfind("odd", 0) == 0 || name.find('\n') != std::string::npos;
        });
    };
    write_all();
    const auto written = store.put(prefix + "odd", "last");
    REQUIRE(site.run_until([&] { return site.mirror.revision() >= written; }));
    CHECK(only_good_ones(site.fleet));
    CHECK(site.fleet.targets().size() >= engines);
    CHECK(site.fleet.config() != nullptr);

    SECTION("later changes are followed, without reading more often")
    {
        const auto calls = site.ports.store->calls();
        constexpr std::uint64_t max_idle_calls = 10; // a watch is open for 800 ms
        site.run_for(milliseconds(2000));
        CHECK(site.ports.store->calls() - calls <= max_idle_calls);
        site.engine(other).faults.unregistered = true;
        site.engine(other).update_entry();
        REQUIRE(site.run_until([&] { return site.fleet.find_target(other) == nullptr; }));
    }
    SECTION("an odd entry in place of an engine's names no engine until the engine writes again")
    {
        store.put(prefix + victim.str(), odd[3]);
        REQUIRE(site.run_until([&] { return site.fleet.find_target(victim) == nullptr; }));
        CHECK(site.fleet.find_target(other) != nullptr);
        store.put(prefix + victim.str(), good);
        REQUIRE(site.run_until([&] { return site.fleet.find_target(victim) != nullptr; }));
    }
    SECTION("the history is gone, and the whole store is read again")
    {
        store.drop_history();
        const auto last = store.put(prefix + "odd", "later");
        REQUIRE(site.run_until([&] { return site.mirror.revision() >= last; }));
        CHECK(only_good_ones(site.fleet));
        CHECK(site.fleet.targets().size() >= engines);
    }
}
