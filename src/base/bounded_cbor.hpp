/// CBOR decoding with a bound on nesting. nlohmann-json recurses once per level, so that a frame of a
/// megabyte of nested arrays would exhaust the stack.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace rml {

/// Deepest nesting of any document of this project is 5.
constexpr int max_cbor_depth = 32;

/// Decodes one whole document, byte strings included. Answers a discarded value, on which every access throws
/// a nlohmann::json::exception, when the bytes are malformed or nested deeper than max_cbor_depth.
nlohmann::json decode_bounded_cbor(std::string_view bytes);

} // namespace rml
