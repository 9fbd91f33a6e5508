/// Differences between two sets, for people and for sending only the changed objects to peers.
#pragma once

#include "objects/object_codec.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace rml {

enum class object_change_kind
{
    created,
    updated,
    destroyed,
};

std::string_view to_string(object_change_kind kind);

/// One field of an updated object, as JSON text; empty when the field is absent on that side.
struct field_change
{
    std::string field;
    std::string before;
    std::string after;
};

struct object_change
{
    object_change_kind kind{object_change_kind::created};
    object_key object;
    std::vector<field_change> fields; ///< of updated objects
    nlohmann::json document;          ///< the new object; null when destroyed
};

/// Changes that lead from one set to the other, in canonical order of the objects.
std::vector<object_change> diff_objects(const object_set& from, const object_set& to);

/// CBOR `{v, from, generation, put, destroy}` that leads from `from` to `to`.
std::string encode_changes(const object_set& from, const object_set& to);

/// Applies encoded changes. Fails with `stale` when they start from another generation than `base` has, and
/// with `malformed`, `too_large` or `invalid_settings` as decode_objects does. On a failure the receiver asks
/// for the whole set.
result<object_set> apply_changes(const object_set& base, std::string_view bytes);

} // namespace rml
