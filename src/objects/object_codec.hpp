/// Canonical documents of a set: JSON for operators, CBOR for the store and for peers. Equal sets have equal
/// bytes. Decoding runs the same checks as reading files.
#pragma once

#include "objects/object_parser.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace rml {

/// Version of the CBOR document. A reader refuses other versions.
constexpr std::uint64_t object_codec_version = 1;

/// Objects of the set as elements of an object file. Of several objects with the same key the last is kept.
std::map<object_key, nlohmann::json> to_documents(const object_set& set);

/// `{"generation":N,"digest":D,"objects":[...]}`, indented, in canonical order. parse_objects reads it back.
std::string encode_objects_json(const object_set& set);

/// CBOR `{v, generation, objects}`. Fails with `too_large` above limits::store_value_bytes.
result<std::string> encode_objects(const object_set& set);

/// Decodes and checks a set. Fails with `too_large`, `malformed` or `invalid_settings`.
result<object_set> decode_objects(std::string_view bytes);

/// Reads the elements of an object list and checks them as a set. Fails with `invalid_settings`.
result<object_set> decode_object_list(const nlohmann::json& list, std::uint64_t generation);

/// Body of `POST /operator/config`: `{"generation":N,"set":{"objects":[...]}}`.
std::string encode_delivery(const object_set& set);
result<object_set> decode_delivery(std::string_view body);

/// Hash of the objects without the generation, 16 hexadecimal digits. Identifies the content in
/// `config/head`.
std::string object_set_digest(const object_set& set);

} // namespace rml
