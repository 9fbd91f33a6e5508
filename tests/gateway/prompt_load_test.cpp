#include "gateway/forwarding_site.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using namespace rml::test;

namespace {

constexpr std::uint32_t long_prompts = 50'000;

/// An engine that counts its requests and answers each with one event.
class streaming_engine
{
public:
    int requests() const { return this->received; }
    endpoint address() const { return this->server.address(); }

private:
    std::atomic<int> received{0};
    raw_server server{[this](const http::request& message, raw_connection& connection) {
        ++this->received;
        connection.send("HTTP/1.1 200 OK\r\nx-id: " + run_record::id_of(message) +
                        "\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n" +
                        chunk("id: 1\ndata: a\n\n") + last_chunk);
        return true;
    }};
};

} // namespace

// Guards against a first token that is twice as late because the target has just received long prompts.
TEST_CASE("a request goes to the target that has the least to read", "[gateway][prompt_load]")
{
    forwarding_site site;
    site.fleet.peers_settled = true;
    streaming_engine reading;
    streaming_engine idle;
    site.counts = "1000,1";
    site.add_engine("e0", reading.address(), "reading");
    site.add_engine("e1", idle.address(), "reading");
    const auto send_all = [&](const std::string& path) {
        for (int i = 0; i < 10; ++i) {
            CHECK(site.send(path, "r" + std::to_string(i)).answer.status == 200);
        }
    };

    SECTION("by what this daemon has sent")
    {
        site.fleet.unread.begin(instance_id("e0"), long_prompts);
        send_all("/reading/1");
        CHECK(reading.requests() == 0);
        CHECK(site.fleet.unread.at(instance_id("e1")) == 0); // their answers have begun
    }
    SECTION("by what another daemon reports, as long as its reports come")
    {
        site.fleet.update_peer(daemon_id("d1"), {});
        gateway::peer_report report;
        report.daemon = daemon_id("d1");
        report.sequence = 1;
        report.unread_tokens[instance_id("e0")] = long_prompts;
        const auto now = steady_clock::now();
        REQUIRE(site.fleet.accept_report(report, now));
        CHECK(site.fleet.unread_tokens(instance_id("e0"), now) == long_prompts);
        send_all("/reading/1");
        CHECK(reading.requests() == 0);
        CHECK(site.fleet.unread_tokens(instance_id("e0"), now + seconds(10)) == 0);
    }
    SECTION("but not without a reading rate in the configuration")
    {
        site.add_engine("e0", reading.address(), "timed");
        site.add_engine("e1", idle.address(), "timed");
        site.fleet.unread.begin(instance_id("e0"), long_prompts);
        send_all("/timed/1");
        CHECK(reading.requests() > 0);
        CHECK(site.fleet.unread.at(instance_id("e1")) == 0);
    }
}
