#include "load/answer_check.hpp"

#include "base/hash.hpp"
#include "model/token_stream.hpp"

#include <nlohmann/json.hpp>

namespace rml::load {

std::string_view to_string(verdict v)
{
    switch (v) {
    case verdict::answered:
        return "answered";
    case verdict::refused:
        return "refused_not_run";
    case verdict::unknown:
        return "unknown";
    case verdict::failed:
        return "failed";
    case verdict::broken:
        return "broken";
    case verdict::incomplete:
        return "incomplete";
    case verdict::foreign:
        return "foreign";
    case verdict::no_connection:
        return "no_connection";
    case verdict::timeout:
        return "timeout";
    case verdict::not_sent:
        return "not_sent";
    }
    return "unknown";
}

verdict check_text(std::string_view prompt, std::size_t tokens, const std::string& text)
{
    const auto expected = token_text(prompt, tokens);
    if (text == expected) {
        return verdict::answered;
    }
    const bool beginning = expected.compare(0, text.size(), text) == 0;
    return beginning ? verdict::incomplete : verdict::foreign;
}

verdict check_completion(std::string_view prompt, std::size_t tokens, const std::string& body)
{
    try {
        const auto document = nlohmann::json::parse(body);
        const auto& choice = document.at("choices").at(0);
        return check_text(prompt, tokens, choice.at("message").at("content").get<std::string>());
    } catch (const nlohmann::json::exception&) {
        return verdict::failed;
    }
}

verdict check_call(std::string_view key, std::string_view body, const std::string& answer)
{
    try {
        const auto document = nlohmann::json::parse(answer);
        const bool own =
            document.at("body_hash") == std::to_string(hash64(body)) && document.at("key") == key;
        return own ? verdict::answered : verdict::foreign;
    } catch (const nlohmann::json::exception&) {
        return verdict::failed;
    }
}

verdict check_refusal(std::string_view outcome)
{
    if (outcome == "not-run") {
        return verdict::refused;
    }
    return outcome == "unknown" ? verdict::unknown : verdict::failed;
}

verdict check_failure(const failure& reason, bool sent, bool once_only)
{
    if (!sent) {
        return verdict::no_connection;
    }
    if (once_only) {
        return verdict::unknown;
    }
    return reason.kind == failure_kind::timeout ? verdict::timeout : verdict::broken;
}

} // namespace rml::load
