/// Differences between two sets, shown to operators and sent to peers in place of the complete set.
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

/// Changes that turn `from` into `to`, in canonical order of the objects.
std::vector<object_change> diff_objects(const object_set& from, const object_set& to);

/// CBOR `{v, from, generation, put, destroy}` of the changes that turn `from` into `to`.
std::string encode_changes(const object_set& from, const object_set& to);

/// Applies encoded changes. Fails with `stale` when the changes are based on another generation than that of
/// `base`, and with `malformed`, `too_large` or `invalid_settings` like decode_objects. After a failure the
/// receiver requests the complete set.
result<object_set> apply_changes(const object_set& base, std::string_view bytes);

} // namespace rml
