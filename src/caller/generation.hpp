/// Generation requests: attempts, resumption on another group and relay of the tokens to the caller.
#pragma once

#include "caller/chat_request.hpp"
#include "caller/request_context.hpp"
#include "target/engine_client.hpp"

namespace rml::caller {

/// Relays generations between callers and engines. May be used by many coroutines at once.
class generation_relay
{
public:
    generation_relay(serving_state& state, target::engine_client& engines, request_metrics& metrics)
        : state(state), engines(engines), metrics(metrics)
    {
    }

    /// Handles one request. The account must be authorized for the pool.
    void run(const request_context& request, const chat_request& chat);

private:
    serving_state& state;
    target::engine_client& engines;
    request_metrics& metrics;
};

} // namespace rml::caller
