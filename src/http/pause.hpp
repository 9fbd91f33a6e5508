/// Timed wait inside a coroutine.
#pragma once

#include "base/time.hpp"
#include "http/executor.hpp"

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

namespace rml::http {

/// Suspends the coroutine for the given time, on its own executor.
inline void pause(milliseconds time, boost::asio::yield_context yield)
{
    boost::asio::steady_timer timer(executor_of(yield), time);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace rml::http
