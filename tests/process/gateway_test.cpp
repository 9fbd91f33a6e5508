#include "http/client.hpp"
#include "process/gateway_site.hpp"
#include "target/raw_server.hpp"
#include "wire_names.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

using namespace rml;
using nlohmann::json;
using test::gateway_site;

namespace {

constexpr milliseconds call_limit = test::gateway_call_limit;
constexpr milliseconds wait_limit = test::gateway_wait_limit;

} // namespace

TEST_CASE("requests pass through the gateway as processes", "[process][gateway]")
{
    gateway_site site;

    SECTION("callers learn both daemons, and requests arrive as they were sent")
    {
        REQUIRE(site.eventually([&] {
            const auto answer =
                http::call(site.address(0, "entries"), {"GET", "/resolve?name=x", {}, {}}, call_limit);
            return succeeded(answer) && value(answer).status == 200 &&
                   json::parse(value(answer).body)["addresses"].size() == 2;
        }));
        auto order = site.request("POST", "/orders/7?urgent=1", "two planks");
        order.headers.push_back({"X-Own", "kept"});
        order.headers.push_back({site_wire::header_account, "somebody else"});
        const auto answer = site.send(1, order);
        CHECK(answer.status == 200);
        CHECK(answer.body == "POST /orders/7?urgent=1 two planks");
        CHECK(http::find_header(answer.headers, site_wire::header_signature));
        CHECK(site.runs(order) == 1);
        const auto arrived = site.on_site([&] { return site.site->record.requests.back(); });
        CHECK(http::find_header(arrived.headers, "x-own") == "kept");
        CHECK(http::find_header(arrived.headers, site_wire::header_account) == "branch");
        CHECK_FALSE(http::find_header(arrived.headers, "authorization"));
        CHECK(http::find_header(arrived.headers, site_wire::header_expected_target));
    }
    SECTION("requests that the configuration does not allow are rejected")
    {
        auto unknown_key = site.request("GET", "/stock/1");
        unknown_key.headers.back().value = "Bearer key-9";
        CHECK(site.send(0, unknown_key).status == 401);
        CHECK(site.get(0, "/nowhere/1").status == 404);
    }
    SECTION("an order whose answer is lost is not sent again, a lookup is")
    {
        for (auto& instance : site.site->services) {
            site.on_site([&] { instance->faults.lost_answers = 1; });
        }
        const auto order = site.request("POST", "/orders/8", "glue");
        CHECK(site.send(0, order).status == 502);
        CHECK(site.runs(order) == 1);
        const auto lookup = site.request("GET", "/stock/8");
        CHECK(site.send(0, lookup).status == 200);
        CHECK(site.runs(lookup) == 2);
    }
    SECTION("a refusal says so, and when to come back")
    {
        for (auto& instance : site.site->services) {
            site.on_site([&] { instance->faults.shed = 5; });
        }
        const auto order = site.request("POST", "/orders/9", "nails");
        const auto answer = site.send(0, order);
        CHECK(answer.status == 503);
        CHECK(http::find_header(answer.headers, "retry-after"));
        CHECK(site.runs(order) == 0);
    }
    SECTION("bytes after a complete answer reach nobody")
    {
        for (auto& instance : site.site->services) {
            site.on_site([&] { instance->faults.stale_answers = 1; });
        }
        for (int i = 0; i < 6; ++i) {
            CHECK(site.get(0, "/stock/" + std::to_string(i)).body == "GET /stock/" + std::to_string(i) + " ");
        }
    }
    SECTION("an answer without end is no success, and its request is not reported as not run")
    {
        const std::string signed_head =
            std::string("HTTP/1.1 200 OK\r\n") + site_wire::header_signature + ": seal\r\n";
        const std::string chunked_head = signed_head + "transfer-encoding: chunked\r\n\r\n";
        struct endless_answer
        {
            std::string start;
            std::string repeated;
            milliseconds pause{0};
        };
        const std::vector<endless_answer> cases{
            {"HTTP/1.1 200 ", std::string(64, 'x')},
            {signed_head, "x-more: 1\r\n"},
            {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
            {signed_head + "\r\n", std::string(4096, 'x')},
            {chunked_head, test::chunk(std::string(4096, 'x'))},
            {chunked_head, std::string(64, '0')},
            {chunked_head + test::chunk("x") + "0\r\n", "x-more: 1\r\n"},
            {signed_head + "\r\n", "x", milliseconds(20)},
            {chunked_head + test::chunk("x") + "1;", "x", milliseconds(20)},
        };
        auto entry = json::parse(site.on_site([&] {
            for (auto& instance : site.site->services) {
                instance->faults.shed = 1000000; // only the endless answers are left
            }
            return site.site->store->find(std::string(site_wire::prefix_targets) + "p0").value();
        }));
        for (std::size_t i = 0; i < cases.size(); ++i) {
            INFO(i);
            const auto& each = cases[i];
            std::atomic<int> orders{0};
            test::raw_server target([&](const http::request& message, test::raw_connection& connection) {
                orders += message.method == "POST" ? 1 : 0;
                connection.send(each.start);
                connection.send_repeatedly(each.repeated, std::uint64_t(1) << 30U, each.pause);
                return false;
            });
            entry["address"] = to_string(target.address());
            const auto key = site_wire::prefix_targets + std::string("endless") + std::to_string(i);
            site.on_site([&] { site.site->store->put(key, entry.dump()); });
            http::response answer;
            REQUIRE(site.eventually([&] {
                auto order = site.request("POST", "/orders/10", "screws");
                order.headers[2].value = "1000";
                answer = site.send(0, order);
                return orders > 0;
            }));
            CHECK((answer.status == 502 || answer.status == 504));
            CHECK(orders == 1);
            site.on_site([&] { site.site->store->remove(key); });
        }
    }
    SECTION("a stream is whole, also when its engine breaks off within an event")
    {
        CHECK(site.stream(0, 12).body == gateway_site::events(12));
        std::uint32_t cuts = 0;
        for (auto& engine : site.site->engines) {
            site.on_site([&] { engine->faults.truncated_streams = 1; });
            for (int i = 0; i < 4; ++i) {
                CHECK(site.stream(0, 12).body == gateway_site::events(12));
            }
            cuts += site.on_site([&] { return 1 - std::exchange(engine->faults.truncated_streams, 0U); });
        }
        CHECK(cuts > 0);
        CHECK(site.on_site([&] { return site.site->fleet.violations.size(); }) == 0);
    }
    SECTION("an answer without a signature is not passed on")
    {
        site.on_site([&] {
            for (auto& engine : site.site->engines) {
                engine->faults.unsigned_answers = 1;
            }
        });
        const auto answer = site.stream(0, 4);
        CHECK((answer.status == 502 || http::find_header(answer.headers, site_wire::header_signature)));
    }
    SECTION("a stream goes on elsewhere when a member of its group falls silent")
    {
        auto finished = std::async(std::launch::async, [&] { return site.stream(0, 150); });
        std::this_thread::sleep_for(milliseconds(300));
        site.on_site([&] {
            for (auto& engine : site.site->engines) {
                if (engine->identity().fabric == "f0") {
                    engine->faults.unresponsive = true;
                }
            }
        });
        const auto answer = finished.get();
        CHECK(answer.body == gateway_site::events(150));
        CHECK(site.on_site([&] { return site.site->fleet.violations.size(); }) == 0);
    }
    SECTION("a new configuration is in force, and older answers never come back")
    {
        site.on_site([&] {
            site.site->config["routes"].erase(2);
            site.site->config["tenants"][0]["apiKeys"] = json::array({"key-2"});
            site.site->publish();
        });
        REQUIRE(site.eventually([&] { return site.get(0, "/stock/1").status == 404; }));
        REQUIRE(site.eventually([&] { return site.get(1, "/plans/1").status == 401; }));
        for (int i = 0; i < 20; ++i) {
            CHECK(site.get(0, "/stock/1").status == 404);
        }
    }
    SECTION("a planned stop finishes what is in progress")
    {
        auto finished = std::async(std::launch::async, [&] { return site.stream(0, 120); });
        std::this_thread::sleep_for(milliseconds(300));
        site.daemons[0]->terminate();
        REQUIRE(site.eventually([&] { return !site.ready(0); }));
        CHECK(finished.get().body == gateway_site::events(120));
        CHECK(site.daemons[0]->wait_exit(wait_limit) == 0);
        CHECK(site.get(1, "/stock/1").status == 200);
    }
    SECTION("a request that comes too late in a planned stop is refused, not cut")
    {
        CHECK(site.stream(0, 200).body == gateway_site::events(200)); // takes 2 s
        auto before = std::async(std::launch::async, [&] { return site.stream(0, 300); });
        std::this_thread::sleep_for(milliseconds(300));
        site.daemons[0]->terminate();
        // The daemon ends its requests 4.8 s after the signal.
        std::this_thread::sleep_for(milliseconds(2500));
        const auto late = site.stream(0, 260);
        CHECK(late.status == 503);
        CHECK(before.get().status == 200);
        CHECK(site.daemons[0]->wait_exit(wait_limit) == 0);
    }
    SECTION("a request that is half read when an idle daemon stops is answered")
    {
        const auto connect = [&](boost::asio::io_context& context) {
            const auto address = site.address(0, "caller");
            boost::asio::ip::tcp::socket socket(context);
            socket.connect({boost::asio::ip::make_address(address.address), address.port});
            return socket;
        };
        const auto half_of = [](const http::request& message) {
            std::string out = message.method + " " + message.target + " HTTP/1.1\r\nContent-Length: 10\r\n";
            for (const auto& entry : message.headers) {
                out += entry.name + ": " + entry.value + "\r\n";
            }
            return out + "\r\ntwo";
        };
        const auto lookup = site.request("GET", "/stock/7");
        const auto order = site.request("POST", "/orders/7");
        boost::asio::io_context context;
        auto served = connect(context);
        auto refused = connect(context);
        site.daemons[0]->terminate();
        std::this_thread::sleep_for(milliseconds(1000));
        boost::asio::write(served, boost::asio::buffer(half_of(lookup)));
        boost::asio::write(refused, boost::asio::buffer(half_of(order)));
        // An idle daemon stops 2.5 s after the signal, a busy one ends its requests after 4.8 s.
        std::this_thread::sleep_for(milliseconds(1800));
        boost::system::error_code code;
        boost::asio::write(served, boost::asio::buffer(std::string(" planks")), code);
        std::string answers[2];
        boost::asio::read(served, boost::asio::dynamic_buffer(answers[0]), code);
        boost::asio::read(refused, boost::asio::dynamic_buffer(answers[1]), code);
        CHECK(answers[0].find("HTTP/1.1 200") == 0);
        CHECK(answers[1].find("HTTP/1.1 503") == 0);
        CHECK(site.runs(lookup) == 1);
        CHECK(site.runs(order) == 0);
        CHECK(site.daemons[0]->wait_exit(wait_limit) == 0);
    }
    SECTION("the other daemon takes over the groups when their manager is killed")
    {
        const auto manager = site.on_site([&] { return site.site->store->find("rml/manager").value_or(""); });
        REQUIRE(manager.find("daemon-") == 0);
        const auto killed = static_cast<std::uint32_t>(manager[7] - '0');
        site.daemons[killed]->kill_now();
        REQUIRE(site.eventually([&] {
            return site.on_site([&] { return site.site->store->find("rml/manager").value_or(manager); }) !=
                   manager;
        }));
        site.on_site([&] { site.site->engines.front()->drain(); });
        CHECK(site.stream(1 - killed, 5).body == gateway_site::events(5));
        CHECK(site.on_site([&] { return site.site->fleet.violations.size(); }) == 0);
    }
}
