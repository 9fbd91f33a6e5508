#include "platform/connection_pool.hpp"

#include "base/limits.hpp"
#include "http/executor.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>

namespace rml::platform::detail {

namespace asio = boost::asio;

/// A call that waits for the coroutine on the connection's strand.
struct connection_pool::pending_call
{
    pending_call(const asio::any_io_executor& executor, http::request request, time_point until)
        : message(std::move(request)), deadline(until), finished(executor)
    {
        this->finished.expires_at(time_point::max());
    }

    http::request message;
    time_point deadline;
    exchange_result outcome;
    bool done{false}; ///< written and read on the caller's executor only
    asio::steady_timer finished;
};

connection_pool::connection_pool(asio::io_context& context, endpoint remote)
    : shared(std::make_shared<pool_state>(context, std::move(remote)))
{
}

connection_pool::idle_connection connection_pool::take(pool_state& state, bool fresh)
{
    const auto oldest = steady_clock::now() - limits::store_idle_connection;
    std::vector<idle_connection> expired;
    {
        const std::scoped_lock hold(state.lock);
        while (!fresh && !state.idle.empty()) {
            auto last = std::move(state.idle.back());
            state.idle.pop_back();
            if (last.since >= oldest) {
                return last;
            }
            expired.push_back(std::move(last));
        }
    }
    return {nullptr, asio::make_strand(state.context), {}};
}

void connection_pool::give_back(pool_state& state, idle_connection&& used)
{
    if (!used.connection || !used.connection->reusable()) {
        return;
    }
    used.since = steady_clock::now();
    const std::scoped_lock hold(state.lock);
    if (state.idle.size() < limits::store_idle_connections) {
        state.idle.push_back(std::move(used));
    }
}

void connection_pool::run(pool_state& state, idle_connection& used, pending_call& call,
                          asio::yield_context yield)
{
    call.outcome.reused = used.connection != nullptr;
    if (!used.connection) {
        auto created = http::client_connection::create(state.context, state.remote, call.deadline, yield);
        if (failed(created)) {
            call.outcome.answer = error(created);
            return;
        }
        ++state.opened;
        used.connection = value(std::move(created));
    }
    call.outcome.stage = exchange_stage::sent;
    call.outcome.answer = used.connection->exchange(call.message, call.deadline, yield);
}

exchange_result connection_pool::exchange(const http::request& message, time_point deadline, bool fresh,
                                          asio::yield_context yield)
{
    const auto executor = http::executor_of(yield);
    const auto call = std::make_shared<pending_call>(executor, message, deadline);
    auto used = std::make_shared<idle_connection>(take(*this->shared, fresh));
    asio::spawn(used->strand, [state = this->shared, used, call, executor](asio::yield_context inner) {
        run(*state, *used, *call, inner);
        give_back(*state, std::move(*used));
        asio::post(executor, [call] {
            call->done = true;
            call->finished.cancel();
        });
    });
    while (!call->done) {
        boost::system::error_code ignored;
        call->finished.async_wait(yield[ignored]);
    }
    return std::move(call->outcome);
}

} // namespace rml::platform::detail
