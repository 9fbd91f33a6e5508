/// Parser of generation requests.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"

#include <cstdint>
#include <string>

namespace rml::caller {

/// Body of POST /v1/chat/completions.
struct chat_request
{
    model_pool_id pool;
    std::string prompt; ///< all messages, each as a line "role: content"
    std::uint32_t max_tokens{256};
    std::int32_t priority{0}; ///< -10 to 10
    bool stream{false};
};

/// Fails with `malformed`; the failure context names the field.
result<chat_request> parse_chat_request(const std::string& body);

/// Hash of the first 256 bytes of a prompt, for routing by prefix.
std::uint64_t prompt_prefix(const std::string& prompt);

} // namespace rml::caller
