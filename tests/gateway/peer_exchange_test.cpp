#include "gateway/peer_exchange.hpp"

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

using namespace rml;
using boost::asio::ip::udp;
using gateway::change_notice;

namespace {

/// Daemons of the fleet besides those of the test; nothing listens at their addresses.
constexpr int other_daemons = 100;

/// A UDP socket whose port no other socket gets.
class reserved_port
{
public:
    explicit reserved_port(boost::asio::io_context& context)
        : socket(context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
    }
    endpoint address() const { return {"127.0.0.1", this->socket.local_endpoint().port()}; }

private:
    udp::socket socket;
};

/// One daemon with the part that talks to the other daemons.
class talking_daemon
{
public:
    talking_daemon(boost::asio::io_context& context, const std::string& name)
        : fleet(daemon_id(name)), exchange(context, this->fleet)
    {
        udp::socket probe(context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        this->address = {"127.0.0.1", probe.local_endpoint().port()};
        probe.close();
        REQUIRE(succeeded(this->exchange.start(this->address, [this](bool) { return this->report(); })));
        this->exchange.on_notice = [this](const change_notice& notice) {
            ++this->notices;
            this->revision = notice.revision;
        };
    }

    gateway::peer_report report() const
    {
        gateway::peer_report out;
        out.daemon = this->fleet.self;
        out.started_ms = 1;
        out.ready = true;
        return out;
    }
    void meet(const daemon_id& daemon, const endpoint& peer_address)
    {
        gateway::daemon_entry entry;
        entry.peer = peer_address;
        entry.started_ms = 1;
        this->fleet.update_peer(daemon, entry);
    }

    gateway::fleet_state fleet;
    gateway::peer_exchange exchange;
    endpoint address;
    int notices{0};
    std::uint64_t revision{0};
};

} // namespace

// Guards against a manager whose link is too slow for copies of each change to hundreds of daemons.
TEST_CASE("in a large fleet the entry daemons pass store changes on", "[gateway][peer_exchange]")
{
    boost::asio::io_context context;
    const reserved_port silent(context);
    talking_daemon manager(context, "manager");
    talking_daemon relay(context, "relay");
    talking_daemon receiver(context, "receiver");
    const std::vector<talking_daemon*> all{&manager, &relay, &receiver};
    for (auto* daemon : all) {
        for (const auto* other : all) {
            daemon->meet(other->fleet.self, other->address);
        }
    }
    const auto run = [&](milliseconds time) {
        context.run_for(time);
        context.restart();
    };
    const auto wait_for_notice = [&] {
        for (int i = 0; i < 200 && receiver.notices == 0; ++i) {
            run(milliseconds(10));
        }
    };
    const change_notice notice{manager.fleet.self, 4, 7, milliseconds(0), {}, {}};

    SECTION("a small fleet gets them from the manager")
    {
        const auto sent = manager.exchange.stats().sent;
        manager.exchange.send_notice(notice);
        CHECK(manager.exchange.stats().sent - sent == 2);
        wait_for_notice();
        CHECK(receiver.revision == 7);
    }
    SECTION("in a large one the manager sends them to the relays only")
    {
        for (auto* daemon : all) {
            for (int i = 0; i < other_daemons; ++i) {
                daemon->meet(daemon_id("other" + std::to_string(i)), silent.address());
            }
        }
        auto report = relay.report();
        report.sequence = 1U << 20U;
        REQUIRE(manager.fleet.accept_report(report, steady_clock::now()));
        manager.exchange.update_entries({manager.fleet.self, relay.fleet.self});
        const auto sent = manager.exchange.stats().sent;
        manager.exchange.send_notice(notice);
        CHECK(manager.exchange.stats().sent - sent == 1);
        wait_for_notice();
        CHECK(relay.revision == 7);
        CHECK(receiver.revision == 7);
        CHECK(manager.notices == 0); // nothing returns to its sender
    }
    SECTION("without a live relay the manager sends to all itself")
    {
        for (int i = 0; i < other_daemons; ++i) {
            manager.meet(daemon_id("other" + std::to_string(i)), silent.address());
        }
        manager.exchange.update_entries({manager.fleet.self, daemon_id("other1")});
        const auto sent = manager.exchange.stats().sent;
        manager.exchange.send_notice(notice);
        CHECK(manager.exchange.stats().sent - sent == other_daemons + 2);
        wait_for_notice();
        CHECK(receiver.revision == 7);
    }
    for (auto* daemon : all) {
        daemon->exchange.stop();
    }
    run(milliseconds(1));
}

// Guards against a daemon that cannot reach the store and sends to targets whose removal the others know.
TEST_CASE("a daemon whose registry entry has expired receives reports while the others hear it",
          "[gateway][peer_exchange]")
{
    boost::asio::io_context context;
    talking_daemon cut(context, "cut");
    talking_daemon other(context, "other");
    cut.meet(other.fleet.self, other.address);
    other.meet(cut.fleet.self, cut.address);
    int reports = 0;
    cut.exchange.on_report = [&](const gateway::peer_report&) { ++reports; };
    const auto wait_for_report = [&] {
        reports = 0;
        for (int i = 0; i < 200 && reports == 0; ++i) {
            context.run_for(milliseconds(10));
            context.restart();
        }
        return reports > 0;
    };
    REQUIRE(wait_for_report());
    other.fleet.destroy_peer(cut.fleet.self);

    SECTION("as long as it reports itself")
    {
        REQUIRE(wait_for_report());
        CHECK(wait_for_report());
    }
    SECTION("and no more once it is silent")
    {
        cut.exchange.stop();
        const auto& peer = other.fleet.peers().at(cut.fleet.self);
        for (int i = 0; i < 500 && other.fleet.live(peer, steady_clock::now()); ++i) {
            context.run_for(milliseconds(10));
            context.restart();
        }
        const auto sent = other.exchange.stats().sent;
        context.run_for(milliseconds(500));
        CHECK(other.exchange.stats().sent == sent);
    }
}
