/// Runs a test's coroutine on one thread together with in-process stand-ins.
#pragma once

#include "http/client.hpp"
#include "http/message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace rml::test {

/// Bounds a call that hangs because of a fault; no test waits for it to pass.
constexpr milliseconds call_limit{20000};

inline time_point soon()
{
    return steady_clock::now() + call_limit;
}

/// Runs the coroutine to its end. Catch2 assertions may be used inside.
inline void run_scenario(boost::asio::io_context& context,
                         const std::function<void(http::yield_context)>& body)
{
    constexpr std::size_t stack_bytes = 512 * 1024;
    context.restart();
    boost::asio::spawn(
        context,
        [&](http::yield_context yield) {
            body(yield);
            context.stop();
        },
        boost::coroutines::attributes(stack_bytes));
    context.run();
}

/// One call over a new connection.
inline result<http::response> call(boost::asio::io_context& context, const endpoint& remote,
                                   const http::request& message, http::yield_context yield)
{
    auto connection = http::client_connection::create(context, remote, soon(), yield);
    if (failed(connection)) {
        return error(connection);
    }
    return value(connection)->exchange(message, soon(), yield);
}

/// Sets faults of a stand-in.
inline void update_faults(boost::asio::io_context& context, const endpoint& remote,
                          const nlohmann::json& faults, http::yield_context yield)
{
    const auto answer = call(context, remote, {"POST", "/faults", {}, faults.dump()}, yield);
    REQUIRE(succeeded(answer));
    INFO(value(answer).body);
    REQUIRE(value(answer).status == 200);
}

/// Reads a JSON document such as /stats.
inline nlohmann::json read_json(boost::asio::io_context& context, const endpoint& remote,
                                const std::string& target, http::yield_context yield)
{
    const auto answer = call(context, remote, {"GET", target, {}, {}}, yield);
    REQUIRE(succeeded(answer));
    REQUIRE(value(answer).status == 200);
    return nlohmann::json::parse(value(answer).body);
}

} // namespace rml::test
