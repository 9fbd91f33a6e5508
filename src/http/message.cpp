#include "http/message.hpp"

#include <algorithm>
#include <cctype>

namespace rml::http {

bool equal_names(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

bool list_contains(std::string_view value, std::string_view name)
{
    while (!value.empty()) {
        const auto end = value.find(',');
        auto part = value.substr(0, end);
        value = end == std::string_view::npos ? std::string_view{} : value.substr(end + 1);
        const auto first = part.find_first_not_of(" \t");
        if (first == std::string_view::npos) {
            continue;
        }
        part = part.substr(first, part.find_last_not_of(" \t") - first + 1);
        if (equal_names(part, name)) {
            return true;
        }
    }
    return false;
}

std::optional<std::string> find_header(const header_list& headers, std::string_view name)
{
    for (const auto& entry : headers) {
        if (equal_names(entry.name, name)) {
            return entry.value;
        }
    }
    return std::nullopt;
}

response json_response(int status, std::string body)
{
    return response{status, {{"content-type", "application/json"}}, std::move(body)};
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> query_value(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos) {
        return std::nullopt;
    }
    auto rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return std::string(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace rml::http
