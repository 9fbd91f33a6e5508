/// Starts coroutines with a common stack size.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/coroutine/attributes.hpp>
#include <utility>

namespace rml::gateway {

/// Document decoding and signal frames use the coroutine's stack.
constexpr std::size_t coroutine_stack_bytes = 128 * 1024;

template <class Function>
void start_coroutine(boost::asio::io_context& context, Function&& body)
{
    boost::asio::spawn(context, std::forward<Function>(body),
                       boost::coroutines::attributes(coroutine_stack_bytes));
}

} // namespace rml::gateway
