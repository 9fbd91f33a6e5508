#include "base/decimal_text.hpp"

#include <algorithm>

namespace rml {

namespace {

bool is_number(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

} // namespace

std::optional<decimal_parts> split_decimal(std::string_view text)
{
    const auto point = text.find('.');
    decimal_parts out{text.substr(0, point), {}};
    if (point != std::string_view::npos) {
        out.fraction = text.substr(point + 1);
    }
    const bool valid = is_number(out.whole) && (point == std::string_view::npos || is_number(out.fraction));
    return valid ? std::optional(out) : std::nullopt;
}

} // namespace rml
