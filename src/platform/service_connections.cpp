#include "platform/service_connections.hpp"

#include "base/limits.hpp"

#include <utility>

namespace rml::platform::detail {

service_connections::service_connections(boost::asio::io_context& context, endpoint address)
    : remote(std::move(address)), connections(context)
{
    target::pool_limits limits;
    limits.idle = limits::store_idle_connections;
    this->connections.update_limits(limits);
}

exchange_result service_connections::exchange(const http::request& message, time_point deadline,
                                              bool force_new, boost::asio::yield_context yield)
{
    this->connections.expire(steady_clock::now());
    exchange_result outcome;
    target::bound_connection used;
    if (!force_new) {
        used = this->connections.take_idle(this->remote, std::nullopt, limits::store_idle_time);
    }
    outcome.reused = used.connection != nullptr;
    if (!used.connection) {
        auto opened = this->connections.open(this->remote, deadline, yield);
        if (failed(opened)) {
            outcome.answer = error(opened);
            return outcome;
        }
        used.connection = value(std::move(opened));
    }
    outcome.stage = exchange_stage::sent;
    outcome.answer = used.connection->exchange(message, deadline, yield);
    this->connections.give_back(this->remote, std::move(used));
    return outcome;
}

} // namespace rml::platform::detail
