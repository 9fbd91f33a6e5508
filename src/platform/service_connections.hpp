/// Keep-alive connections to one platform service.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/time.hpp"
#include "http/message.hpp"
#include "target/connection_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>

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
class service_connections
{
public:
    service_connections(boost::asio::io_context& context, endpoint remote);

    /// Sends the request over an idle connection or a new one; with `force_new` always over a new one.
    exchange_result exchange(const http::request& message, time_point deadline, bool force_new,
                             boost::asio::yield_context yield);

    std::uint64_t opened() const { return this->connections.stats().opened; }

private:
    endpoint remote;
    target::connection_pool connections;
};

} // namespace rml::platform::detail
