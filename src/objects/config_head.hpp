/// Documents of the published configuration in the store: `config/head` and `config/set/<generation>`.
#pragma once

#include "objects/object_codec.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace rml {

/// Store key of the head, which only a compare-and-swap from generation g to g+1 changes.
constexpr std::string_view config_head_key = "config/head";

/// "config/set/7"
std::string config_set_key(std::uint64_t generation);

/// Identifies the generation in force.
struct config_head
{
    std::uint64_t generation{0}; ///< 0: no set is published
    std::string digest;          ///< object_set_digest of the set
    std::string attempt_id;      ///< publication that wrote this generation
    /// Set by a publisher that replaces an unfinished publication. Writing it changes the revision of the
    /// head only, so that the compare-and-swap of the unfinished publication fails.
    std::string fence;
};

std::string encode_config_head(const config_head& head);

/// Fails with `malformed`.
result<config_head> decode_config_head(std::string_view bytes);

/// A stored set with the publication that wrote it.
struct published_set
{
    std::string attempt_id;
    std::string author;
    milliseconds published_at{0}; ///< wall clock of the publishing tool, since 1970; informative only
    object_set set;
};

/// CBOR `{v, generation, objects, attempt, author, published_ms}`. Fails with `too_large`.
result<std::string> encode_published_set(const published_set& published);

/// Decodes and checks the set. Fails like decode_objects.
result<published_set> decode_published_set(std::string_view bytes);

/// Decodes the publication without reading or checking the objects. Fails with `malformed` or
/// `too_large`.
result<published_set> decode_publication(std::string_view bytes);

} // namespace rml
