#include "gateway/entry_list.hpp"
#include "gateway/forwarding_site.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace rml;
using namespace rml::test;
using gateway::daemon_entry;

namespace {

std::shared_ptr<const gateway::site_config> with_delays(const gateway::site_config& before)
{
    domain_delays delays;
    delays.update(failure_domain_id("a"), failure_domain_id("b"), milliseconds(3));
    std::vector<gateway::service> services;
    for (auto [name, service] : before.services()) {
        service.delays = name == service_id("pool") ? delays : domain_delays();
        services.push_back(service);
    }
    std::vector<gateway::route> routes{*before.find_route("site.example", "/stock/")};
    return std::make_shared<const gateway::site_config>(before.version() + 1, routes, services,
                                                        before.limits(), std::nullopt);
}

void add_daemon(gateway::fleet_state& fleet, const std::string& name, const std::string& domain,
                const std::map<instance_id, std::uint32_t>& in_flight = {}, double requests_per_s = 0)
{
    fleet.update_peer(daemon_id(name), daemon_entry{{"10.0.0.9", static_cast<std::uint16_t>(name[1])},
                                                    {"10.0.0.9", 5},
                                                    1,
                                                    failure_domain_id(domain),
                                                    0.25});
    gateway::peer_report report;
    report.daemon = daemon_id(name);
    report.started_ms = 1;
    report.sequence = 1;
    report.ready = true;
    report.in_flight = in_flight;
    report.requests_per_s = requests_per_s;
    REQUIRE(fleet.accept_report(report, steady_clock::now()));
}

} // namespace

TEST_CASE("requests stay in the failure domain of their daemon", "[gateway][domain_routing]")
{
    auto near = sound_target();
    auto far = sound_target();
    forwarding_site site;
    for (const auto& [name, address, domain] :
         {std::tuple("t-near", near.address(), "a"), std::tuple("t-far", far.address(), "b")}) {
        auto entry = entry_of(name, address, 1);
        entry.failure_domain = failure_domain_id(domain);
        site.fleet.update_target(entry, steady_clock::now());
    }
    constexpr int count = 20;
    const auto send_some = [&] {
        for (int i = 0; i < count; ++i) {
            CHECK(site.send("/stock/1", "r" + std::to_string(i)).answer.status == 200);
        }
    };

    SECTION("not without stated delays")
    {
        send_some();
        CHECK(far.requests() > 0);
        CHECK(site.metrics.render().find("rml_domain") == std::string::npos);
    }
    SECTION("with the delays that another service states")
    {
        site.fleet.update_config(with_delays(*site.fleet.config()));
        send_some();
        CHECK(near.requests() == count);
        const auto text = site.metrics.render();
        CHECK(text.find("rml_domain_requests_total{failure_domain=\"a\"} 20") != std::string::npos);
        CHECK(text.find("rml_domain_decisions_total{reason=\"near\"} 20") != std::string::npos);

        SECTION("until the requests of the other daemons fill it")
        {
            add_daemon(site.fleet, "d1", "a", {{instance_id("t-near"), 4}});
            send_some();
            CHECK(far.requests() == count);
            CHECK(site.metrics.render().find("rml_domain_decisions_total{reason=\"near_full\"} 20") !=
                  std::string::npos);
        }
        SECTION("until it is drained")
        {
            site.fleet.update_drained_domain(failure_domain_id("a"), true);
            send_some();
            CHECK(far.requests() == count);
        }
    }
}

TEST_CASE("requests of the daemons in a failure domain are counted apart", "[gateway][domain_routing]")
{
    const instance_id target("t");
    gateway::fleet_state fleet(daemon_id("d0"), failure_domain_id("a"));
    add_daemon(fleet, "d1", "a", {{target, 3}});
    add_daemon(fleet, "d2", "b", {{target, 2}});
    const auto now = steady_clock::now();
    CHECK(fleet.peers_in_flight(target, now).neighbours == 3);
    CHECK(fleet.others_in_flight(target, now) == 5);

    SECTION("also when the entry of a daemon names another domain")
    {
        // Guards against a sum that a daemon was added to and is never taken from.
        fleet.update_peer(daemon_id("d1"), {{}, {}, 1, failure_domain_id("b"), 0.25});
        CHECK(fleet.peers_in_flight(target, now).neighbours == 0);
        CHECK(fleet.others_in_flight(target, now) == 5);
    }
    CHECK(fleet.peers_in_flight(target, now + seconds(3)).neighbours == 0);
    CHECK(fleet.others_in_flight(target, now + seconds(3)) == 0);
}

TEST_CASE("callers are told the daemons of their failure domain", "[gateway][domain_routing]")
{
    forwarding_site site;
    const daemon_entry entry{{"10.0.0.1", 1}, {"10.0.0.1", 5}, 1, failure_domain_id("a"), 0.25};
    add_daemon(site.fleet, "d1", "a");
    add_daemon(site.fleet, "d2", "b");
    add_daemon(site.fleet, "d3", "b");
    gateway::near_entry_list list(site.metrics);
    const auto listed = [&](const std::string& domain, double requests_per_s = 10) {
        return list
            .select(failure_domain_id(domain), site.fleet, {entry, true, true, requests_per_s},
                    steady_clock::now())
            .size();
    };
    CHECK(listed("a") == 4); // no delays are stated
    site.fleet.update_config(with_delays(*site.fleet.config()));
    CHECK(listed("a") == 2);
    CHECK(listed("b") == 2);
    CHECK(listed("unknown") == 4);

    SECTION("unless these are too few")
    {
        CHECK(listed("a", 400) == 4);
        CHECK(listed("b", 400) == 2);
    }
}
