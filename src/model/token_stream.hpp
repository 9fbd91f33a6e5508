/// The answer that a stand-in engine gives to a prompt. It depends on the prompt alone, so that anyone can
/// check an answer for being whole and for belonging to its own request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rml {

/// Bytes of a prompt that form its cached prefix.
constexpr std::size_t prefix_bytes = 256;

/// Token `index` of the answer to `prompt`.
std::string token_at(std::string_view prompt, std::size_t index);

/// Tokens 0 to `count` - 1 joined.
std::string token_text(std::string_view prompt, std::size_t count);

/// Hash of the prompt's cached prefix, as in cache events and /kv/<prefix>.
std::uint64_t prefix_hash(std::string_view prompt);

/// One message of a conversation.
struct chat_message
{
    std::string role;
    std::string content;
};

/// Prompt of a conversation: one line "role: content" per message.
std::string render_prompt(const std::vector<chat_message>& messages);

} // namespace rml
