#include "gateway/crash_archive.hpp"

#include "gateway/managed_site.hpp"

using namespace rml;
using test::managed_site;

namespace {

constexpr request_fingerprint whole{7};

/// One daemon's evidence, and the records that it reads from the store of the site.
class archiving_daemon
{
public:
    archiving_daemon(managed_site& one, gateway::store_mirror& source)
        : fleet(daemon_id("d")), connections(one.context),
          guard(this->fleet, this->connections, this->metrics),
          archive(one.context, one.ports, this->guard, this->metrics)
    {
        source.on_crash_record = [this](const std::string& key, const std::optional<std::string>& value) {
            this->archive.on_stored(key, value, steady_clock::now());
        };
    }
    void learn(const crash_notice& notice)
    {
        gateway::peer_report report;
        report.crashes.push_back(notice);
        this->guard.accept(report, steady_clock::now());
    }
    gateway::send_permission check(request_fingerprint print = whole) const
    {
        return this->guard.check({print, {}}, steady_clock::now());
    }

    gateway::fleet_state fleet;
    target::connection_pool connections;
    metric_registry metrics;
    gateway::crash_guard guard;
    gateway::crash_archive archive;
};

/// A daemon that starts anew and reads the store.
class restarted_daemon
{
public:
    explicit restarted_daemon(managed_site& one)
        : mirrored(daemon_id("d2")), mirror(one.context, one.ports, this->mirrored, one.settings),
          daemon(one, this->mirror)
    {
        this->mirror.start();
    }
    ~restarted_daemon() { this->mirror.stop(); }
    restarted_daemon(const restarted_daemon&) = delete;
    restarted_daemon& operator=(const restarted_daemon&) = delete;

    gateway::fleet_state mirrored;
    gateway::store_mirror mirror;
    archiving_daemon daemon;
};

/// Losses one after the other, too long ago to be explained by others.
crash_notice notice_of(request_fingerprint print, std::size_t losses)
{
    crash_notice out;
    out.fingerprint = print;
    out.ttl = std::chrono::minutes(59);
    for (std::size_t i = 0; i < losses; ++i) {
        out.losses.push_back({100 * print.value + i, false, milliseconds(6000 - 100 * i)});
    }
    return out;
}

std::string key_of(std::uint64_t print)
{
    const std::string digits = "0123456789abcdef";
    std::string out(16, '0');
    for (std::size_t i = out.size(); i-- > 0; print /= digits.size()) {
        out[i] = digits[print % digits.size()];
    }
    return gateway::own_keys::crashes_prefix + out;
}

} // namespace

// Guards against requests that crash their targets again after each restart of all daemons.
TEST_CASE("evidence on requests that crash targets outlasts all daemons", "[gateway][crash_archive]")
{
    managed_site site;
    archiving_daemon manager(site, site.mirror);
    REQUIRE(site.run_until([&] { return site.mirror.complete(); }));
    const auto run_until = [&](const auto& condition, milliseconds limit = milliseconds(20000)) {
        return site.run_until(
            [&] {
                manager.archive.tick(steady_clock::now());
                return condition();
            },
            limit);
    };
    auto& store = *site.site->store;
    const auto stored = [&](std::uint64_t print = whole.value) {
        return store.find(key_of(print)).has_value();
    };

    SECTION("two losses justify no refusal and are not written")
    {
        manager.learn(notice_of(whole, 2));
        CHECK_FALSE(run_until(stored, milliseconds(700)));
    }
    SECTION("losses that others may still explain are not written")
    {
        auto recent = notice_of(whole, 3);
        for (auto& loss : recent.losses) {
            loss.age = milliseconds(0);
        }
        manager.learn(recent);
        CHECK_FALSE(run_until(stored, milliseconds(700)));
    }
    SECTION("losses that an older copy of the store lacks are written again")
    {
        store.save_copy();
        site.mirror.on_new_era = [&] { manager.archive.on_new_era(); };
        manager.learn(notice_of(whole, 3));
        REQUIRE(run_until(stored));
        store.return_to_copy();
        CHECK(run_until([&] { return site.mirror.era() != 0 && stored(); }));
    }
    SECTION("three losses are written")
    {
        manager.learn(notice_of(whole, 3));
        REQUIRE(manager.check() == gateway::send_permission::refused);
        REQUIRE(run_until(stored));

        SECTION("and a daemon that starts later refuses the request")
        {
            restarted_daemon later(site);
            REQUIRE(run_until([&] { return later.mirror.complete(); }));
            CHECK(later.daemon.check() == gateway::send_permission::refused);
            CHECK(later.daemon.check({8}) == gateway::send_permission::allowed);
        }
        SECTION("once, until something changes")
        {
            const auto writes = [&] {
                return manager.metrics.create_counter("rml_crash_record_writes_total", "").value();
            };
            run_until([] { return false; }, milliseconds(1500));
            CHECK(writes() == 1);
            auto more = notice_of(whole, 4);
            more.losses.back().trial = true;
            manager.learn(more);
            run_until([] { return false; }, milliseconds(1500));
            CHECK(writes() == 2);
        }
        SECTION("and removed when the request is answered")
        {
            auto cleared = notice_of(whole, 0);
            cleared.version = 1;
            manager.learn(cleared);
            REQUIRE(run_until([&] { return !stored(); }));
            restarted_daemon later(site);
            REQUIRE(run_until([&] { return later.mirror.complete(); }));
            CHECK(later.daemon.check() == gateway::send_permission::allowed);
        }
        SECTION("and an older record of the store does not undo an answer")
        {
            const auto old = *store.find(key_of(whole.value));
            auto cleared = notice_of(whole, 0);
            cleared.version = 1;
            manager.learn(cleared);
            manager.archive.on_stored(key_of(whole.value), old, steady_clock::now());
            CHECK(manager.check() == gateway::send_permission::allowed);
        }
    }
    SECTION("a store that is down gets the record later, and few calls meanwhile")
    {
        store.faults.down = true;
        manager.learn(notice_of(whole, 3));
        const auto before = manager.metrics.create_counter("rml_crash_record_writes_total", "").value();
        CHECK_FALSE(run_until(stored, milliseconds(1500)));
        CHECK(manager.metrics.create_counter("rml_crash_record_writes_total", "").value() <= before + 1);
        store.faults.down = false;
        CHECK(run_until(stored));
    }
    SECTION("two managers that write at once do not disturb each other")
    {
        archiving_daemon other(site, site.mirror);
        site.mirror.on_crash_record = [&](const std::string& key, const std::optional<std::string>& value) {
            manager.archive.on_stored(key, value, steady_clock::now());
            other.archive.on_stored(key, value, steady_clock::now());
        };
        manager.learn(notice_of(whole, 3));
        other.learn(notice_of(whole, 3));
        other.archive.tick(steady_clock::now());
        REQUIRE(run_until(stored));
        run_until([] { return false; }, milliseconds(1200));
        CHECK(stored());
    }
    SECTION("a record that cannot be read is removed")
    {
        store.put(key_of(9), "no record");
        CHECK(run_until([&] { return !stored(9); }));
        CHECK(manager.check({9}) == gateway::send_permission::allowed);
    }
    SECTION("the number of records is bounded")
    {
        for (std::uint64_t print = 1; print <= limits::archived_crash_records + 10; ++print) {
            manager.learn(notice_of({print}, 3));
        }
        run_until([] { return false; }, milliseconds(2500));
        std::size_t count = 0;
        for (std::uint64_t print = 1; print <= limits::archived_crash_records + 10; ++print) {
            count += stored(print) ? 1 : 0;
        }
        CHECK(count == limits::archived_crash_records);
    }
}
