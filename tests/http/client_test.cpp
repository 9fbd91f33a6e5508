#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

using namespace rml;

namespace {

/// Answers at once, except for /hang: its body grows by one byte per millisecond until the client
/// disconnects.
class hanging_handler final : public http::handler
{
public:
    void handle(const http::request& message, http::response_writer& writer, http::yield_context) override
    {
        if (message.target == "/hang") {
            writer.start({200, {}, {}});
            while (!writer.disconnected() && succeeded(writer.write("x"))) {
                std::this_thread::sleep_for(milliseconds(1));
            }
            return;
        }
        writer.send({200, {}, "here"});
    }
};

constexpr milliseconds call_timeout{5000};

} // namespace

// Guards against a data race between a connection's timer and the coroutine that uses the connection, and
// against the deadline of an earlier call that closes the connection during a later call.
TEST_CASE("a connection passes between coroutines of different strands on several threads", "[http]")
{
    hanging_handler requests;
    boost::asio::io_context server_context;
    auto created = http::server::create(server_context, {"127.0.0.1", 0}, requests);
    REQUIRE(succeeded(created));
    auto server = value(std::move(created));
    std::thread server_thread([&] { server_context.run(); });

    boost::asio::io_context context;
    std::unique_ptr<http::client_connection> connection;
    int answers = 0;
    bool reusable = false;
    for (int round = 0; round < 20; ++round) {
        boost::asio::spawn(boost::asio::make_strand(context), [&](http::yield_context yield) {
            // The deadline of this call must not affect the next call.
            const auto deadline = steady_clock::now() + call_timeout;
            if (!connection) {
                auto opened = http::client_connection::create(context, server->local(), deadline, yield);
                if (failed(opened)) {
                    return;
                }
                connection = value(std::move(opened));
            }
            const auto answer = connection->exchange({"GET", "/", {}, ""}, deadline, yield);
            answers += succeeded(answer) && value(answer).body == "here" ? 1 : 0;
            reusable = connection->reusable();
        });
        std::vector<std::thread> workers;
        for (int i = 0; i < 3; ++i) {
            workers.emplace_back([&] { context.run(); });
        }
        for (auto& worker : workers) {
            worker.join();
        }
        context.restart();
    }
    CHECK(answers == 20);
    CHECK(reusable);

    SECTION("a deadline ends a body that never ends, and the connection is not reusable")
    {
        failure_kind seen = failure_kind::refused;
        boost::asio::spawn(context, [&](http::yield_context yield) {
            const auto deadline = steady_clock::now() + milliseconds(50);
            const auto answer = connection->exchange({"GET", "/hang", {}, ""}, deadline, yield);
            if (failed(answer)) {
                seen = error(answer).kind;
            }
            reusable = connection->reusable();
        });
        context.run();
        CHECK(seen == failure_kind::timeout);
        CHECK_FALSE(reusable);
    }
    connection.reset();
    server->stop();
    server_context.stop();
    server_thread.join();
}
