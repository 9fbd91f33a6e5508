#include "platform/connection_pool.hpp"

#include "base/limits.hpp"

#include <mutex>

namespace rml::platform::detail {

connection_pool::connection_pool(boost::asio::io_context& owner, endpoint address)
    : context(owner), remote(std::move(address))
{
}

std::unique_ptr<http::client_connection> connection_pool::acquire()
{
    const auto oldest = steady_clock::now() - limits::store_idle_time;
    const std::scoped_lock hold(this->lock);
    while (!this->idle.empty()) {
        auto last = std::move(this->idle.back());
        this->idle.pop_back();
        if (last.since >= oldest && last.connection->reusable()) {
            return std::move(last.connection);
        }
    }
    return nullptr;
}

void connection_pool::release(std::unique_ptr<http::client_connection> used)
{
    if (!used->reusable()) {
        return;
    }
    const std::scoped_lock hold(this->lock);
    if (this->idle.size() < limits::store_idle_connections) {
        this->idle.push_back({std::move(used), steady_clock::now()});
    }
}

exchange_result connection_pool::exchange(const http::request& message, time_point deadline, bool force_new,
                                          boost::asio::yield_context yield)
{
    exchange_result outcome;
    auto used = force_new ? nullptr : this->acquire();
    outcome.reused = used != nullptr;
    if (!used) {
        auto created = http::client_connection::create(this->context, this->remote, deadline, yield);
        if (failed(created)) {
            outcome.answer = error(created);
            return outcome;
        }
        ++this->connections_opened;
        used = value(std::move(created));
    }
    outcome.stage = exchange_stage::sent;
    outcome.answer = used->exchange(message, deadline, yield);
    this->release(std::move(used));
    return outcome;
}

} // namespace rml::platform::detail
