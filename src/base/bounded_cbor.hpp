/// CBOR decoding with a bound on nesting. nlohmann-json recurses once per level, so a frame of one megabyte
/// of nested arrays would exhaust the stack.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace rml {

/// Maximum nesting depth. The deepest document of this project has 5 levels.
constexpr int max_cbor_depth = 32;

/// Whether the bytes contain a text or byte string of indefinite length. nlohmann-json recurses for each such
/// string inside another one and reports no parser event meanwhile, so no depth limit applies.
bool has_indefinite_string(std::string_view bytes);

/// Decodes one complete document; byte strings are permitted. Returns a discarded value when the bytes are
/// malformed, nested deeper than max_cbor_depth or contain a string of indefinite length; every access to it
/// throws a nlohmann::json::exception.
nlohmann::json decode_bounded_cbor(std::string_view bytes);

/// Returns the integer. Throws a nlohmann::json::exception for another type, a negative number and one above
/// the maximum, which json::get() would convert to an arbitrary value.
std::uint64_t checked_integer(const nlohmann::json& number, std::uint64_t maximum);

/// Returns the number. Throws a nlohmann::json::exception unless it is finite and not negative.
double checked_amount(const nlohmann::json& number);

} // namespace rml
