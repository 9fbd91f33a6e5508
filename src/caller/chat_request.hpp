/// Parsing of generation requests.
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
    std::string prompt; ///< all messages, one line "role: content" each
    std::uint32_t max_tokens{256};
    std::int32_t priority{0}; ///< -10 to 10
    bool stream{false};
};

/// Fails with `malformed`; the context names the field.
result<chat_request> parse_chat_request(const std::string& body);

/// Routing hash of a prompt: its first 256 bytes.
std::uint64_t prompt_prefix(const std::string& prompt);

} // namespace rml::caller
