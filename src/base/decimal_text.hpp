/// Decimal numbers as targets write them in headers.
#pragma once

#include <optional>
#include <string_view>

namespace rml {

struct decimal_parts
{
    std::string_view whole;    ///< at least one digit
    std::string_view fraction; ///< digits after the point; empty if there is no point
};

/// Splits digits with an optional fraction. Nothing for any other text, a sign or an exponent included.
std::optional<decimal_parts> split_decimal(std::string_view text);

} // namespace rml
