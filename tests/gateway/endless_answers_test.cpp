#include "gateway/forwarding_site.hpp"

#include <catch2/catch.hpp>

using namespace rml;
using namespace rml::test;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t flood_bytes = 3 * 1024 * kilobyte; // below the limit on one answer
constexpr int flooded_requests = 24;
constexpr int sound_requests = 10;

} // namespace

// Guards against faulty targets whose answers are each within their limit and exhaust the memory of the
// daemon together, so that requests of others end with it.
TEST_CASE("many answers without end leave memory for sound ones", "[gateway][endless]")
{
    raw_server target([&](const http::request& message, raw_connection& connection) {
        if (message.body != "flood") {
            connection.send(real_answer(run_record::id_of(message)));
            return true;
        }
        connection.send("HTTP/1.1 200 OK\r\nx-id: " + run_record::id_of(message) +
                        "\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n");
        connection.send_repeatedly(chunk(std::string(64 * kilobyte, 'x')), flood_bytes);
        connection.wait_closed();
        return false;
    });
    forwarding_site site;
    site.add_target("t", target.address());
    site.fleet.find_target(instance_id("t"))->entry.slots = 64;
    std::vector<std::unique_ptr<recorded_answer>> floods;
    std::vector<std::unique_ptr<recorded_answer>> sound;
    const auto start = [&](auto& answers, const std::string& name, const std::string& body, milliseconds at) {
        answers.push_back(std::make_unique<recorded_answer>());
        auto& writer = *answers.back();
        const http::request message{"POST",
                                    "/stock/1",
                                    {{"host", "site.example"},
                                     {"x-id", name + std::to_string(answers.size())},
                                     {"x-deadline", "3000"}},
                                    body};
        boost::asio::spawn(
            site.context,
            [&site, &writer, message, at](gateway::yield_context yield) {
                http::pause(at, yield);
                site.requests.handle(message, writer, yield);
            },
            boost::coroutines::attributes(stack_bytes));
    };
    for (int i = 0; i < flooded_requests; ++i) {
        start(floods, "f", "flood", milliseconds(0));
    }
    for (int i = 0; i < sound_requests; ++i) {
        start(sound, "s", "two planks", milliseconds(200 + 100 * i));
    }
    std::size_t most = 0;
    while (site.context.run_one() > 0) {
        most = std::max(most, site.requests.buffered_answer_bytes());
    }
    CAPTURE(most);
    CHECK(most > limits::buffered_answer_bytes / 2);
    CHECK(most <= limits::buffered_answer_bytes);
    CHECK(site.requests.buffered_answer_bytes() == 0);
    for (const auto& answer : sound) {
        CHECK(answer->answer.status == 200);
    }
    for (const auto& answer : floods) {
        CHECK((answer->answer.status == 502 || answer->answer.status == 504));
    }
}
