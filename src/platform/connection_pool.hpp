/// Keep-alive connections to one platform service.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/ranked_mutex.hpp"
#include "base/time.hpp"
#include "http/client.hpp"
#include "http/message.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace rml::platform::detail {

/// Progress of an exchange; decides whether a failed write may have taken effect.
enum class exchange_stage
{
    not_sent, ///< no connection was established
    sent,     ///< the request may have arrived
};

struct exchange_result
{
    result<http::response> answer{failure{failure_kind::unavailable, "exchange not started"}};
    exchange_stage stage{exchange_stage::not_sent};
    bool reused{false}; ///< the exchange used an idle connection
};

/// Each connection carries one exchange at a time. Used from all threads of the context.
class connection_pool
{
public:
    connection_pool(boost::asio::io_context& context, endpoint remote);

    /// Sends the request over an idle connection or a new one; with `force_new` always over a new one.
    exchange_result exchange(const http::request& message, time_point deadline, bool force_new,
                             boost::asio::yield_context yield);

    std::uint64_t opened() const { return this->connections_opened; }

private:
    struct idle_connection
    {
        std::unique_ptr<http::client_connection> connection;
        time_point since;
    };

    std::unique_ptr<http::client_connection> acquire();
    void release(std::unique_ptr<http::client_connection> used);

    boost::asio::io_context& context;
    endpoint remote;
    ranked_mutex lock{lock_rank::connection_pool};
    std::vector<idle_connection> idle;
    std::atomic<std::uint64_t> connections_opened{0};
};

} // namespace rml::platform::detail
