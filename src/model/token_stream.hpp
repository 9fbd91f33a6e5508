/// The answer of a stand-in engine to a prompt. The answer depends on the prompt alone, so that a client can
/// check that an answer is complete and belongs to its request.
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

/// Concatenation of tokens 0 to `count` - 1.
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
