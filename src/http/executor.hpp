/// Executor of a coroutine.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/spawn.hpp>

namespace rml::http {

/// Executor (strand) on which the coroutine runs. Boost 1.74 associates it with the completion handler only:
/// get_associated_executor(yield) returns its fallback, by default the system executor.
inline boost::asio::any_io_executor executor_of(boost::asio::yield_context yield)
{
    boost::asio::async_completion<boost::asio::yield_context, void(boost::system::error_code)> probe(yield);
    return boost::asio::get_associated_executor(probe.completion_handler);
}

} // namespace rml::http
