#include "caller/chat_request.hpp"

#include "base/hash.hpp"
#include "base/limits.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

namespace rml::caller {

namespace {

using nlohmann::json;

constexpr std::size_t prefix_bytes = 256;
constexpr std::int64_t highest_priority = 10;

failure malformed(const std::string& field, const std::string& wanted)
{
    return {failure_kind::malformed, field + ": " + wanted};
}

/// Integer field within [low, high], or `fallback` when absent.
result<std::int64_t> read_integer(const json& body, const char* field, std::int64_t low, std::int64_t high,
                                  std::int64_t fallback)
{
    const auto found = body.find(field);
    if (found == body.end()) {
        return fallback;
    }
    const auto range = "integer from " + std::to_string(low) + " to " + std::to_string(high) + " expected";
    if (!found->is_number_integer() ||
        (found->is_number_unsigned() && found->get<std::uint64_t>() > INT32_MAX)) {
        return malformed(field, range);
    }
    const auto number = found->get<std::int64_t>();
    if (number < low || number > high) {
        return malformed(field, range);
    }
    return number;
}

result<std::string> read_prompt(const json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return malformed("messages", "non-empty array expected");
    }
    std::string prompt;
    for (const auto& message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string() ||
            !message.contains("content") || !message["content"].is_string()) {
            return malformed("messages", "objects with text role and content expected");
        }
        prompt += message["role"].get_ref<const std::string&>() + ": " +
                  message["content"].get_ref<const std::string&>() + "\n";
    }
    return prompt;
}

} // namespace

result<chat_request> parse_chat_request(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        return malformed("body", "JSON object expected");
    }
    chat_request request;
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return malformed("model", "text expected");
    }
    request.pool = model_pool_id(model->get<std::string>());
    auto prompt = read_prompt(body);
    if (failed(prompt)) {
        return error(prompt);
    }
    request.prompt = value(std::move(prompt));
    const auto tokens = read_integer(body, "max_tokens", 1, limits::max_tokens, request.max_tokens);
    if (failed(tokens)) {
        return error(tokens);
    }
    request.max_tokens = static_cast<std::uint32_t>(value(tokens));
    const auto priority = read_integer(body, "priority", -highest_priority, highest_priority, 0);
    if (failed(priority)) {
        return error(priority);
    }
    request.priority = static_cast<std::int32_t>(value(priority));
    if (const auto stream = body.find("stream"); stream != body.end()) {
        if (!stream->is_boolean()) {
            return malformed("stream", "true or false expected");
        }
        request.stream = stream->get<bool>();
    }
    return request;
}

std::uint64_t prompt_prefix(const std::string& prompt)
{
    return hash64(std::string_view(prompt).substr(0, prefix_bytes));
}

} // namespace rml::caller
