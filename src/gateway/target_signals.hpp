/// What a target says of itself in the headers of any of its answers.
#pragma once

#include "gateway/ports.hpp"
#include "http/message.hpp"

#include <optional>
#include <string>

namespace rml::gateway {

struct target_signals
{
    bool leaving{false};                      ///< it takes no new requests in this incarnation
    std::optional<std::string> pause;         ///< text of the pause that it asks for, as received
    std::optional<std::string> request_limit; ///< text of the requests per second that it takes, as received
    bool ran_request{false}; ///< the answer is to a request that it ran; set by the caller of `read_signals`
};

/// Allocates nothing for an answer without these headers.
target_signals read_signals(const http::response& answer, const header_names& names);

} // namespace rml::gateway
