/// Keep-alive connections to one platform service.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/ranked_mutex.hpp"
#include "base/time.hpp"
#include "http/client.hpp"
#include "http/message.hpp"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace rml::platform::detail {

/// How far an exchange came before it failed.
enum class exchange_stage
{
    not_sent, ///< no connection was established
    sent,     ///< the request may have arrived
};

/// Result of one exchange.
struct exchange_result
{
    result<http::response> answer{failure{failure_kind::unavailable, "exchange not started"}};
    exchange_stage stage{exchange_stage::not_sent};
    bool reused{false}; ///< an idle connection carried it
};

/// Each connection has a strand of its own and all its operations run there: the timers of a Beast stream are
/// bound to the executor that created it, so a coroutine of another strand must not use the stream directly.
class connection_pool
{
public:
    connection_pool(boost::asio::io_context& context, endpoint remote);

    /// Sends the request over an idle connection or a new one. With `fresh` always over a new one.
    exchange_result exchange(const http::request& message, time_point deadline, bool fresh,
                             boost::asio::yield_context yield);

    std::uint64_t opened() const { return this->shared->opened; }

private:
    struct idle_connection
    {
        std::unique_ptr<http::client_connection> connection;
        boost::asio::any_io_executor strand;
        time_point since;
    };
    struct pool_state
    {
        pool_state(boost::asio::io_context& owner, endpoint address)
            : context(owner), remote(std::move(address))
        {
        }

        boost::asio::io_context& context;
        endpoint remote;
        ranked_mutex lock{lock_rank::connection_pool};
        std::vector<idle_connection> idle;
        std::atomic<std::uint64_t> opened{0};
    };
    struct pending_call;

    static idle_connection take(pool_state& state, bool fresh);
    static void give_back(pool_state& state, idle_connection&& used);
    static void run(pool_state& state, idle_connection& used, pending_call& call,
                    boost::asio::yield_context yield);

    std::shared_ptr<pool_state> shared;
};

} // namespace rml::platform::detail
