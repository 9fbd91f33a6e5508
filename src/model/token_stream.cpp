#include "model/token_stream.hpp"

#include "base/hash.hpp"

namespace rml {

std::string token_at(std::string_view prompt, std::size_t index)
{
    return "t" + std::to_string(hash64(prompt, index) % 100000) + " ";
}

std::string token_text(std::string_view prompt, std::size_t count)
{
    std::string text;
    for (std::size_t index = 0; index < count; ++index) {
        text += token_at(prompt, index);
    }
    return text;
}

std::uint64_t prefix_hash(std::string_view prompt)
{
    return hash64(prompt.substr(0, prefix_bytes));
}

std::string render_prompt(const std::vector<chat_message>& messages)
{
    std::string prompt;
    for (const auto& message : messages) {
        prompt += message.role + ": " + message.content + "\n";
    }
    return prompt;
}

} // namespace rml
