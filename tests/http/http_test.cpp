#include "http/client.hpp"
#include "http/server.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace rml;

namespace {

/// Echoes the body; answers /stream with three chunks.
class echo_handler final : public http::handler
{
public:
    void handle(const http::request& message, http::response_writer& writer, http::yield_context) override
    {
        if (http::path_of(message.target) != "/stream") {
            writer.send(http::response{200, {{"x-method", message.method}}, message.body});
            return;
        }
        writer.start(http::response{200, {{"content-type", "text/event-stream"}}, {}});
        for (const char* part : {"one ", "two ", "three"}) {
            writer.write(part);
        }
        writer.finish();
    }
};

class running_server
{
public:
    explicit running_server(const http::server_options& options)
    {
        auto created = http::server::create(this->context, {"127.0.0.1", 0}, this->echo, options);
        REQUIRE(succeeded(created));
        this->server = value(std::move(created));
        this->worker = std::thread([this] { this->context.run(); });
    }
    ~running_server()
    {
        this->server->stop();
        this->context.stop();
        this->worker.join();
    }
    running_server(const running_server&) = delete;
    running_server& operator=(const running_server&) = delete;

    endpoint address() const { return this->server->local(); }
    void close_connections() const { this->server->close_connections(); }

private:
    boost::asio::io_context context;
    echo_handler echo;
    std::unique_ptr<http::server> server;
    std::thread worker;
};

constexpr milliseconds call_timeout{5000};

} // namespace

TEST_CASE("HTTP server and client exchange complete messages", "[http]")
{
    http::server_options options;
    options.body_bytes = 1000;
    const running_server server(options);

    SECTION("a body is echoed")
    {
        const auto answer = http::call(server.address(), {"POST", "/echo", {}, "hello"}, call_timeout);
        REQUIRE(succeeded(answer));
        CHECK(value(answer).status == 200);
        CHECK(value(answer).body == "hello");
        CHECK(http::find_header(value(answer).headers, "X-Method") == "POST");

        SECTION("and a chunked response is read completely")
        {
            const auto streamed = http::call(server.address(), {"GET", "/stream", {}, ""}, call_timeout);
            REQUIRE(succeeded(streamed));
            CHECK(value(streamed).body == "one two three");
        }
    }

    SECTION("close_connections() closes idle connections, so that no request reaches a restarted process")
    {
        boost::asio::io_context context;
        result<http::response> second = failure{};
        boost::asio::spawn(context, [&](http::yield_context yield) {
            const auto deadline = steady_clock::now() + call_timeout;
            auto connected = http::client_connection::create(context, server.address(), deadline, yield);
            REQUIRE(succeeded(connected));
            REQUIRE(succeeded(value(connected)->exchange({"GET", "/first", {}, ""}, deadline, yield)));
            server.close_connections();
            second = value(connected)->exchange({"GET", "/second", {}, ""}, deadline, yield);
        });
        context.run();
        REQUIRE(failed(second));
        CHECK(error(second).kind == failure_kind::connection_broken);
        CHECK(succeeded(http::call(server.address(), {"GET", "/", {}, ""}, call_timeout)));
    }

    SECTION("a body above the limit is refused with the outcome not-run")
    {
        const auto answer =
            http::call(server.address(), {"POST", "/echo", {}, std::string(2000, 'x')}, call_timeout);
        REQUIRE(succeeded(answer));
        CHECK(value(answer).status == 413);
        CHECK(http::find_header(value(answer).headers, "x-rml-outcome") == "not-run");
    }
}

TEST_CASE("addresses are IP addresses with a port", "[http]")
{
    CHECK(value(parse_endpoint("127.0.0.1:80")) == endpoint{"127.0.0.1", 80});
    CHECK(value(parse_endpoint("[::1]:80")) == endpoint{"::1", 80});
    for (const char* bad :
         {"", ":80", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "1.2.3.4:8x"}) {
        INFO(bad);
        CHECK(failed(parse_endpoint(bad)));
    }
}
